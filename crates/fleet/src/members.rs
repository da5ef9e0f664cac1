//! The rules of the membership of entries.

use std::collections::BTreeMap;

use clock::Moment;
use smallvec::smallvec;
use wire::peer::{Echo, Frame, Heartbeat, frame};

use crate::Id;
use crate::list::{self, Mark, View};
use crate::member::{
    Input, LocalMember, Member, Output, Outputs, Progress, Refusal, Sender, Settings, State,
};

/// The entries that this process knows through the instance list and through their frames.
///
/// A member that is gone is kept for a while, so that late frames of its process are refused.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Members {
    own: LocalMember,
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
    pub fn new(own: LocalMember, settings: Settings, now: Moment) -> Self {
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
    pub fn local(&self) -> &LocalMember {
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
    ///
    /// It is enough that each one's newest incarnation heard it once: that one counts it from
    /// then on. If all had to go on hearing it, an entry that serves since seconds would refuse
    /// its callers as soon as another is paused or killed.
    ///
    /// The first yes is not kept for good. A holder that starts meanwhile and has not heard of
    /// this process would not wait for it, so the answer is no again until that one has, or until
    /// the lag is over.
    pub fn may_serve(&self, now: Moment) -> bool {
        let heard_by_all = self
            .members
            .values()
            .filter(|member| member.listed == Some(Mark::Live))
            .all(|member| member.echoed_at.is_some());
        let known = self.members.values().any(|member| member.listed.is_some());
        (known && heard_by_all) || now.saturating_sub(self.started) >= self.settings.list_lag
    }

    /// The members whose newest heartbeat was certainly sent after this process started, or was
    /// continued after its last pause: it echoes one that this process sent since.
    ///
    /// Symptom when any heartbeat is taken for news: a process that is continued after a minute
    /// reads one that waited in its socket since the pause began, finds nothing newer in it than
    /// what it knows, and sends work to an upstream that was closed meanwhile.
    pub fn with_fresh_heartbeat(&self) -> impl Iterator<Item = &Member> {
        let since = millis(self.listening_since);
        self.members.values().filter(move |member| {
            let echoed = member.echoed_at.map(millis);
            echoed.is_some_and(|echoed| echoed >= since)
        })
    }

    /// Notices that this process was paused, and takes the pause out of everyone's silence.
    ///
    /// Symptom without it: a process that is continued after a minute takes all its peers for
    /// gone, because their frames still wait in its socket, and closes an upstream without them.
    fn notice_pause(&mut self, now: Moment) -> Outputs {
        let gap = now.saturating_sub(self.ticked);
        self.ticked = self.ticked.max(now);
        if gap < self.settings.pause_threshold {
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
        member.adopt(now, from.incarnation, outputs)?;
        if let Some(kind) = frame.body.as_ref().and_then(kind) {
            if frame.sequence <= member.sequences[kind] {
                return Err(Refusal::OlderSequence);
            }
            member.sequences[kind] = frame.sequence;
        }
        member.hear(now, &self.settings, outputs);
        if let Some(frame::Body::Heartbeat(beat)) = &frame.body {
            member.take_beat(&self.own, beat, outputs);
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
            self.next_beat = now + self.settings.heartbeat_interval;
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
            outputs.push(Output::SendHeartbeat {
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
            let hearing = member.judge_hearing(now, self.listening_since, &self.settings);
            if hearing != member.hearing {
                member.hearing = hearing;
                outputs.push(Output::HearingChanged {
                    id: member.id.clone(),
                    hearing,
                });
            }
        }
    }
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
