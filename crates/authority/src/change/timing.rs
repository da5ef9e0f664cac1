//! How long the steps of a planned change take.

use std::time::Duration;

/// The durations of a planned change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Timing {
    /// Between two readings of an engine.
    pub poll_interval: Duration,
    /// After which the answer of an engine is given up. No send may take longer, and none is
    /// begun with less of the lease left.
    pub request_timeout: Duration,
    /// For how long an engine is closed for new work without an order being sent to it; after
    /// that the change is undone, because the engine would serve nobody meanwhile.
    pub close_timeout: Duration,
    /// The longest time that an order which left a process may take to reach the engine.
    pub max_order_delay: Duration,
    /// How often an order is sent before the change is undone.
    pub max_sends: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(500),
            request_timeout: Duration::from_secs(2),
            close_timeout: Duration::from_secs(300),
            max_order_delay: Duration::from_secs(5),
            max_sends: 3,
        }
    }
}
