//! Engine time of one organisation as a decaying rate, and how long calls hold a slot.

use std::time::Duration;

use clock::Moment;

use crate::decaying_rate::retained;
use crate::engine::Stage;

/// Time constant of usage: several calls of an organisation fall into it, and an organisation that
/// returns after some of them has no credit and no debt.
pub(super) const TIME_CONSTANT: Duration = Duration::from_millis(2_500);
/// Time after its last call for which an organisation counts as active, so that one that has left
/// does not limit those that remain.
const ACTIVE_TIME: Duration = Duration::from_millis(2_500);
/// Weight of one call in the typical time for which a slot is held.
const HOLD_WEIGHT: f64 = 0.05;

/// Time for which a slot is taken to be held before the first call has ended: at engines that answer
/// nothing, usage still shows who sends the most.
const INITIAL_HOLD_MS: f64 = 100.0;

/// The part of usage that is left after a time.
pub(super) fn decay(age: Duration) -> f64 {
    retained(age, TIME_CONSTANT)
}

/// A decaying sum of engine time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    sum_ms: f64,
    updated_at: Moment,
    last_call: Moment,
}

impl Usage {
    /// Adds engine time. The sum stays at least zero.
    pub(super) fn add(&mut self, cost_ms: f64, now: Moment) {
        self.sum_ms = (self.decayed(now) + cost_ms).max(0.0);
        self.updated_at = now.max(self.updated_at);
    }

    /// Records a call.
    pub(super) fn touch(&mut self, now: Moment) {
        self.last_call = now.max(self.last_call);
    }

    /// Milliseconds of engine time per second.
    pub(super) fn rate(&self, now: Moment) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    pub(super) fn is_active(&self, now: Moment) -> bool {
        now.saturating_sub(self.last_call) < ACTIVE_TIME
    }

    fn decayed(&self, now: Moment) -> f64 {
        self.sum_ms * decay(now.saturating_sub(self.updated_at))
    }
}

/// Typical time in milliseconds for which a call holds a slot, by the engine's stage.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Hold {
    typical_ms: [Option<f64>; 3],
}

impl Hold {
    pub(super) fn typical_ms(&self, stage: Option<Stage>) -> f64 {
        self.typical_ms[index(stage)].unwrap_or(INITIAL_HOLD_MS)
    }

    pub(super) fn observe(&mut self, stage: Option<Stage>, hold_ms: f64) {
        let known = &mut self.typical_ms[index(stage)];
        let before = known.unwrap_or(hold_ms);
        *known = Some(before + HOLD_WEIGHT * (hold_ms - before));
    }
}

fn index(stage: Option<Stage>) -> usize {
    match stage {
        None => 0,
        Some(Stage::Prefill) => 1,
        Some(Stage::Decode) => 2,
    }
}
