//! How long the steps of a planned change take.

use std::time::Duration;

/// The durations of a planned change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Pace {
    /// Between two readings of an engine.
    pub poll: Duration,
    /// After which the answer of an engine is given up. No send may take longer, and none is
    /// begun with less of the lease left.
    pub timeout: Duration,
    /// For how long an engine is closed for new work without an order being sent to it; after
    /// that the change is undone, because the engine would serve nobody meanwhile.
    pub closing: Duration,
    /// The longest time that an order which left a process may take to reach the engine.
    pub order_delay: Duration,
    /// How often an order is sent before the change is undone.
    pub sends: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            poll: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            closing: Duration::from_secs(300),
            order_delay: Duration::from_secs(5),
            sends: 3,
        }
    }
}
