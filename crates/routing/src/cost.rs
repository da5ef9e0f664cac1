//! Estimated time to the first token at an upstream.

use crate::{load::Load, pool::Speed};

/// Share of an engine's prefill rate that a decode engine spares for chunks of prefill.
pub const DECODE_PREFILL_SHARE: f64 = 0.25;

/// Seconds of work of each kind before an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Until the first token of the request in question.
    pub first_token: f64,
    /// Of that, the wait for work that stands before it.
    pub wait: f64,
    /// Of all work outstanding, the request in question included.
    pub total_work: f64,
}

/// Estimates the cost of a request at an upstream of this `speed` with this `load` before it.
/// `prompt` is what of its prompt is not cached there, `output` what it will generate.
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

/// Weight of a request as such, which breaks ties and is all that counts for plain services.
const REQUEST_OVERHEAD_S: f64 = 1e-3;

/// Seconds until a decode slot is free: the requests beyond the slots wait for as many to finish.
fn slot_wait(load: Load, slots: f64, decode_capacity: f64) -> f64 {
    let excess = load.requests + 1.0 - slots;
    if excess <= 0.0 || load.requests < 1.0 {
        return 0.0;
    }
    let tokens = load.decode / load.requests;
    excess * tokens / decode_capacity
}
