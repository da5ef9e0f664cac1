//! An injectable clock, so that the pure crates never read the time themselves: the daemon passes
//! [`System`], tests and models can pass [`Manual`].

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Monotonic time since the process started. Only moments of the same process can be compared, so
/// leases and timeouts rely on differences alone.
pub type Moment = Duration;

/// A source of time.
pub trait Clock {
    /// Monotonic time since the process started.
    fn now(&self) -> Moment;

    /// As [`Clock::now`], but including time spent suspended (`CLOCK_BOOTTIME`). For whatever must
    /// not happen late after a suspension, such as an order whose lease has lapsed meanwhile.
    fn now_boottime(&self) -> Moment;

    /// Wall-clock time, for display and bucket names only; no authority decision depends on it.
    fn wall_time(&self) -> SystemTime;
}

/// The system clock.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Instant,
    boottime_at_start: Duration,
}

impl System {
    /// A clock that reads zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            boottime_at_start: since_boot(),
        }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Moment {
        self.start.elapsed()
    }

    fn now_boottime(&self) -> Moment {
        since_boot().saturating_sub(self.boottime_at_start)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Time since the machine booted, including time spent suspended.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // The time since boot is never negative.
    Duration::try_from(time).unwrap_or_default()
}

/// A clock that only advances on request. Clones share the same time.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    now: Rc<Cell<Moment>>,
    suspended: Rc<Cell<Duration>>,
}

impl Manual {
    /// A clock that reads zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds time spent suspended, which only [`Clock::now_boottime`] counts.
    pub fn suspend(&self, time: Duration) {
        self.suspended.set(self.suspended.get() + time);
    }

    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        self.now.set(self.now.get() + by);
    }
}

impl Clock for Manual {
    fn now(&self) -> Moment {
        self.now.get()
    }

    fn now_boottime(&self) -> Moment {
        self.now.get() + self.suspended.get()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now.get()
    }
}
