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

    /// Wall-clock time, for people and for bucket names only; no decision of authority uses it.
    fn wall(&self) -> SystemTime;
}

/// The machine's clock.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Instant,
}

impl System {
    /// A clock that reads zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
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

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to. Clones share the same time.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    now: Rc<Cell<Moment>>,
}

impl Manual {
    /// A clock that reads zero.
    pub fn new() -> Self {
        Self::default()
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

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now.get()
    }
}
