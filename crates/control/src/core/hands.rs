//! Handing over at the end of the process.

use std::time::Duration;

use clock::{Clock as _, Moment};
use tokio::sync::oneshot;

use crate::core::{Core, Stop};

/// How long a leaving process carries on with changes under way before it gives its scopes up;
/// the successor resolves what is left then.
const HANDOVER: Duration = Duration::from_secs(5);

impl Core {
    pub(crate) fn leave(&mut self) {
        let now = self.clock.now();
        if self.flags.leaving_since.is_none() {
            log::info!("leaving");
            self.flags.leaving_since = Some(now);
            self.flags.urgent = true;
        }
    }

    pub(crate) fn stop(&mut self, limit: Duration, reply: oneshot::Sender<()>) {
        self.leave();
        let until = self.clock.now() + limit;
        self.stop = Some(Stop { until, reply });
    }

    pub(crate) fn abort(&mut self) {
        self.flags.aborted = true;
    }

    /// Gives the scopes up when the process leaves, or when the rules in force are unknown to it:
    /// it would plan by pools that others see changed.
    pub(super) fn hand_over(&mut self, now: Moment) {
        let frozen = self.ledger.catalogue().frozen().is_some();
        let since = self.flags.leaving_since;
        if self.flags.left || !(frozen || since.is_some()) {
            return;
        }
        let overdue = since.is_some_and(|since| now >= since + HANDOVER);
        if self.scopes.is_idle() || overdue || self.stop.is_some() || frozen {
            self.flags.left = true;
            let (scopes, around) = self.split(now);
            scopes.leave(&around);
        }
    }

    /// Whether nothing is left to be handed over, or the time for it is over.
    pub(super) fn is_done(&self) -> bool {
        let Some(stop) = &self.stop else {
            return self.flags.aborted;
        };
        // A wake-up is due as long as claims or outcomes are to be written or read back.
        let told = self.calls.held() == 0 && self.calls.next_wake().is_none();
        let handed = self.flags.left && self.scopes.is_released() && told;
        handed || self.clock.now() >= stop.until
    }
}
