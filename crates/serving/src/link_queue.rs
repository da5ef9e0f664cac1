//! The queue before a link, computed from what was put into it and from the link's rate. The
//! kernel's own figures would need system calls that no library of the workspace offers safely.

use std::time::Duration;

use clock::Moment;

/// Longest wait that is computed, against rates and sizes that no link has.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Bytes that wait for a link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkQueue {
    bytes: f64,
    at: Moment,
}

impl LinkQueue {
    /// Adds bytes to the queue of a link of `rate` bytes a second.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn add(&mut self, bytes: u64, rate: f64, now: Moment) {
        self.charge(bytes as f64, rate, now);
    }

    /// As [`LinkQueue::add`], for an estimate, which a negative number corrects.
    pub(crate) fn charge(&mut self, bytes: f64, rate: f64, now: Moment) {
        self.bytes = (self.bytes_left(rate, now) + bytes).max(0.0);
        self.at = self.at.max(now);
    }

    /// Drops what is beyond this number of bytes.
    pub(crate) fn truncate(&mut self, bytes: f64) {
        self.bytes = self.bytes.min(bytes);
    }

    /// Time until what is queued now has been sent.
    pub(crate) fn wait(&self, rate: f64, now: Moment) -> Duration {
        let seconds = self.bytes_left(rate, now) / rate.max(1.0);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    fn bytes_left(&self, rate: f64, now: Moment) -> f64 {
        let sent = now.saturating_sub(self.at).as_secs_f64() * rate;
        (self.bytes - sent).max(0.0)
    }
}
