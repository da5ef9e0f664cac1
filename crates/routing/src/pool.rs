//! Settings of a pool.

use std::sync::Arc;
use std::time::Duration;

use crate::choice::Policy;

/// Name of a pool in the catalogue.
pub type Id = Arc<str>;

/// Speed of one upstream, used where load reports do not state it.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens per second of the engine.
    pub prefill_rate: f64,
    /// Answer tokens per second of one decode slot.
    pub decode_rate: f64,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
}

/// Settings of a pool of interchangeable upstreams.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the pool.
    pub id: Id,
    /// Load balancing policy.
    pub policy: Policy,
    /// Default speed of its upstreams.
    pub speed: Speed,
    /// Time over which a new or recovered upstream ramps up to its full share.
    pub slow_start: Duration,
    /// Time constant with which views of the peers' work decay. Short enough that entries sharing
    /// a stale view do not all act on it at once; see docs/design/choice.md.
    pub decay_time: Duration,
    /// Requests of all classes that may wait at this entry.
    pub queue_capacity: usize,
    /// Seconds to transfer the KV cache of one prompt token between engines; 0 if KV transfer is
    /// not possible.
    pub transfer_s_per_token: f64,
}

impl Config {
    /// Default settings for a pool of engines.
    pub fn new(id: impl Into<Id>) -> Self {
        Self {
            id: id.into(),
            policy: Policy::default(),
            speed: Speed {
                prefill_rate: 10_000.0,
                decode_rate: 40.0,
                slots: 32,
            },
            slow_start: Duration::from_secs(10),
            decay_time: Duration::from_millis(200),
            queue_capacity: 256,
            transfer_s_per_token: 0.0,
        }
    }
}
