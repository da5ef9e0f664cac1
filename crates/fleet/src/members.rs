//! The rules of the membership of entries.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;
use smallvec::smallvec;
use wire::peer::{Echo, Frame, Heartbeat, frame};

use crate::list::{self, Mark, View};
use crate::member::{
    Hearing, Input, Member, Output, Outputs, Own, Progress, Refusal, Sender, Settings, State,
};
use crate::{Id, Incarnation};

/// The entries that this process knows through the instance list and through their frames.
///
/// A member that is gone is kept for a while, so that late frames of its process are refused.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Members {
    own: Own,
    settings: Settings,
    members: BTreeMap<Id, Member>,
    started: Moment,
    ticked: Moment,
    /// Start or end of the last pause; silence before it proves nothing.
    listening_since: Moment,
    next_beat: Moment,
}

impl Members {
    /// A membership that knows nobody yet.
    pub fn new(own: Own, settings: Settings, now: Moment) -> Self {
        Self {
            own,
            settings,
            members: BTreeMap::new(),
            started: now,
            ticked: now,
            listening_since: now,
            next_beat: now,
        }
    }

    /// Takes one input in and says what is to be done.
    pub fn step(&mut self, now: Moment, input: Input<'_>) -> Outputs {
        let mut outputs = self.notice_pause(now);
        match input {
            Input::List(view) => self.read_list(now, view, &mut outputs),
            Input::Frame(frame) => match self.accept(now, frame, &mut outputs) {
                Ok(()) => {}
                Err(refusal) => outputs.push(Output::Refused(refusal)),
            },
            Input::Tick(progress) => self.tick(now, progress, &mut outputs),
        }
        outputs
    }

    /// The member with this id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// All members but this process, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// This process.
    pub fn own(&self) -> &Own {
        &self.own
    }

    /// The entries that may still send to an upstream: all that are listed or were heard lately,
    /// this process among them. Only those that are certainly gone are left out.
    ///
    /// A listed entry that can't be asked stays in and blocks a planned change, because it may
    /// well serve callers behind a partition.
    pub fn senders(&self) -> Vec<Sender> {
        let others = self
            .members
            .values()
            .filter(|member| member.state != State::Gone)
            .map(|member| Sender {
                id: member.id.clone(),
                incarnation: member.incarnation,
            });
        let own = Sender {
            id: self.own.id.clone(),
            incarnation: Some(self.own.incarnation),
        };
        others.chain([own]).collect()
    }

    /// Whether this process, newly started, may take work: the others count on it from now on,
    /// because every listed one hears it or the list, where it registered, can't lag longer.
    ///
    /// Without this a holder that has not heard of the process would close an upstream while the
    /// process, cut off from the log, sends there.
    pub fn may_serve(&self, now: Moment) -> bool {
        let heard_by_all = self
            .members
            .values()
            .filter(|member| member.listed == Some(Mark::Live))
            .all(|member| member.hearing == Hearing::Hears);
        let known = self.members.values().any(|member| member.listed.is_some());
        (known && heard_by_all) || now.saturating_sub(self.started) >= self.settings.lag
    }

    /// Notices that this process was paused, and takes the pause out of everyone's silence.
    ///
    /// Symptom without it: a process that is continued after a minute takes all its peers for
    /// gone, because their frames still wait in its socket, and closes an upstream without them.
    fn notice_pause(&mut self, now: Moment) -> Outputs {
        let gap = now.saturating_sub(self.ticked);
        self.ticked = self.ticked.max(now);
        if gap < self.settings.pause {
            return Outputs::new();
        }
        self.listening_since = now;
        for member in self.members.values_mut() {
            member.present_at += gap;
            member.heard_at = member.heard_at.map(|at| at + gap);
        }
        smallvec![Output::Paused(gap)]
    }

    fn read_list(&mut self, now: Moment, view: &View, outputs: &mut Outputs) {
        for member in self.members.values_mut() {
            member.listed = None;
        }
        let entries = view.iter().filter(|line| line.kind == list::Kind::Entry);
        for line in entries.filter(|line| line.id != self.own.id) {
            let member = self
                .members
                .entry(line.id.clone())
                .or_insert_with(|| Member::new(&line.id, now));
            member.listed = Some(line.mark);
            member.present_at = now;
            member.address.clone_from(&line.address);
            member.data_centre.clone_from(&line.data_centre);
        }
        self.judge(now, outputs);
    }

    fn accept(&mut self, now: Moment, frame: &Frame, outputs: &mut Outputs) -> Result<(), Refusal> {
        let from = frame.from.as_ref().ok_or(Refusal::NoSender)?;
        if from.instance.is_empty() || from.instance == self.own.id {
            return Err(Refusal::NoSender);
        }
        let member = self
            .members
            .entry(from.instance.clone())
            .or_insert_with(|| Member::new(&from.instance, now));
        adopt(member, now, from.incarnation, outputs)?;
        if let Some(kind) = frame.body.as_ref().and_then(kind) {
            if frame.sequence <= member.sequences[kind] {
                return Err(Refusal::OlderSequence);
            }
            member.sequences[kind] = frame.sequence;
        }
        notice_return(member, now, &self.settings, outputs);
        if let Some(frame::Body::Heartbeat(beat)) = &frame.body {
            take_beat(member, &self.own, beat, outputs);
        }
        self.judge(now, outputs);
        Ok(())
    }

