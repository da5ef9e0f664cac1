//! What a placement shows about contention, and calls of organisations that are over their share.

use std::time::Duration;

use clock::Moment;

use super::{Choice, Demand, Refusal, Target, cost};
use crate::Fleet;
use crate::engine::Engine;
use crate::shares::{CONTENDED_WAIT_SHARE, Standing};

/// The time to retry if the call's organisation is over its share and the call may be refused for
/// that.
///
/// A call that goes on with a stream may not: its caller has received the beginning, and the work
/// done for it would be lost.
pub(super) fn over_share(fleet: &Fleet, demand: &Demand, now: Moment) -> Option<Duration> {
    if demand.software.is_some() {
        return None;
    }
    let organisation = demand.organisation?;
    match fleet.shares.standing(demand.service, organisation, now) {
        Standing::Within => None,
        Standing::Over { retry_after } => Some(retry_after),
    }
}

/// Refuses a call whose organisation is over its share.
pub(super) fn refuse(retry_after: Duration, best_target: Option<Box<Target>>) -> Choice {
    Choice::Refuse {
        retry_after,
        reason: Refusal::OverShare,
        best_target,
    }
}

/// Share of the latency target up to which a wait behind the calls of others counts as none: the
/// engine is idle, and refusing the call would leave it so.
const IDLE_WAIT_SHARE: f64 = 0.05;

/// Share of the latency target that a call over share may wait, half of what counts as contention: a
/// prompt that is being read is not preempted, forecasts have been half of what reading took, and
/// several placers admit calls before they see each other's. In replays, calls of light organisations
/// were more often on time than with the whole, and more was served.
const OVER_SHARE_WAIT_SHARE: f64 = CONTENDED_WAIT_SHARE / 2.0;

/// Whether a call that is placed behind those of others will be on time although more of them arrive
/// before it is read, and makes no queue in which others would be late.
pub(super) fn is_on_time(
    fleet: &Fleet,
    demand: &Demand,
    choice: &Choice,
    expected: Duration,
    now: Moment,
) -> bool {
    let waited = waited_share(fleet, demand, choice);
    if expected > demand.latency_target || waited > OVER_SHARE_WAIT_SHARE {
        return false;
    }
    let stretch = fleet.shares.stretch(demand.service, now);
    expected.mul_f64(stretch) <= demand.latency_target || waited <= IDLE_WAIT_SHARE
}

/// Whether an engine would begin to run a call at once.
pub(super) fn has_free_slot(engine: &Engine) -> bool {
    engine.running_calls() < engine.record.slots
}

/// The time that a call waits for others, as a share of its latency target. A plain call waits if
/// it gets no free slot; for how long is not known, so that counts as the whole target.
pub(super) fn waited_share(fleet: &Fleet, demand: &Demand, choice: &Choice) -> f64 {
    let (target, expected) = match choice {
        Choice::Direct(target) => (target, target.expected_latency),
        Choice::Split {
            prefill,
            expected_latency,
            ..
        } => (prefill, *expected_latency),
        // The engines cannot take the load, however short refusals keep the waits of others.
        Choice::Refuse {
            reason: Refusal::OverShare,
            ..
        } => return 1.0,
        Choice::Refuse {
            best_target: Some(target),
            ..
        } => (&**target, target.expected_latency),
        Choice::Refuse { .. } => return 0.0,
    };
    let Some(engine) = fleet.get(&target.engine) else {
        return 0.0;
    };
    if demand.generation.is_none() {
        return if has_free_slot(engine) { 0.0 } else { 1.0 };
    }
    let speed = fleet.speed(engine);
    let alone_ms = speed.setup_ms + speed.millis(u64::from(target.work)) * engine.slowdown;
    let target_ms = cost::millis(demand.latency_target);
    // A call that would be late on an idle engine, for example a caller's second try, says nothing
    // about others.
    if alone_ms >= target_ms {
        return 0.0;
    }
    let wait_ms = cost::millis(expected.saturating_sub(target.limit_wait)) - alone_ms;
    wait_ms.max(0.0) / target_ms
}
