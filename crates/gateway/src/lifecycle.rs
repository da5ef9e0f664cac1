//! Lifecycle of the process: serving, draining, ended.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

/// State of the process and its open calls.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    leaving: Cell<bool>,
    closing: Cell<bool>,
    calls: Cell<usize>,
    idle: Notify,
    closing_started: Notify,
}

/// An open call; counted until this is dropped.
#[derive(Debug)]
pub(crate) struct CallGuard<'a>(&'a Lifecycle);

/// Time after the signal in which new connections may still arrive: the balancer checks once a
/// second and removes an instance after two misses.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace time that is left unused, so that the process ends before it is killed.
const GRACE_RESERVE: Duration = Duration::from_millis(300);

impl Lifecycle {
    /// Whether the process was asked to end.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Whether new calls are refused because the end is near.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Number of open calls.
    pub(crate) fn open_calls(&self) -> usize {
        self.calls.get()
    }

    /// Counts a new call.
    pub(crate) fn enter(&self) -> CallGuard<'_> {
        self.calls.set(self.calls.get() + 1);
        CallGuard(self)
    }

    /// Returns when idle connections are to be closed.
    pub(crate) async fn wait_for_closing(&self) {
        while !self.closing.get() {
            let notified = self.closing_started.notified();
            if self.closing.get() {
                return;
            }
            notified.await;
        }
    }

    /// Drains open calls, at most until the process would be killed.
    ///
    /// Connections that callers keep open are closed only after the balancer has stopped sending
    /// new ones, and only while idle: a request that has been read gets its response.
    pub(crate) async fn shut_down(&self, grace: Duration) {
        self.leaving.set(true);
        let begun = tokio::time::Instant::now();
        tokio::time::sleep(BALANCER_DELAY.min(grace / 2)).await;
        self.closing.set(true);
        self.closing_started.notify_waiters();
        let end = begun + grace.saturating_sub(GRACE_RESERVE);
        while self.calls.get() > 0 {
            let idle = self.idle.notified();
            if tokio::time::timeout_at(end, idle).await.is_err() {
                break;
            }
        }
        log::info!(unfinished = self.calls.get(); "ending");
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let left = self.0.calls.get() - 1;
        self.0.calls.set(left);
        if left == 0 {
            self.0.idle.notify_waiters();
        }
    }
}
