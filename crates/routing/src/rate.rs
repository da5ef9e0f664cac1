//! Smoothed event rates.

use std::time::Duration;

use clock::Moment;

/// An exponentially weighted moving rate. It needs no buckets, because the sum decays with the
/// time since the last event.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    sum: f64,
    at: Moment,
    start: Moment,
    window: Duration,
}

impl Rate {
    /// A rate smoothed over about `window`.
    pub fn new(now: Moment, window: Duration) -> Self {
        Self {
            sum: 0.0,
            at: now,
            start: now,
            window,
        }
    }

    /// Adds `amount` at `now`.
    pub fn record(&mut self, now: Moment, amount: f64) {
        self.sum = self.decayed(now) + amount;
        self.at = now.max(self.at);
    }

    /// Amount per second. Within the first window the sum is divided by the time actually covered,
    /// so that a new rate does not look low.
    pub fn per_second(&self, now: Moment) -> f64 {
        let window = self.window.as_secs_f64();
        let age = now.saturating_sub(self.start).as_secs_f64();
        let covered = window * (1.0 - (-age / window).exp());
        let least = window * MIN_COVERED_SHARE;
        self.decayed(now) / covered.max(least)
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / self.window.as_secs_f64()).exp()
    }
}

/// Least share of the window that is taken as covered.
const MIN_COVERED_SHARE: f64 = 0.1;
