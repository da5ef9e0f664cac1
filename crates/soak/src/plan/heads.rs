//! Engines that stop within the heads of their answers.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::StdRng;

use super::{EngineFailure, Fault, FaultKind, MAX_FAULT_MS, MIN_FAULT_MS, WARM_UP};

/// Number of engines that stop so in a plan.
const COUNT: usize = 3;
/// Most bytes of a head that such an engine sends; fewer than heads have.
const MAX_CUT_BYTES: usize = 79;

/// Draws such engines among the first `engines` of a run, until `last_ms` after the warm-up.
pub(super) fn cut(rng: &mut StdRng, engines: usize, last_ms: u64) -> [Fault; COUNT] {
    std::array::from_fn(|_| {
        let engine = rng.random_range(0..engines);
        let bytes = rng.random_range(1..=MAX_CUT_BYTES);
        Fault {
            at: WARM_UP + Duration::from_millis(rng.random_range(0..last_ms)),
            duration: Duration::from_millis(rng.random_range(MIN_FAULT_MS..=MAX_FAULT_MS)),
            kind: FaultKind::Engine(engine, EngineFailure::EndsWithinHead(bytes)),
        }
    })
}
