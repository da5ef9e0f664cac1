//! Delay of first tokens beyond their estimates.

use std::time::Duration;

use clock::Moment;

/// Weight of the newest sample.
const WEIGHT: f64 = 0.05;

/// Time after the last sample at which decay begins, and the time constant of the decay.
const HOLD_TIME: Duration = Duration::from_secs(2);
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Smoothed lateness of first tokens.
///
/// Estimates do not include requests sent by other entries, nor later requests of higher classes
/// that are served first; the lateness accounts for both. It decays over time because a lateness
/// that causes every request to be refused would otherwise never be corrected by a new first
/// token, and a fault of a minute would close a class permanently.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    seconds: f64,
    at: Moment,
}

impl Lateness {
    /// The lateness in seconds.
    pub fn seconds(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at + HOLD_TIME).as_secs_f64();
        self.seconds * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Records a first token that was expected after `expected` seconds and took `took`.
    pub fn record(&mut self, now: Moment, expected: f64, took: f64) {
        let old = self.seconds(now);
        self.seconds = old + WEIGHT * ((took - expected).max(0.0) - old);
        self.at = now;
    }
}
