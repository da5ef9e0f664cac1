//! Settings of a pool that decisions depend on.

use std::sync::Arc;
use std::time::Duration;

use crate::choice::Policy;

/// Pool's name in the catalogue.
pub type Id = Arc<str>;

/// Speed of one upstream of a pool where no report says better.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens a second of a whole engine.
    pub prefill_rate: f64,
    /// Answer tokens a second of one decode slot.
    pub decode_rate: f64,
    /// Requests that an upstream works on at once.
    pub slots: u32,
}

/// A pool of like upstreams.
#[derive(Clone, Debug)]
pub struct Config {
    /// Pool's name.
    pub id: Id,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Speed of its upstreams.
    pub speed: Speed,
    /// Time over which a new or recovered upstream grows to its full share.
    pub slow_start: Duration,
    /// Time after which a view of others' work has lost two thirds of its meaning. Short enough that
    /// entries with one stale view do not act on it in step; see docs/design/choice.md.
    pub decay_time: Duration,
    /// Requests that may wait at this entry, all classes together.
    pub queue_capacity: usize,
    /// Bytes of KV cache per prompt token over the bytes a second between engines: seconds that
    /// the transfer of one token takes. 0 means that KV transfer is not possible.
    pub transfer_s_per_token: f64,
}

impl Config {
    /// A pool of engines with usual settings, to be adapted by the caller.
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
