//! What a holder may do at a moment.

use crate::Fence;
use clock::Moment;
use std::time::Duration;

/// The authority of this process over one scope, as of its last step. Whoever acts asks it at the
/// moment of the act.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Grant {
    /// The claim in force, which is this process's.
    pub fence: Fence,
    /// End of the lease on this process's clock.
    pub until: Moment,
    /// When this process read back that it holds the scope.
    pub since: Moment,
    /// Until when a former holder that was paused between its check and its send is reckoned
    /// with, not counting the time that an order may take on its way.
    pub quarantine_until: Moment,
}

impl Grant {
    /// Whether an action that may take effect until `need` from now ends within the lease. Without
    /// counting `need` an action begun in the last moment would take effect beside the next
    /// holder's.
    pub fn may_act(&self, now: Moment, need: Duration) -> bool {
        now + need < self.until
    }

    /// Whether nothing that a former holder sent can still arrive at an engine that ignores
    /// fences, given the longest time that an order may take on its way.
    pub fn is_quarantine_over(&self, now: Moment, order_delay: Duration) -> bool {
        now >= self.quarantine_until + order_delay
    }
}
