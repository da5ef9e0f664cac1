//! Appends claims and outcomes, and repeats claims that were not read back.

use clock::Moment;
use smallvec::SmallVec;
use wire::record::record::Body;
use wire::record::{KeyClaim, KeyClaims, KeyOutcomes};

use super::Batcher;
use crate::{CallId, LogStatus, Nonce, Offset, Output, Outputs};

/// An append of claims that is not read back yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct InFlightAppend {
    pub(super) calls: SmallVec<[CallId; 8]>,
    pub(super) sent_at: Moment,
    pub(super) offset: Option<Offset>,
}

impl Batcher {
    pub(super) fn requeue(&mut self, nonce: &Nonce) {
        self.outcomes.requeue(nonce);
        if let Some(append) = self.in_flight.remove(nonce) {
            for id in append.calls {
                self.calls.enqueue(id);
            }
        }
    }

    /// Queues calls again whose append was not read back in time. Both claims may be logged: the
    /// first decides the call, and the second belongs to a call that is already decided.
    pub(super) fn expire_appends(&mut self, now: Moment) {
        let (timeout, folded) = (self.limits.read_back_timeout, self.claims.folded());
        let overdue = |append: &InFlightAppend| match append.offset {
            Some(offset) => offset <= folded,
            None => append.sent_at + timeout <= now,
        };
        let expired: SmallVec<[Nonce; 2]> = self
            .in_flight
            .iter()
            .filter(|(_, append)| overdue(append))
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in expired {
            self.requeue(&nonce);
        }
    }

    pub(super) fn append_due(&mut self, now: Moment, outputs: &mut Outputs) {
        if self.log == LogStatus::Down {
            return;
        }
        if self.in_flight.len() < self.limits.max_in_flight
            && self.next_claims <= now
            && self.calls.has_queued()
        {
            self.append_claims(now, outputs);
        }
        let due = self.outcomes.due_at(self.limits.outcome_interval);
        if due.is_some_and(|due| due <= now) {
            let nonce = self.next_nonce();
            let outcomes = self.outcomes.take_batch(now, nonce, self.limits.max_batch);
            let body = Body::KeyOutcomes(KeyOutcomes { outcomes });
            outputs.push(Output::Append { nonce, body });
        }
    }

    fn append_claims(&mut self, now: Moment, outputs: &mut Outputs) {
        let calls = self.calls.take_queued(self.limits.max_batch);
        if calls.is_empty() {
            return;
        }
        let claim = |id: &CallId| {
            let call = &self.calls.get(*id)?.call;
            Some(KeyClaim {
                key: call.key.to_vec(),
                request: call.request.clone(),
                fingerprint: call.fingerprint.to_vec(),
            })
        };
        let claims = calls.iter().filter_map(claim).collect();
        let nonce = self.next_nonce();
        let append = InFlightAppend {
            calls,
            sent_at: now,
            offset: None,
        };
        self.in_flight.insert(nonce, append);
        self.next_claims = now + self.limits.claim_interval;
        let body = Body::KeyClaims(KeyClaims { claims });
        outputs.push(Output::Append { nonce, body });
    }

    /// Returns a nonce that this process has not used.
    fn next_nonce(&mut self) -> Nonce {
        self.nonces_used += 1;
        let mut nonce = Nonce::default();
        let (seed, counter) = nonce.split_at_mut(8);
        seed.copy_from_slice(&self.seed.to_be_bytes());
        counter.copy_from_slice(&self.nonces_used.to_be_bytes());
        nonce
    }
}
