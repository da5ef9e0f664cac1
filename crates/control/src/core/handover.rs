//! Hand-over of scopes when the process shuts down.

use std::time::Duration;

use clock::{Clock as _, Moment};
use tokio::sync::oneshot;

use crate::core::{Core, Stop};

/// How long a leaving process continues active changes before it releases its scopes; the successor
/// resolves the remaining ones.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

impl Core {
    pub(crate) fn leave(&mut self) {
        let now = self.clock.now();
        if self.flags.leaving_since.is_none() {
            log::info!("leaving");
            self.flags.leaving_since = Some(now);
            self.flags.publish_now = true;
        }
    }

    pub(crate) fn stop(&mut self, limit: Duration, reply: oneshot::Sender<()>) {
        self.leave();
        let deadline = self.clock.now() + limit;
        self.stop = Some(Stop { deadline, reply });
    }

    pub(crate) fn abort(&mut self) {
        self.flags.aborted = true;
    }

    /// Releases the scopes when the process leaves, or when it does not know the rules in force: it
    /// would plan by an outdated catalogue.
    pub(super) fn hand_over(&mut self, now: Moment) {
        let frozen = self.replica.catalogue().frozen().is_some();
        let since = self.flags.leaving_since;
        if self.flags.scopes_released || !(frozen || since.is_some()) {
            return;
        }
        let overdue = since.is_some_and(|since| now >= since + HANDOVER_TIMEOUT);
        if self.scopes.is_idle() || overdue || self.stop.is_some() || frozen {
            self.flags.scopes_released = true;
            let (scopes, context) = self.scopes_and_context(now);
            scopes.release_all(&context);
        }
    }

    /// Whether the hand-over is complete or its time limit has passed.
    pub(super) fn is_done(&self) -> bool {
        let Some(stop) = &self.stop else {
            return self.flags.aborted;
        };
        // The claims have a wake-up time while claims or outcomes are being written or read back.
        let claims_written = self.calls.open_calls() == 0 && self.calls.next_wake().is_none();
        let handed_over = self.flags.scopes_released && self.scopes.holds_none() && claims_written;
        handed_over || self.clock.now() >= stop.deadline
    }
}
