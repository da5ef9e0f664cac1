//! The authority of a holder at a moment.

use crate::Fence;
use clock::Moment;
use std::time::Duration;

/// The authority of this process over one scope, as of the last step of its lease. Check it at the
/// moment of each action.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Grant {
    /// Fencing token of the claim in force, made by this process.
    pub fence: Fence,
    /// End of the lease on the clock of this process.
    pub until: Moment,
    /// When this process read back its claim.
    pub held_since: Moment,
    /// End of the time in which a former holder that was paused between its check and its send may
    /// still send an order. The delivery time of such an order comes on top.
    pub quarantine_until: Moment,
}

impl Grant {
    /// Whether an action that takes effect within `duration` completes within the lease. Without
    /// `duration`, an action started just before the end of the lease could take effect while the
    /// next holder acts.
    pub fn may_act(&self, now: Moment, duration: Duration) -> bool {
        now + duration < self.until
    }

    /// Whether no order of a former holder can still arrive at an engine that ignores fencing
    /// tokens, if orders arrive within `max_order_delay`.
    pub fn is_quarantine_over(&self, now: Moment, max_order_delay: Duration) -> bool {
        now >= self.quarantine_until + max_order_delay
    }
}
