//! A token bucket with a variable rate.

use std::time::Duration;

use clock::Moment;

/// Capacity of a bucket, in seconds of its rate. An entry's share of a small limit is a few
/// requests per second; a smaller bucket would refuse coincident requests far below the limit.
const BURST_S: f64 = 1.5;

/// A token bucket. Its level may become negative: a request larger than the bucket is admitted
/// when the bucket is full and paid off afterwards, and a request that used more than expected is
/// charged at its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    rate: f64,
    min_capacity: f64,
    level: f64,
    refilled_at: Moment,
}

impl Bucket {
    /// A full bucket that holds at least `min_capacity`.
    pub(super) fn new(now: Moment, rate: f64, least: f64) -> Self {
        let mut bucket = Self {
            rate,
            min_capacity: least,
            level: 0.0,
            refilled_at: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Changes the rate as of `now`.
    pub(super) fn set_rate(&mut self, now: Moment, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.capacity());
    }

    /// Time until `amount` may be taken; zero if it may be taken now.
    pub(super) fn wait(&mut self, now: Moment, amount: f64) -> Duration {
        self.refill(now);
        let missing = amount.min(self.capacity()) - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / self.rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT_S))
    }

    /// Takes `amount`, or returns it if negative.
    pub(super) fn charge(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.capacity());
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_S).max(self.min_capacity)
    }
}

/// Longest wait that is returned.
const MAX_WAIT_S: f64 = 3_600.0;
