//! Lifecycle phases, and the tasks that a shutdown waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Phase of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// The process serves.
    Serving = 0,
    /// The process still serves, but is reported as not ready to the balancer.
    Leaving = 1,
    /// The process refuses new work and finishes the work in progress.
    Finishing = 2,
    /// The time limit has passed; open streams are left for other entries to resume.
    Abandoning = 3,
}

#[derive(Debug, Default)]
struct Inner {
    phase: AtomicU8,
    tasks: AtomicUsize,
    idle: Notify,
}

/// The current phase and the number of running tasks. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle(Arc<Inner>);

impl Lifecycle {
    /// Starts in [`Phase::Serving`].
    pub fn new() -> Self {
        Self::default()
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        match self.0.phase.load(Ordering::Acquire) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            2 => Phase::Finishing,
            _ => Phase::Abandoning,
        }
    }

    /// Advances to a phase; a call with an earlier phase has no effect.
    pub fn advance(&self, phase: Phase) {
        self.0.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Whether shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.phase() > Phase::Serving
    }

    /// Counts a task that outlives its caller's connection, such as a call that may not be
    /// repeated. Shutdown would interrupt it if it waited for connections only.
    pub fn start_task(&self) -> TaskGuard {
        self.0.tasks.fetch_add(1, Ordering::AcqRel);
        TaskGuard(self.clone())
    }

    /// Waits until no counted task is running.
    pub async fn wait_for_tasks(&self) {
        loop {
            let changed = self.0.idle.notified();
            if self.0.tasks.load(Ordering::Acquire) == 0 {
                return;
            }
            changed.await;
        }
    }
}

/// Counts a task while it exists.
#[derive(Debug)]
pub struct TaskGuard(Lifecycle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if self.0.0.tasks.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.0.idle.notify_waiters();
        }
    }
}
