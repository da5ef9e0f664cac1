//! Whether the process takes callers, finishes, or ends.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

/// Where a process is in its life, and the calls it has in hand.
#[derive(Debug, Default)]
pub(crate) struct Phase {
    leaving: Cell<bool>,
    closing: Cell<bool>,
    calls: Cell<usize>,
    idle: Notify,
    close: Notify,
}

/// A call in hand; counted until it is dropped.
#[derive(Debug)]
pub(crate) struct InHand<'a>(&'a Phase);

/// Time after the signal in which new connections may still come: the balancer asks once a second
/// and takes an instance out after two misses.
const NEW_CONNECTIONS: Duration = Duration::from_millis(2_600);
/// Part of the grace time that is left unused, so that the process ends by itself.
const RESERVE: Duration = Duration::from_millis(300);

impl Phase {
    /// Whether the process was asked to end.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Whether new calls are refused, since the end is near.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Calls in hand.
    pub(crate) fn in_hand(&self) -> usize {
        self.calls.get()
    }

    /// Enters a call.
    pub(crate) fn begin(&self) -> InHand<'_> {
        self.calls.set(self.calls.get() + 1);
        InHand(self)
    }

    /// Returns when idle connections are to be closed.
    pub(crate) async fn closing(&self) {
        while !self.closing.get() {
            let notified = self.close.notified();
            if self.closing.get() {
                return;
            }
            notified.await;
        }
    }

    /// Finishes what is in hand, at most until the process would be killed.
    ///
    /// Connections that callers keep open are closed only after the balancer has stopped sending
    /// new ones, and only while idle: a request that has been read is answered.
    pub(crate) async fn leave(&self, grace: Duration) {
        self.leaving.set(true);
        let begun = tokio::time::Instant::now();
        tokio::time::sleep(NEW_CONNECTIONS.min(grace / 2)).await;
        self.closing.set(true);
        self.close.notify_waiters();
        let end = begun + grace.saturating_sub(RESERVE);
        while self.calls.get() > 0 {
            let idle = self.idle.notified();
            if tokio::time::timeout_at(end, idle).await.is_err() {
                break;
            }
        }
        log::info!(unfinished = self.calls.get(); "ending");
    }
}

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        let left = self.0.calls.get() - 1;
        self.0.calls.set(left);
        if left == 0 {
            self.0.idle.notify_waiters();
        }
    }
}
