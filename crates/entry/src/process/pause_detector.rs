//! Detects pauses of the process.
//!
//! After a pause the process has a stale view: callers that appear to be gone may have resumed
//! their streams at another entry, and cancelling those streams at the engine would interrupt them
//! there. The symptom is a stream that ends without `[DONE]` at the other entry. A task that runs
//! every [`TICK_INTERVAL`] detects the gap; code that acts on a caller's absence must check
//! [`PauseDetector::has_no_recent_pause`] first.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use clock::Moment;

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A longer gap between two ticks counts as a pause.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after a pause during which callers' absence is not trusted.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Marks that no pause has been detected yet.
const NO_PAUSE: u64 = u64::MAX;

#[derive(Debug)]
struct Inner {
    last_tick: AtomicU64,
    last_pause: AtomicU64,
}

/// Detects pauses of the process. Clones share their state.
#[derive(Clone, Debug)]
pub struct PauseDetector(Arc<Inner>);

impl PauseDetector {
    /// Creates a detector with a first tick at `now`.
    pub fn new(now: Moment) -> Self {
        Self(Arc::new(Inner {
            last_tick: AtomicU64::new(millis(now)),
            last_pause: AtomicU64::new(NO_PAUSE),
        }))
    }

    /// Records a tick. Returns whether a pause preceded it.
    pub fn tick(&self, now: Moment) -> bool {
        let last = self.0.last_tick.load(Ordering::Acquire);
        let paused = millis(now).saturating_sub(last) > millis(PAUSE_THRESHOLD);
        if paused {
            // Stored before the tick, so that no other thread sees the tick without the pause.
            self.0.last_pause.store(millis(now), Ordering::Release);
        }
        self.0.last_tick.store(millis(now), Ordering::Release);
        paused
    }

    /// Whether there was no recent pause. A pause is detected from the first instruction after it,
    /// even before the next tick.
    pub fn has_no_recent_pause(&self, now: Moment) -> bool {
        let now = millis(now);
        let last_tick = self.0.last_tick.load(Ordering::Acquire);
        let last_pause = self.0.last_pause.load(Ordering::Acquire);
        let is_ticking = now.saturating_sub(last_tick) <= millis(PAUSE_THRESHOLD);
        let recovered =
            last_pause == NO_PAUSE || now.saturating_sub(last_pause) > millis(RECOVERY_TIME);
        is_ticking && recovered
    }
}

fn millis(moment: Moment) -> u64 {
    u64::try_from(moment.as_millis()).unwrap_or(u64::MAX)
}
