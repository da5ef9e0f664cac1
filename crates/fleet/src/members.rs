//! Rules of the membership of entries.

use std::collections::BTreeMap;

use clock::Moment;
use smallvec::smallvec;
use wire::peer::{Echo, Frame, Heartbeat, frame};

use crate::Id;
use crate::list::{self, Mark, View};
use crate::member::{
    Input, LocalMember, Member, Output, Outputs, Progress, Refusal, Sender, Settings, State,
};

/// The other entries, known from the instance list and from their frames.
///
/// A gone member is kept for a while, so that late frames of its process are refused.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Members {
    local: LocalMember,
    settings: Settings,
    members: BTreeMap<Id, Member>,
    started_at: Moment,
    last_step_at: Moment,
    /// Start of this process or end of its last pause; silence before that proves nothing.
    listening_since: Moment,
    next_heartbeat_at: Moment,
}

impl Members {
    /// Starts without members.
    pub fn new(local: LocalMember, settings: Settings, now: Moment) -> Self {
        Self {
            local,
            settings,
            members: BTreeMap::new(),
            started_at: now,
            last_step_at: now,
            listening_since: now,
            next_heartbeat_at: now,
        }
    }

    /// Processes one input and returns the resulting outputs.
    pub fn step(&mut self, now: Moment, input: Input<'_>) -> Outputs {
        let mut outputs = self.detect_pause(now);
        match input {
            Input::List(view) => self.read_list(now, view, &mut outputs),
            Input::Frame(frame) => match self.accept_frame(now, frame, &mut outputs) {
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

    /// All members except this process, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// This process.
    pub fn local(&self) -> &LocalMember {
        &self.local
    }

    /// The entries that may still send to an upstream, including this process: all that are listed
    /// or were heard recently. Only those that are certainly gone are left out.
    ///
    /// A listed entry that can't be reached is included and blocks a planned change, because it may
    /// be serving callers behind a partition.
    pub fn senders(&self) -> Vec<Sender> {
        let others = self
            .members
            .values()
            .filter(|member| member.state != State::Gone)
            .map(|member| Sender {
                id: member.id.clone(),
                incarnation: member.incarnation,
            });
        let local = Sender {
            id: self.local.id.clone(),
            incarnation: Some(self.local.incarnation),
        };
        others.chain([local]).collect()
    }

    /// Whether this newly started process may take work: the others take it into account from now
    /// on, because every listed one has heard it, or the list, where it is registered, can't lag
    /// any longer.
    ///
    /// Otherwise a lease holder that has not heard of this process could close an upstream while
    /// the process, cut off from the log, sends there.
    ///
    /// It is enough that each entry's newest incarnation heard it once and counts it from then on.
    /// If all had to go on hearing it, an entry that has only just begun to serve would refuse its
    /// callers as soon as another is paused or killed.
    ///
    /// A positive result does not last: a holder that starts later and has not heard of this
    /// process would not wait for it, so the result is negative again until that one has, or until
    /// the lag is over.
    pub fn may_serve(&self, now: Moment) -> bool {
        let heard_by_all = self
            .members
            .values()
            .filter(|member| member.listed == Some(Mark::Live))
            .all(|member| member.echoed_at.is_some());
        let any_listed = self.members.values().any(|member| member.listed.is_some());
        (any_listed && heard_by_all)
            || now.saturating_sub(self.started_at) >= self.settings.list_lag
    }

    /// Members whose newest heartbeat was certainly sent after this process started or resumed from
    /// its last pause: it echoes a heartbeat that this process has sent since.
    ///
    /// Any other heartbeat may have waited in the socket since the pause began. A process that
    /// resumes after a minute would find nothing newer in it, and would send work to an upstream
    /// that was closed meanwhile.
    pub fn with_fresh_heartbeat(&self) -> impl Iterator<Item = &Member> {
        let since = millis(self.listening_since);
        self.members.values().filter(move |member| {
            let echoed = member.echoed_at.map(millis);
            echoed.is_some_and(|echoed| echoed >= since)
        })
    }

    /// Detects that this process was paused, and does not count the pause as silence of its peers.
    ///
    /// Otherwise a process that resumes after a minute would take all its peers for gone, because
    /// their frames still wait in its socket, and would close an upstream without them.
    fn detect_pause(&mut self, now: Moment) -> Outputs {
        let gap = now.saturating_sub(self.last_step_at);
        self.last_step_at = self.last_step_at.max(now);
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
        for line in entries.filter(|line| line.id != self.local.id) {
            let member = self
                .members
                .entry(line.id.clone())
                .or_insert_with(|| Member::new(&line.id, now));
            member.listed = Some(line.mark);
            member.present_at = now;
            member.address.clone_from(&line.address);
            member.data_centre.clone_from(&line.data_centre);
        }
        self.update_states(now, outputs);
    }

    fn accept_frame(
        &mut self,
        now: Moment,
        frame: &Frame,
        outputs: &mut Outputs,
    ) -> Result<(), Refusal> {
        let from = frame.from.as_ref().ok_or(Refusal::NoSender)?;
        if from.instance.is_empty() || from.instance == self.local.id {
            return Err(Refusal::NoSender);
        }
        let member = self
            .members
            .entry(from.instance.clone())
            .or_insert_with(|| Member::new(&from.instance, now));
        member.accept_incarnation(now, from.incarnation, outputs)?;
        if let Some(kind) = frame.body.as_ref().and_then(sequence_slot) {
            if frame.sequence <= member.sequences[kind] {
                return Err(Refusal::OlderSequence);
            }
            member.sequences[kind] = frame.sequence;
        }
        member.record_frame(now, &self.settings, outputs);
        if let Some(frame::Body::Heartbeat(heartbeat)) = &frame.body {
            member.apply_heartbeat(&self.local, heartbeat, outputs);
        }
        self.update_states(now, outputs);
        Ok(())
    }

    fn tick(&mut self, now: Moment, progress: Progress, outputs: &mut Outputs) {
        self.update_states(now, outputs);
        let forget = self.settings.gone_after + self.settings.forget_after;
        self.members.retain(|_, member| {
            member.state != State::Gone || now.saturating_sub(member.present_at) < forget
        });
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.settings.heartbeat_interval;
            self.send_heartbeats(now, progress, outputs);
        }
    }

    fn send_heartbeats(&self, now: Moment, progress: Progress, outputs: &mut Outputs) {
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
                data_centre: self.local.data_centre.clone(),
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

    /// Updates the state and hearing of every member and reports the changes.
    fn update_states(&mut self, now: Moment, outputs: &mut Outputs) {
        for member in self.members.values_mut() {
            if member.listed.is_some() {
                // The list is read rarely; its last reading holds until the next.
                member.present_at = now;
            }
            let state = member.derive_state(now, &self.settings);
            if state != member.state {
                let was = Some(member.state);
                member.state = state;
                outputs.push(Output::Changed {
                    id: member.id.clone(),
                    was,
                    state,
                });
            }
            let hearing = member.derive_hearing(now, self.listening_since, &self.settings);
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

/// Sequence slot of a kind of which only the newest frame counts. Queries and replies are matched
/// by their stream, and [`crate::Drain`] keeps the newest confirmation of each order.
fn sequence_slot(body: &frame::Body) -> Option<usize> {
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
