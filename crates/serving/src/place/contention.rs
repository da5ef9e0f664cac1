//! What a placement shows about contention, and calls of organisations that are over their share.

use std::time::Duration;

use clock::Moment;

use super::{Choice, Demand, Refusal, Target, cost};
use crate::Fleet;
use crate::engine::Engine;
use crate::shares::Standing;

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

/// Share of the latency target that a call over share may wait for its prompt to be begun. An engine
/// does not preempt a prompt that it reads, and placers do not see what others have admitted in the
/// last tens of milliseconds, so longer queues of such calls make those of others late. In replays of
/// prompts of mixed length, a half had light organisations late at 10 times the usual load.
const OVER_SHARE_WAIT_SHARE: f64 = 1.0 / 16.0;

/// Longest wait of a call over share.
pub(super) fn max_wait(demand: &Demand) -> Duration {
    demand.latency_target.mul_f64(OVER_SHARE_WAIT_SHARE)
}

/// Whether a call that is placed behind those of others is begun soon and will be on time.
pub(super) fn is_admitted(
    fleet: &Fleet,
    demand: &Demand,
    choice: &Choice,
    expected: Duration,
    now: Moment,
) -> bool {
    let reader = choice.target().and_then(|target| fleet.get(&target.engine));
    expected <= demand.latency_target
        && reader
            .is_some_and(|engine| cost::read_wait(fleet, engine, demand, now) <= max_wait(demand))
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
