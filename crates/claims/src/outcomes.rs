//! Outcomes that this process has to write. They are written late and in groups: nothing waits for
//! them but repeats, and writing one twice does no harm.

use clock::Moment;
use wire::record::{KeyEnd, KeyOutcome};

use crate::{Digest, Nonce, Offset};

/// Outcomes by where they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Outcomes {
    pending: Vec<KeyOutcome>,
    flight: Option<Flight>,
    last: Option<Moment>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flight {
    nonce: Nonce,
    sent: Moment,
    outcomes: Vec<KeyOutcome>,
}

impl Outcomes {
    pub(crate) fn add(&mut self, key: &Digest, claim: Offset, end: KeyEnd) {
        self.pending.push(KeyOutcome {
            key: key.to_vec(),
            claim,
            end: end.into(),
        });
    }

    /// When the next ones may be written, if there are any and none are on their way.
    pub(crate) fn due(&self, interval: Moment) -> Option<Moment> {
        if self.pending.is_empty() || self.flight.is_some() {
            return None;
        }
        Some(self.last.map_or(Moment::ZERO, |last| last + interval))
    }

    /// Takes outcomes to be written under this nonce.
    pub(crate) fn take(&mut self, now: Moment, nonce: Nonce, most: usize) -> Vec<KeyOutcome> {
        let rest = self.pending.split_off(self.pending.len().min(most));
        let outcomes = std::mem::replace(&mut self.pending, rest);
        self.last = Some(now);
        self.flight = Some(Flight {
            nonce,
            sent: now,
            outcomes: outcomes.clone(),
        });
        outcomes
    }

    /// Notes that the outcomes of this nonce were read back.
    pub(crate) fn read_back(&mut self, nonce: &Nonce) {
        if self
            .flight
            .as_ref()
            .is_some_and(|flight| flight.nonce == *nonce)
        {
            self.flight = None;
        }
    }

    /// Takes the outcomes of this nonce back to be written again.
    pub(crate) fn failed(&mut self, nonce: &Nonce) {
        if let Some(flight) = self.flight.take_if(|flight| flight.nonce == *nonce) {
            self.pending.splice(0..0, flight.outcomes);
        }
    }

    /// Takes back outcomes that were sent too long ago.
    pub(crate) fn expire(&mut self, now: Moment, patience: Moment) {
        if let Some(flight) = self.flight.take_if(|flight| flight.sent + patience <= now) {
            self.pending.splice(0..0, flight.outcomes);
        }
    }

    pub(crate) fn expires(&self, patience: Moment) -> Option<Moment> {
        self.flight.as_ref().map(|flight| flight.sent + patience)
    }
}
