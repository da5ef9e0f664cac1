//! How much longer calls that yield wait than what was before them takes. The load that this answers: peaks in
//! which engines get more calls that can be on time than they read, so that the others wait to their callers' end.

use std::time::Duration;

use clock::Moment;

/// How much longer than played forward, as a factor of at least one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitOverrun {
    /// Logarithm of the factor.
    log: f64,
    updated_at: Moment,
}

/// Weight of one observation.
const WEIGHT: f64 = 0.1;
/// Time constant in which the factor comes back to one: where every call is refused by it, none tells that the
/// peak is over. Longer than the pauses between the waves of a peak.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Largest factor of one observation: a call that was expected at once and waited long says little of others.
const MAX_SAMPLE: f64 = 8.0;

impl WaitOverrun {
    /// The factor.
    pub(crate) fn factor(&self, now: Moment) -> f64 {
        self.decayed(now).exp()
    }

    /// Takes in that a call was read after this many times what was expected.
    pub(crate) fn observe(&mut self, factor: f64, now: Moment) {
        let log = self.decayed(now);
        self.log = log + WEIGHT * (factor.clamp(1.0, MAX_SAMPLE).ln() - log);
        self.updated_at = now;
    }

    /// Takes in that a call had waited so long when its caller left, and was not read.
    pub(crate) fn observe_abandoned(&mut self, factor: f64, now: Moment) {
        if factor > self.factor(now) {
            self.observe(factor, now);
        }
    }

    fn decayed(&self, now: Moment) -> f64 {
        let past = now.saturating_sub(self.updated_at).as_secs_f64();
        self.log * (-past / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
