//! Learns how much longer late calls wait than the work queued before them takes. In peaks engines
//! get more calls that can be on time than they can read, so late calls wait until their callers
//! leave.

use std::time::Duration;

use clock::Moment;

use crate::decaying_rate::retained;

/// Ratio of observed to simulated waiting time, at least one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitOverrun {
    /// Logarithm of the factor.
    log: f64,
    updated_at: Moment,
}

/// Weight of one sample.
const WEIGHT: f64 = 0.1;
/// Time constant with which the factor returns to one: if every late call is refused because of it,
/// no sample shows that the peak is over. Longer than the pauses between the waves of a peak.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Largest factor of one sample: a call that was expected to be read at once and waited long says
/// little about others.
const MAX_SAMPLE: f64 = 8.0;

impl WaitOverrun {
    /// The current factor.
    pub(crate) fn factor(&self, now: Moment) -> f64 {
        self.decayed(now).exp()
    }

    /// Records that a call was read after this multiple of the expected time.
    pub(crate) fn observe(&mut self, factor: f64, now: Moment) {
        let log = self.decayed(now);
        self.log = log + WEIGHT * (factor.clamp(1.0, MAX_SAMPLE).ln() - log);
        self.updated_at = now;
    }

    /// Records that a caller left after this multiple of the expected time, before its prompt was
    /// read.
    pub(crate) fn observe_abandoned(&mut self, factor: f64, now: Moment) {
        if factor > self.factor(now) {
            self.observe(factor, now);
        }
    }

    fn decayed(&self, now: Moment) -> f64 {
        self.log * retained(now.saturating_sub(self.updated_at), TIME_CONSTANT)
    }
}
