//! When to write a snapshot. The log forgets; what is in force must stand in it again before that,
//! and nobody in particular is alive to see to it.

use std::time::Duration;

use clock::Moment;

use crate::Offset;

/// Part of the retention after which the newest snapshot has aged.
const AGE_DIVISOR: u32 = 3;

/// Part of the retention over which the processes spread their snapshots.
const SPREAD_DIVISOR: u32 = 12;

/// Time over which they spread them when the log forgets faster than its retention says.
const MAX_CROWDED_SPREAD: Duration = Duration::from_secs(1);

/// Records below which the log's window tells nothing of its retention.
const MIN_WINDOW_RECORDS: Offset = 64;

/// Least time between two tries of one process.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The state of the log that the decision rests on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    pub(crate) first: Offset,
    pub(crate) next: Offset,
    /// What the newest snapshot in it covers.
    pub(crate) snapshot_upto: Offset,
}

/// Decides when this process writes a snapshot.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSchedule {
    retention: Duration,
    /// The part of a spread that this process waits after a snapshot is due, from 0 to 1, so that
    /// usually one process writes it.
    spread_fraction: f64,
    snapshot_upto: Offset,
    /// When a newer snapshot was met last.
    snapshot_seen_at: Moment,
    due_since: Option<Moment>,
    last_attempt: Option<Moment>,
}

impl SnapshotSchedule {
    /// A keeper that begins at `now`. The age of what is in the log is unknown then; it counts as
    /// half way to the next snapshot, so that fleets that restart often still write some.
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

    /// Whether to write one now.
    pub(crate) fn is_due(&mut self, now: Moment, window: Window) -> bool {
        if window.snapshot_upto > self.snapshot_upto {
            self.snapshot_upto = window.snapshot_upto;
            self.snapshot_seen_at = now;
            self.last_attempt = None;
        }
        let spread = match (Self::is_crowded(window), self.is_old(now)) {
            (true, _) => MAX_CROWDED_SPREAD.min(self.retention / SPREAD_DIVISOR),
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

    /// Whether the newest snapshot lies in the older part of what the log retains: a log that keeps
    /// a number of records forgets faster than its retention by time says.
    fn is_crowded(window: Window) -> bool {
        let width = window.next.saturating_sub(window.first);
        let behind = window.next.saturating_sub(window.snapshot_upto);
        window.first > 1 && behind > (width / u64::from(AGE_DIVISOR)).max(MIN_WINDOW_RECORDS)
    }
}
