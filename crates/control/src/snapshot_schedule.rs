//! When to write a snapshot. The log drops old records, so the state in force has to be written
//! again before that; any entry may do it, since no particular one can be relied on.

use std::time::Duration;

use clock::Moment;

use crate::Offset;

/// A snapshot is due after the retention divided by this.
const AGE_DIVISOR: u32 = 3;

/// The entries spread their snapshots over the retention divided by this.
const SPREAD_DIVISOR: u32 = 12;

/// Upper limit of the spread when the log drops records faster than its retention period.
const MAX_SPREAD_NEAR_START: Duration = Duration::from_secs(1);

/// Minimum number of records after a snapshot at which the log may count as dropping them early;
/// fewer say nothing about its retention.
const MIN_WINDOW_RECORDS: Offset = 64;

/// Minimum time between two attempts of one process.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The range of the log that is retained, and the newest snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    pub(crate) first: Offset,
    pub(crate) next: Offset,
    /// Last offset covered by the newest snapshot.
    pub(crate) snapshot_upto: Offset,
}

/// Decides when this process writes a snapshot.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSchedule {
    retention: Duration,
    /// The fraction of the spread that this process waits after a snapshot is due, from 0 to 1, so
    /// that usually only one process writes it.
    spread_fraction: f64,
    snapshot_upto: Offset,
    /// When a newer snapshot was last found.
    snapshot_seen_at: Moment,
    due_since: Option<Moment>,
    last_attempt: Option<Moment>,
}

impl SnapshotSchedule {
    /// Starts at `now`. The age of the newest snapshot is unknown then and assumed to be half way
    /// to the next one, so that fleets that restart often still write snapshots.
    pub(crate) fn new(now: Moment, retention: Duration, instance: &str) -> Self {
        let hash = blake3::hash(instance.as_bytes());
        let spread_fraction = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
        Self {
            retention,
            spread_fraction,
            snapshot_upto: 0,
            snapshot_seen_at: now.saturating_sub(retention / AGE_DIVISOR / 2),
            due_since: None,
            last_attempt: None,
        }
    }

    /// Whether to write a snapshot now.
    pub(crate) fn is_due(&mut self, now: Moment, window: Window) -> bool {
        if window.snapshot_upto > self.snapshot_upto {
            self.snapshot_upto = window.snapshot_upto;
            self.snapshot_seen_at = now;
            self.last_attempt = None;
        }
        let spread = match (Self::is_near_start(window), self.is_old(now)) {
            (true, _) => MAX_SPREAD_NEAR_START.min(self.retention / SPREAD_DIVISOR),
            (false, true) => self.retention / SPREAD_DIVISOR,
            (false, false) => {
                self.due_since = None;
                return false;
            }
        };
        let due_since = *self.due_since.get_or_insert(now);
        let delayed = now >= due_since + spread.mul_f64(self.spread_fraction);
        let retried = self
            .last_attempt
            .is_none_or(|tried| now >= tried + RETRY_INTERVAL);
        if delayed && retried {
            self.last_attempt = Some(now);
        }
        delayed && retried
    }

    fn is_old(&self, now: Moment) -> bool {
        now.saturating_sub(self.snapshot_seen_at) >= self.retention / AGE_DIVISOR
    }

    /// Whether the newest snapshot is in the older part of the retained records. A log that retains
    /// a number of records may drop them earlier than its retention period.
    fn is_near_start(window: Window) -> bool {
        let width = window.next.saturating_sub(window.first);
        let behind = window.next.saturating_sub(window.snapshot_upto);
        window.first > 1 && behind > (width / u64::from(AGE_DIVISOR)).max(MIN_WINDOW_RECORDS)
    }
}
