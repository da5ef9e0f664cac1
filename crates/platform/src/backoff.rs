//! Exponential backoff between retries.

use std::time::Duration;

use crate::Jitter;

/// Exponential backoff with jitter between half of each step and the whole step, so that instances
/// that lost the log at the same moment don't retry at the same moment.
pub struct Backoff {
    base: Duration,
    max: Duration,
    failures: u32,
    jitter: Jitter,
}

impl Backoff {
    /// The first step is `base`; each further one doubles, up to `max`.
    pub fn new(base: Duration, max: Duration, jitter: Jitter) -> Self {
        Self {
            base,
            max,
            failures: 0,
            jitter,
        }
    }

    /// The delay before the next attempt, never shorter than the server's `retry_after`.
    pub fn next(&mut self, retry_after: Option<Duration>) -> Duration {
        let doubled = self.base.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let step = doubled.min(self.max);
        let delay = step.mul_f64(0.5 + 0.5 * (self.jitter)().clamp(0.0, 1.0));
        delay.max(retry_after.unwrap_or_default())
    }

    /// Starts again from the first step, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
