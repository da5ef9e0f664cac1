//! Calls that this instance places for others, which know too little to place them.
//!
//! They stand in the books as its own calls do: the next one is placed with them in mind, the other placers are told of
//! them, and speed, pace and overrun are learned from them. Whoever sends such a call sees a call or two a second, and
//! would learn in minutes what a placer learns in seconds. Only outcomes are taken as another instance's word.

use std::time::Duration;

use clock::Moment;

use super::{Fleet, PeerId, Sent};
use crate::EngineId;
use crate::engine::{Rank, Ticket};
use crate::health::Outcome;

/// A call of another instance.
#[derive(Clone, Debug)]
pub(super) struct Lent {
    sent: Sent,
    since: Moment,
}

/// Time after which a call that its sender does not name among those in hand has ended, and the report of it was lost. It
/// spans the way of the answer by which the sender learned of its place.
const SETTLED: Duration = Duration::from_millis(500);

impl Fleet {
    /// Enters a call of another instance, by the number that it has there.
    pub fn lend(
        &mut self,
        peer: PeerId,
        ticket: Ticket,
        id: &EngineId,
        work: u32,
        rank: Rank,
        now: Moment,
    ) {
        self.heard.insert(peer, now);
        let sent = self.begin(id, work, rank, now);
        let lent = Lent { sent, since: now };
        self.lent.entry(peer).or_default().insert(ticket, lent);
    }

    /// Takes in that the prompt of another instance's call was read at a moment.
    pub fn lent_read(&mut self, peer: PeerId, ticket: Ticket, at: Moment) {
        let lent = self.lent.get(&peer).and_then(|lent| lent.get(&ticket));
        if let Some(sent) = lent.map(|lent| lent.sent.clone()) {
            self.first(&sent, at);
        }
    }

    /// Takes in that another instance's call has ended.
    pub fn lent_ended(
        &mut self,
        peer: PeerId,
        ticket: Ticket,
        outcome: Option<Outcome>,
        now: Moment,
    ) {
        let lent = self.lent.get_mut(&peer);
        let Some(Lent { sent, .. }) = lent.and_then(|lent| lent.remove(&ticket)) else {
            return;
        };
        // That an engine has ended is certain, whoever says it.
        let certain = outcome.filter(|outcome| *outcome == Outcome::Ended);
        self.end(&sent, certain, now);
        if let (Some(engine), Some(outcome)) = (self.engines.get_mut(&sent.engine), outcome) {
            engine.told.note(peer, outcome, now);
        }
    }

    /// Takes in all calls that another instance has in hand of those that this one placed for it.
    pub fn lent_open(&mut self, peer: PeerId, open: &[Ticket], now: Moment) {
        let Some(lent) = self.lent.get(&peer) else {
            return;
        };
        self.heard.insert(peer, now);
        let is_settled = |lent: &Lent| now.saturating_sub(lent.since) > SETTLED;
        let over = lent
            .iter()
            .filter(|(ticket, lent)| is_settled(lent) && !open.contains(ticket));
        let over: Vec<Ticket> = over.map(|(ticket, _)| *ticket).collect();
        for ticket in over {
            self.lent_ended(peer, ticket, None, now);
        }
    }

    /// Ends all calls of an instance that has ended or fallen silent.
    pub(super) fn end_all_lent(&mut self, peer: PeerId, now: Moment) {
        for lent in self.lent.remove(&peer).into_iter().flatten() {
            self.end(&lent.1.sent, None, now);
        }
    }
}
