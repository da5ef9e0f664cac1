//! Calls that this instance places for other instances.
//!
//! They are recorded like its own calls: the next one is placed with them in mind, other placers
//! are told of them, and speed, slowdown and overrun are learned from them. Their senders see one
//! or two calls per second and would learn in minutes what a placer learns in seconds. Only their
//! outcomes are treated as another instance's reports.

use std::time::Duration;

use clock::Moment;

use super::{Fleet, PeerId, SentCall};
use crate::EngineId;
use crate::engine::{Rank, Ticket};
use crate::health::Outcome;

/// A call of another instance.
#[derive(Clone, Debug)]
pub(super) struct RemoteCall {
    sent: SentCall,
    begun_at: Moment,
}

/// Time after which a call that its sender does not list as open has ended, and the report of its
/// end was lost. It spans the transit of the answer by which the sender learned of the placement.
const SETTLE_TIME: Duration = Duration::from_millis(500);

impl Fleet {
    /// Records a call of another instance that is sent at a moment, by its ticket there.
    pub fn begin_remote_call(
        &mut self,
        peer: PeerId,
        ticket: Ticket,
        id: &EngineId,
        work: u32,
        rank: Rank,
        at: Moment,
    ) {
        self.peer_heard_at.insert(peer, at);
        let sent = self.begin_call(id, work, rank, at);
        let remote = RemoteCall { sent, begun_at: at };
        self.remote_calls
            .entry(peer)
            .or_default()
            .insert(ticket, remote);
    }

    /// Records that the prompt of another instance's call was read at a moment.
    pub fn remote_prompt_read(&mut self, peer: PeerId, ticket: Ticket, at: Moment) {
        let remote = self
            .remote_calls
            .get(&peer)
            .and_then(|remote| remote.get(&ticket));
        if let Some(sent) = remote.map(|remote| remote.sent.clone()) {
            self.prompt_read(&sent, at);
        }
    }

    /// Records that another instance's call has ended.
    pub fn end_remote_call(
        &mut self,
        peer: PeerId,
        ticket: Ticket,
        outcome: Option<Outcome>,
        now: Moment,
    ) {
        let remote = self.remote_calls.get_mut(&peer);
        let Some(RemoteCall { sent, .. }) = remote.and_then(|remote| remote.remove(&ticket)) else {
            return;
        };
        self.learn_from_call(&sent, outcome, now);
        // The end of an engine is certain, whoever reports it.
        let certain = outcome.filter(|outcome| *outcome == Outcome::Ended);
        self.end_call(&sent, certain, now);
        if let (Some(engine), Some(outcome)) = (self.engines.get_mut(&sent.engine), outcome) {
            engine.peer_reports.record(peer, outcome, now);
        }
    }

    /// Ends the calls placed for another instance that are not among those it lists as open.
    pub fn retain_remote_calls(&mut self, peer: PeerId, open: &[Ticket], now: Moment) {
        let Some(remote) = self.remote_calls.get(&peer) else {
            return;
        };
        self.peer_heard_at.insert(peer, now);
        let is_settled = |remote: &RemoteCall| now.saturating_sub(remote.begun_at) > SETTLE_TIME;
        let ended = remote
            .iter()
            .filter(|(ticket, remote)| is_settled(remote) && !open.contains(ticket));
        let over: Vec<Ticket> = ended.map(|(ticket, _)| *ticket).collect();
        for ticket in over {
            self.end_remote_call(peer, ticket, None, now);
        }
    }

    /// Ends all calls of an instance that has ended or is silent.
    pub(super) fn end_remote_calls(&mut self, peer: PeerId, now: Moment) {
        for remote in self.remote_calls.remove(&peer).into_iter().flatten() {
            self.end_call(&remote.1.sent, None, now);
        }
    }
}
