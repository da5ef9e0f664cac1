//! Reads of the store that tasks wait for, because what this instance knows may be older than what they
//! decide on.

use std::cell::Cell;
use std::time::Duration;

use clock::Moment;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How new the records of one topic are, and requests to read them now.
#[derive(Default)]
pub(crate) struct Confirmation {
    as_of: Cell<Option<Moment>>,
    requested: Notify,
    read: Notify,
}

impl Confirmation {
    /// Records a read that shows all records up to `as_of`.
    pub(crate) fn on_read(&self, as_of: Moment) {
        self.as_of.set(self.as_of.get().max(Some(as_of)));
        self.read.notify_waiters();
    }

    /// The moment up to which all records were read.
    pub(crate) fn as_of(&self) -> Option<Moment> {
        self.as_of.get()
    }

    /// Whether all records up to `since` were read.
    pub(crate) fn covers(&self, since: Moment) -> bool {
        self.as_of.get() >= Some(since)
    }

    /// Asks for a read as soon as possible.
    pub(crate) fn request(&self) {
        self.requested.notify_one();
    }

    /// Completes when a read is asked for.
    pub(crate) async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Waits until all records up to `since` were read. Returns whether that is so within `time`.
    pub(crate) async fn wait_until(&self, since: Moment, time: Duration) -> bool {
        let covered = async {
            while !self.covers(since) {
                let read = self.read.notified();
                self.request();
                read.await;
            }
        };
        timeout(time, covered).await.is_ok()
    }
}
