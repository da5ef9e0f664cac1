//! Tells from the growth of the log of engine records whether engines could renew theirs while
//! nobody read it.
//!
//! Every engine appends a record at each heartbeat, so that the log grows at a steady rate as long
//! as the store serves engines, whoever else it turns away.

use std::time::Duration;

use clock::Moment;

/// Time constant of the usual rate: some heartbeats, so that the rate follows a fleet that grows or
/// shrinks.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Time for which the log must have been observed before its usual rate is known.
const MIN_OBSERVED: Duration = Duration::from_secs(2);
/// Longest time between two observations that counts for the usual rate.
const MAX_INTERVAL: Duration = Duration::from_millis(1_200);
/// Share of the usual growth above which engines were renewing their records. Less than all, since
/// some may have left; more than half, since after an outage the log has one record of each engine
/// that is back and one deletion for each that lapsed.
const RENEWAL_SHARE: f64 = 0.65;

/// The end of the log when it was last observed, and its usual growth.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogGrowth {
    last: Option<(u64, Moment)>,
    records_per_second: f64,
    observed: Duration,
}

impl LogGrowth {
    /// Records that the log ended at the position `end` when it was read at `at`.
    pub fn observe(&mut self, end: u64, at: Moment) {
        let Some((last_end, last_at)) = self.last else {
            self.last = Some((end, at));
            return;
        };
        if end < last_end || at <= last_at {
            return;
        }
        self.last = Some((end, at));
        let interval = at.saturating_sub(last_at);
        if interval > MAX_INTERVAL {
            return;
        }
        self.observed = (self.observed + interval).min(TIME_CONSTANT);
        let weight = interval.as_secs_f64() / self.observed.as_secs_f64();
        let rate = records(end - last_end) / interval.as_secs_f64();
        self.records_per_second += weight * (rate - self.records_per_second);
    }

    /// Whether the log grew about as usual between the last observation and `at`, when it ended at
    /// `end`; false if its usual rate is not known.
    pub fn was_steady(&self, end: u64, at: Moment) -> bool {
        let Some((last_end, last_at)) = self.last else {
            return false;
        };
        if self.observed < MIN_OBSERVED || end < last_end {
            return false;
        }
        let usual = self.records_per_second * at.saturating_sub(last_at).as_secs_f64();
        records(end - last_end) >= RENEWAL_SHARE * usual
    }
}

#[allow(clippy::cast_precision_loss)]
fn records(count: u64) -> f64 {
    count as f64
}
