//! Phases from start to stop, and the work in hand that a stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// It serves.
    Serving = 0,
    /// It serves, but tells the balancer that it is about to stop.
    Leaving = 1,
    /// It takes nothing new and finishes what it has.
    Finishing = 2,
    /// Time is up: what is still open is left for other entries to resume.
    Abandoning = 3,
}

#[derive(Debug, Default)]
struct Inner {
    phase: AtomicU8,
    tasks: AtomicUsize,
    idle: Notify,
}

/// The phase, shared by all threads. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle(Arc<Inner>);

impl Lifecycle {
    /// A process that serves.
    pub fn new() -> Self {
        Self::default()
    }

    /// The phase now.
    pub fn phase(&self) -> Phase {
        match self.0.phase.load(Ordering::Acquire) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            2 => Phase::Finishing,
            _ => Phase::Abandoning,
        }
    }

    /// Goes on to a phase; it never goes back.
    pub fn advance(&self, phase: Phase) {
        self.0.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Whether the process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.phase() > Phase::Serving
    }

    /// Counts a task that outlives its caller's connection, such as a call that may not be
    /// repeated: a stop that only waited for connections would cut it.
    pub fn start_task(&self) -> TaskGuard {
        self.0.tasks.fetch_add(1, Ordering::AcqRel);
        TaskGuard(self.clone())
    }

    /// Waits until no such task is left.
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

/// One counted task.
#[derive(Debug)]
pub struct TaskGuard(Lifecycle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if self.0.0.tasks.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.0.idle.notify_waiters();
        }
    }
}
