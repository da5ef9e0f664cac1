//! The clock as an interface that is passed in, so that the pure crates never read time by
//! themselves: the daemon passes [`System`], tests and the model checker pass [`Manual`].

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Monotonic time since the start of the process. Only differences on one process mean anything,
/// which is all that leases and timeouts may rely on.
pub type Moment = Duration;

/// Where time comes from.
pub trait Clock {
    /// Monotonic time since the start of the process.
    fn now(&self) -> Moment;

    /// As [`Clock::now`], but it also runs while the machine is suspended. What must not be done late
    /// after a pause, like an order whose lease has lapsed meanwhile, is measured by it.
    fn now_boottime(&self) -> Moment;

    /// Wall-clock time, for people and for bucket names only; no decision of authority uses it.
    fn wall_time(&self) -> SystemTime;
}

/// The machine's clock.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Instant,
    boot: Duration,
}

impl System {
    /// A clock that reads zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            boot: since_boot(),
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
        since_boot().saturating_sub(self.boot)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Time since the machine started, with the time that it was suspended.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // The time since a start is never negative.
    Duration::try_from(time).unwrap_or_default()
}

/// A clock that moves only when told to. Clones share the same time.
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

    /// Suspends the machine for some time.
    pub fn suspend(&self, time: Duration) {
        self.suspended.set(self.suspended.get() + time);
    }

    /// Moves the time forward.
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
