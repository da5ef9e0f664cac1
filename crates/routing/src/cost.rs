//! Cost model: estimated time to the first token at an upstream.

use crate::{load::Load, pool::Speed};

/// Share of its prefill rate that a decode engine spares for chunked prefill.
pub const DECODE_PREFILL_SHARE: f64 = 0.25;

/// Estimated cost of a request at an upstream, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Time to the first token.
    pub first_token: f64,
    /// Part of it spent waiting for earlier work.
    pub wait: f64,
    /// Time to complete all outstanding work, this request included.
    pub total_work: f64,
}

/// Estimates the cost of a request at an upstream with this speed and outstanding load. `prompt`
/// counts the uncached prompt tokens, `output` the expected answer tokens.
pub fn estimate(speed: &Speed, load: Load, prompt: f64, output: f64) -> Cost {
    let slots = f64::from(speed.slots.max(1));
    let decode_capacity = slots * speed.decode_rate.max(f64::MIN_POSITIVE);
    let rate = speed.prefill_rate.max(f64::MIN_POSITIVE);
    let prefill = (load.prefill + prompt) / rate;
    let decode = load.decode / decode_capacity;
    let slot = slot_wait(load, slots, decode_capacity);
    Cost {
        first_token: prefill + slot,
        wait: load.prefill / rate + slot,
        total_work: prefill
            + decode
            + output / decode_capacity
            + load.requests * REQUEST_OVERHEAD_S,
    }
}

/// Seconds added per outstanding request. They break ties, and are the whole cost for plain
/// services.
const REQUEST_OVERHEAD_S: f64 = 1e-3;

/// Seconds until a decode slot is free: each request beyond the slots waits for another to finish.
fn slot_wait(load: Load, slots: f64, decode_capacity: f64) -> f64 {
    let excess = load.requests + 1.0 - slots;
    if excess <= 0.0 || load.requests < 1.0 {
        return 0.0;
    }
    let tokens = load.decode / load.requests;
    excess * tokens / decode_capacity
}
