//! Rate limits of engines: what answers say of them, what instances tell each other, and waiting for one's turn. How a limit is
//! divided is decided in [`serving::throttle`].

use std::time::Duration;

use adapter::upstream::{AnnouncedLimit, Reply};
use clock::Moment;
use serving::place::{Refusal, Target};
use serving::throttle::{Announcement, Permit, Rate};
use serving::{Choice, EngineId, hash};
use tokio::time::sleep;
use wire::gateway::RateLimit;

use crate::attempt::Request;
use crate::frame;
use crate::instance::Instance;
use crate::metrics::Throttled;

/// Takes note of what an answer to a call says of its engine's rate limit. The call was sent at this moment.
pub(crate) fn observe(instance: &Instance, engine: &EngineId, reply: &Reply, sent: Moment) {
    if reply.is_misdirected() {
        return;
    }
    match reply.rate_limit {
        AnnouncedLimit::Rate(_) => note_announced(instance, engine, reply.rate_limit),
        AnnouncedLimit::Absent if reply.is_success() => {
            let lifted = Announcement {
                limit: None,
                at: sent,
            };
            merge(instance, engine, lifted, "answer");
        }
        AnnouncedLimit::Absent | AnnouncedLimit::Unreadable => {}
    }
}

/// Takes note of a limit that an answer to any request names. Only answers to calls tell that there is none any more.
pub(crate) fn note_announced(instance: &Instance, engine: &EngineId, limit: AnnouncedLimit) {
    if let AnnouncedLimit::Rate(rate) = limit {
        let announcement = Announcement {
            limit: Some(rate),
            at: instance.now(),
        };
        merge(instance, engine, announcement, "answer");
    }
}

/// Merges what another instance knows of limits.
pub(crate) fn receive(instance: &Instance, limits: &[RateLimit], now: Moment) {
    for limit in limits {
        let engine = instance.fleet.borrow().by_hash(limit.engine);
        let Some(engine) = engine else {
            continue;
        };
        let Ok(rate) = limit.limit.map(Rate::try_from).transpose() else {
            log::warn!(engine = &*engine; "another instance tells a limit that is no rate");
            continue;
        };
        let announcement = Announcement {
            limit: rate,
            at: frame::moment_before(now, limit.age_ms),
        };
        merge(instance, &engine, announcement, "instance");
    }
}

fn merge(instance: &Instance, engine: &EngineId, said: Announcement, source: &str) {
    let now = instance.now();
    let mut fleet = instance.fleet.borrow_mut();
    if fleet.get(engine).is_none() {
        // Nothing would remove its limit again.
        return;
    }
    let throttles = &mut fleet.throttles;
    if !throttles.merge(engine, said, now) {
        return;
    }
    instance.stirred.notify_one();
    let share = throttles.share(engine).unwrap_or_default();
    if let Some(limit) = said.limit {
        log::info!(
            engine = &**engine, limit:% = limit, share = share, source = source;
            "the engine announces a rate limit"
        );
    } else {
        log::info!(engine = &**engine, source = source; "the engine has no rate limit any more");
    }
}

/// Limits as frames tell them.
pub(crate) fn to_wire(said: Vec<(EngineId, Announcement)>, now: Moment) -> Vec<RateLimit> {
    let limits = said.into_iter().map(|(engine, said)| RateLimit {
        engine: hash::hash32(&engine),
        limit: said.limit.map(Rate::per_second),
        age_ms: frame::elapsed_ms(said.at, now),
    });
    limits.collect()
}

/// Counts a request that is about to go to an engine.
pub(crate) fn charge(instance: &Instance, engine: &EngineId) {
    let now = instance.now();
    let throttles = &mut instance.fleet.borrow_mut().throttles;
    throttles.charge(engine, now);
}

/// Whether a request of the system's own, which can be left out, may go to an engine now. It is counted if so.
pub(crate) fn try_charge(instance: &Instance, engine: &EngineId) -> bool {
    let now = instance.now();
    let throttles = &mut instance.fleet.borrow_mut().throttles;
    let may_go = throttles.permit(engine, now) == Permit::After(Duration::ZERO);
    if may_go {
        throttles.charge(engine, now);
    }
    may_go
}

/// Waits until a call may be sent to its engine. Says whether the engine takes calls then.
pub(crate) async fn wait(instance: &Instance, asked: &Request, target: &Target) -> bool {
    if target.limit_wait.is_zero() {
        return true;
    }
    instance.metrics.throttled(Throttled::Waited);
    log::info!(
        id = asked.call.id.as_str(), engine = &*target.engine, wait_ms:% = target.limit_wait.as_millis();
        "waits for the engine's rate limit"
    );
    sleep(target.limit_wait).await;
    let fleet = instance.fleet.borrow();
    let engine = fleet.get(&target.engine);
    engine.is_some_and(serving::engine::Engine::takes_calls)
}

/// Counts a refusal by rate limits.
pub(crate) fn note_refusal(instance: &Instance, choice: &Choice) {
    if let Choice::Refuse {
        reason: Refusal::RateLimited,
        ..
    } = choice
    {
        instance.metrics.throttled(Throttled::Refused);
    }
}
