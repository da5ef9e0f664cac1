//! When to write a snapshot. The log forgets; what is in force must stand in it again before that,
//! and nobody in particular is alive to see to it.

use std::time::Duration;

use clock::Moment;

use crate::Offset;

/// Part of the retention after which the newest snapshot has aged.
const AGED: u32 = 3;

/// Part of the retention over which the processes spread their snapshots.
const SPREAD: u32 = 12;

/// Time over which they spread them when the log forgets faster than its retention says.
const SHORT_SPREAD: Duration = Duration::from_secs(1);

/// Records below which the log's window tells nothing of its retention.
const SMALL_WINDOW: Offset = 64;

/// Least time between two tries of one process.
const RETRY: Duration = Duration::from_secs(5);

/// The state of the log that the decision rests on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    pub(crate) first: Offset,
    pub(crate) next: Offset,
    /// What the newest snapshot in it covers.
    pub(crate) covered: Offset,
}

/// Decides when this process writes a snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Keeper {
    retention: Duration,
    /// The part of a spread that this process waits after a snapshot is due, from 0 to 1, so that
    /// usually one process writes it.
    share: f64,
    covered: Offset,
    /// When a newer snapshot was met last.
    since: Moment,
    due_since: Option<Moment>,
    tried: Option<Moment>,
}

impl Keeper {
    /// A keeper that begins at `now`. The age of what is in the log is unknown then; it counts as
    /// half way to the next snapshot, so that fleets that restart often still write some.
    pub(crate) fn new(now: Moment, retention: Duration, instance: &str) -> Self {
        let hash = blake3::hash(instance.as_bytes());
        let share = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
        Self {
            retention,
            share,
            covered: 0,
            since: now.saturating_sub(retention / AGED / 2),
            due_since: None,
            tried: None,
        }
    }

    /// Whether to write one now.
    pub(crate) fn is_due(&mut self, now: Moment, window: Window) -> bool {
        if window.covered > self.covered {
            self.covered = window.covered;
            self.since = now;
            self.tried = None;
        }
        let spread = match (Self::is_crowded(window), self.has_aged(now)) {
            (true, _) => SHORT_SPREAD.min(self.retention / SPREAD),
            (false, true) => self.retention / SPREAD,
            (false, false) => {
                self.due_since = None;
                return false;
            }
        };
        let due_since = *self.due_since.get_or_insert(now);
        let delayed = now >= due_since + spread.mul_f64(self.share);
        let retried = self.tried.is_none_or(|tried| now >= tried + RETRY);
        if delayed && retried {
            self.tried = Some(now);
        }
        delayed && retried
    }

    fn has_aged(&self, now: Moment) -> bool {
        now.saturating_sub(self.since) >= self.retention / AGED
    }

    /// Whether the newest snapshot lies in the older part of what the log retains: a log that keeps
    /// a number of records forgets faster than its retention by time says.
    fn is_crowded(window: Window) -> bool {
        let width = window.next.saturating_sub(window.first);
        let behind = window.next.saturating_sub(window.covered);
        window.first > 1 && behind > (width / u64::from(AGED)).max(SMALL_WINDOW)
    }
}
