//! Appends claims and outcomes, and claims anew what was not read back.

use clock::Moment;
use smallvec::SmallVec;
use wire::record::record::Body;
use wire::record::{KeyClaim, KeyClaims, KeyOutcomes};

use super::Batcher;
use crate::{CallId, LogStatus, Nonce, Offset, Output, Outputs};

/// An append of claims that was sent and not read back yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Flight {
    pub(super) tickets: SmallVec<[CallId; 8]>,
    pub(super) sent: Moment,
    pub(super) landed: Option<Offset>,
}

impl Batcher {
    pub(super) fn requeue(&mut self, nonce: &Nonce) {
        self.outcomes.failed(nonce);
        if let Some(flight) = self.flights.remove(nonce) {
            for ticket in flight.tickets {
                self.ledger.queue(ticket);
            }
        }
    }

    /// Claims calls again whose append was not read back in time. Both claims may come to stand:
    /// the first of them decides the call, and the second is that of a call which is decided.
    pub(super) fn expire_flights(&mut self, now: Moment) {
        let (patience, folded) = (self.pace.read_back_timeout, self.book.folded());
        let overdue = |flight: &Flight| match flight.landed {
            Some(offset) => offset <= folded,
            None => flight.sent + patience <= now,
        };
        let expired: SmallVec<[Nonce; 2]> = self
            .flights
            .iter()
            .filter(|(_, flight)| overdue(flight))
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in expired {
            self.requeue(&nonce);
        }
    }

    pub(super) fn appends(&mut self, now: Moment, outputs: &mut Outputs) {
        if self.reach == LogStatus::Down {
            return;
        }
        if self.flights.len() < self.pace.max_in_flight
            && self.next <= now
            && self.ledger.has_queued()
        {
            self.append_claims(now, outputs);
        }
        let due = self.outcomes.due(self.pace.outcome_interval);
        if due.is_some_and(|due| due <= now) {
            let nonce = self.draw();
            let outcomes = self.outcomes.take(now, nonce, self.pace.max_batch);
            let body = Body::KeyOutcomes(KeyOutcomes { outcomes });
            outputs.push(Output::Append { nonce, body });
        }
    }

    fn append_claims(&mut self, now: Moment, outputs: &mut Outputs) {
        let tickets = self.ledger.take_queued(self.pace.max_batch);
        if tickets.is_empty() {
            return;
        }
        let claim = |ticket: &CallId| {
            let call = &self.ledger.get(*ticket)?.call;
            Some(KeyClaim {
                key: call.key.to_vec(),
                request: call.request.clone(),
                fingerprint: call.fingerprint.to_vec(),
            })
        };
        let claims = tickets.iter().filter_map(claim).collect();
        let nonce = self.draw();
        let flight = Flight {
            tickets,
            sent: now,
            landed: None,
        };
        self.flights.insert(nonce, flight);
        self.next = now + self.pace.claim_interval;
        let body = Body::KeyClaims(KeyClaims { claims });
        outputs.push(Output::Append { nonce, body });
    }

    /// A nonce that this process has not used.
    fn draw(&mut self) -> Nonce {
        self.drawn += 1;
        let mut nonce = Nonce::default();
        let (seed, drawn) = nonce.split_at_mut(8);
        seed.copy_from_slice(&self.seed.to_be_bytes());
        drawn.copy_from_slice(&self.drawn.to_be_bytes());
        nonce
    }
}
