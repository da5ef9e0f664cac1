//! Durations and limits of a planned change.

use std::time::Duration;

/// Durations and limits of a planned change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Timing {
    /// Time between two readings of an engine.
    pub poll_interval: Duration,
    /// Timeout of a request to an engine. No send takes longer, and none starts with less of the
    /// lease left.
    pub request_timeout: Duration,
    /// How long an engine may stay closed to new work before its order is sent. After that the
    /// change is undone, because the closed engine serves nobody.
    pub close_timeout: Duration,
    /// Longest time between the end of a send and the arrival of the order at the engine.
    pub max_order_delay: Duration,
    /// Number of times that an order is sent before the change is undone.
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
