//! Notices that the process was paused.
//!
//! A process that was stopped for a while wakes up with a stale view: callers that it believes to
//! be gone have long since resumed their streams at another entry, and cancelling those streams at
//! the engine would cut them there. The symptom is a stream that ends without `[DONE]` at an entry
//! that did nothing wrong. A task that should run every [`BEAT`] sees the gap; whoever is about to
//! act on a caller's absence asks [`PauseDetector::has_no_recent_pause`]
//! first.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use clock::Moment;

/// Time between two beats.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A longer gap between two beats is a pause.
const GAP: Duration = Duration::from_secs(1);

/// How long after a pause what seems to have happened is not trusted.
const CAUTION: Duration = Duration::from_secs(10);

/// No pause was seen yet.
const NEVER: u64 = u64::MAX;

#[derive(Debug)]
struct Inner {
    last_beat: AtomicU64,
    last_pause: AtomicU64,
}

/// The pulse of the process. Clones share it.
#[derive(Clone, Debug)]
pub struct PauseDetector(Arc<Inner>);

impl PauseDetector {
    /// A pulse whose last beat is now.
    pub fn new(now: Moment) -> Self {
        Self(Arc::new(Inner {
            last_beat: AtomicU64::new(millis(now)),
            last_pause: AtomicU64::new(NEVER),
        }))
    }

    /// One beat. Returns whether a pause lies before it.
    pub fn tick(&self, now: Moment) -> bool {
        let last = self.0.last_beat.load(Ordering::Acquire);
        let paused = millis(now).saturating_sub(last) > millis(GAP);
        if paused {
            // Before the beat, so that no other thread sees the beat without the pause.
            self.0.last_pause.store(millis(now), Ordering::Release);
        }
        self.0.last_beat.store(millis(now), Ordering::Release);
        paused
    }

    /// Whether no pause lies right behind. It holds from the first instruction after a pause on,
    /// also before the next beat.
    pub fn has_no_recent_pause(&self, now: Moment) -> bool {
        let now = millis(now);
        let beat = self.0.last_beat.load(Ordering::Acquire);
        let pause = self.0.last_pause.load(Ordering::Acquire);
        let in_step = now.saturating_sub(beat) <= millis(GAP);
        let recovered = pause == NEVER || now.saturating_sub(pause) > millis(CAUTION);
        in_step && recovered
    }
}

fn millis(moment: Moment) -> u64 {
    u64::try_from(moment.as_millis()).unwrap_or(u64::MAX)
}