    fn tick(&mut self, now: Moment, progress: Progress, outputs: &mut Outputs) {
        self.judge(now, outputs);
        let forget = self.settings.gone_after + self.settings.forget_after;
        self.members.retain(|_, member| {
            member.state != State::Gone || now.saturating_sub(member.present_at) < forget
        });
        if now >= self.next_beat {
            self.next_beat = now + self.settings.beat;
            self.beat(now, progress, outputs);
        }
    }

    fn beat(&self, now: Moment, progress: Progress, outputs: &mut Outputs) {
        for member in self.members.values() {
            if member.state == State::Gone {
                continue;
            }
            let echo = member.incarnation.map(|incarnation| Echo {
                incarnation,
                sent_ms: member.sent_ms,
            });
            let heartbeat = Heartbeat {
                folded: progress.folded,
                revision: progress.revision,
                data_centre: self.own.data_centre.clone(),
                leaving: progress.leaving,
                rules: progress.rules,
                sent_ms: millis(now).max(1),
                echo,
            };
            outputs.push(Output::Beat {
                to: member.id.clone(),
                heartbeat,
            });
        }
    }

    /// Brings every member's state and hearing up to date and reports what changed.
    fn judge(&mut self, now: Moment, outputs: &mut Outputs) {
        for member in self.members.values_mut() {
            if member.listed.is_some() {
                // The list is read rarely; until it says otherwise, its last word holds.
                member.present_at = now;
            }
            let state = member.judge(now, &self.settings);
            if state != member.state {
                let was = Some(member.state);
                member.state = state;
                outputs.push(Output::Changed {
                    id: member.id.clone(),
                    was,
                    state,
                });
            }
            let hearing = judge_hearing(member, now, self.listening_since, &self.settings);
            if hearing != member.hearing {
                member.hearing = hearing;
                outputs.push(Output::Hearing {
                    id: member.id.clone(),
                    hearing,
                });
            }
        }
    }
}

/// Takes the sender's incarnation over if it is newer, and refuses an older one.
///
/// Symptom without the refusal: a delayed confirmation of a process that died counts for its
/// successor, which still sends to the upstream that is being closed.
fn adopt(
    member: &mut Member,
    now: Moment,
    incarnation: Incarnation,
    outputs: &mut Outputs,
) -> Result<(), Refusal> {
    match member.incarnation {
        Some(known) if incarnation < known => return Err(Refusal::OlderIncarnation),
        Some(known) if incarnation == known => return Ok(()),
        Some(_) => outputs.push(Output::Restarted {
            id: member.id.clone(),
            incarnation,
        }),
        None => {}
    }
    member.incarnation = Some(incarnation);
    member.incarnation_since = Some(now);
    // The silence before belongs to the former process; it is no return.
    member.heard_at = Some(now);
    member.present_at = now;
    member.progress = Progress::default();
    member.sent_ms = 0;
    member.echoed_at = None;
    member.hearing = Hearing::Unknown;
    member.sequences = Default::default();
    Ok(())
}

fn notice_return(member: &mut Member, now: Moment, settings: &Settings, outputs: &mut Outputs) {
    let silent = member.silence(now);
    if silent >= settings.suspect_after {
        outputs.push(Output::Returned {
            id: member.id.clone(),
            silent,
        });
    }
    member.heard_at = Some(now);
    member.present_at = now;
}

fn take_beat(member: &mut Member, own: &Own, beat: &Heartbeat, outputs: &mut Outputs) {
    member.progress = Progress::from(beat);
    member.sent_ms = beat.sent_ms;
    member.data_centre.clone_from(&beat.data_centre);
    let Some(echo) = beat.echo else { return };
    if echo.incarnation > own.incarnation {
        outputs.push(Output::Superseded(echo.incarnation));
    }
    if echo.incarnation == own.incarnation && echo.sent_ms > 0 {
        member.echoed_at = Some(Duration::from_millis(echo.sent_ms));
    }
}

/// A peer is deaf if it is heard, and had the time to hear this process, and yet echoes nothing
/// recent. A partition in one direction would otherwise look like health from this side.
fn judge_hearing(
    member: &Member,
    now: Moment,
    listening_since: Moment,
    settings: &Settings,
) -> Hearing {
    let (Some(heard_at), Some(since)) = (member.heard_at, member.incarnation_since) else {
        return Hearing::Unknown;
    };
    if now.saturating_sub(heard_at) >= settings.suspect_after {
        return Hearing::Unknown;
    }
    let recent = |at: Moment| now.saturating_sub(at) < settings.suspect_after;
    if member.echoed_at.is_some_and(recent) {
        return Hearing::Hears;
    }
    if recent(since) || recent(listening_since) {
        return member.hearing;
    }
    Hearing::Deaf
}

/// Slot of a kind of which only the newest frame counts. Queries and replies are paired by their
/// stream, and confirmations are ordered by [`crate::Drain`] for each order.
fn kind(body: &frame::Body) -> Option<usize> {
    match body {
        frame::Body::Heartbeat(_) => Some(0),
        frame::Body::Load(_) => Some(1),
        frame::Body::Shares(_) => Some(2),
        frame::Body::Burn(_) => Some(3),
        frame::Body::Confirm(_) | frame::Body::Query(_) | frame::Body::Reply(_) => None,
    }
}

fn millis(moment: Moment) -> u64 {
    u64::try_from(moment.as_millis()).unwrap_or(u64::MAX)
}
