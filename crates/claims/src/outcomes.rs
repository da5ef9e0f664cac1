//! Outcomes to be appended. They are delayed and batched: only repeats wait for them, and appending
//! one twice is harmless.

use clock::Moment;
use wire::record::{KeyEnd, KeyOutcome};

use crate::{Digest, Nonce, Offset};

/// Outcomes that are queued or in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Outcomes {
    queued: Vec<KeyOutcome>,
    in_flight: Option<InFlight>,
    last_append: Option<Moment>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    nonce: Nonce,
    sent_at: Moment,
    outcomes: Vec<KeyOutcome>,
}

impl Outcomes {
    pub(crate) fn add(&mut self, key: &Digest, claim: Offset, end: KeyEnd) {
        self.queued.push(KeyOutcome {
            key: key.to_vec(),
            claim,
            end: end.into(),
        });
    }

    /// When the next batch may be appended. `None` if no outcome is queued or a batch is in flight.
    pub(crate) fn due_at(&self, interval: Moment) -> Option<Moment> {
        if self.queued.is_empty() || self.in_flight.is_some() {
            return None;
        }
        Some(
            self.last_append
                .map_or(Moment::ZERO, |last| last + interval),
        )
    }

    /// Takes a batch of at most `max` outcomes to be appended with this nonce.
    pub(crate) fn take_batch(&mut self, now: Moment, nonce: Nonce, max: usize) -> Vec<KeyOutcome> {
        let rest = self.queued.split_off(self.queued.len().min(max));
        let outcomes = std::mem::replace(&mut self.queued, rest);
        self.last_append = Some(now);
        self.in_flight = Some(InFlight {
            nonce,
            sent_at: now,
            outcomes: outcomes.clone(),
        });
        outcomes
    }

    /// Drops the batch with this nonce, which was read back.
    pub(crate) fn read_back(&mut self, nonce: &Nonce) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|batch| batch.nonce == *nonce)
        {
            self.in_flight = None;
        }
    }

    /// Queues the batch with this nonce again, because its append was rejected.
    pub(crate) fn requeue(&mut self, nonce: &Nonce) {
        if let Some(batch) = self.in_flight.take_if(|batch| batch.nonce == *nonce) {
            self.queued.splice(0..0, batch.outcomes);
        }
    }

    /// Queues the batch in flight again if it was not read back within `timeout`.
    pub(crate) fn expire(&mut self, now: Moment, timeout: Moment) {
        if let Some(batch) = self
            .in_flight
            .take_if(|batch| batch.sent_at + timeout <= now)
        {
            self.queued.splice(0..0, batch.outcomes);
        }
    }

    pub(crate) fn expires_at(&self, timeout: Moment) -> Option<Moment> {
        self.in_flight.as_ref().map(|batch| batch.sent_at + timeout)
    }
}
