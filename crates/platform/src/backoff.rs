//! Growing pauses between tries.

use std::time::Duration;

use crate::Jitter;

/// Exponential backoff with full jitter between half and the whole of each step, so that entries
/// that lost the log at the same moment don't come back to it at the same moment.
pub struct Backoff {
    base: Duration,
    most: Duration,
    failures: u32,
    jitter: Jitter,
}

impl Backoff {
    /// Steps from `base`, doubling up to `most`.
    pub fn new(base: Duration, most: Duration, jitter: Jitter) -> Self {
        Self {
            base,
            most,
            failures: 0,
            jitter,
        }
    }

    /// The next pause. A pause that the server asked for is never cut short.
    pub fn next(&mut self, asked: Option<Duration>) -> Duration {
        let doubled = self.base.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let step = doubled.min(self.most);
        let pause = step.mul_f64(0.5 + 0.5 * (self.jitter)().clamp(0.0, 1.0));
        pause.max(asked.unwrap_or_default())
    }

    /// Forgets the failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
