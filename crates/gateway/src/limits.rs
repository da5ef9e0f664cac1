//! Rate limits of engines: reads them from responses, exchanges them with other instances, and
//! delays calls. [`serving::throttle`] decides how a limit is divided.

use std::time::Duration;

use adapter::upstream::{AnnouncedLimit, Reply};
use clock::Moment;
use serving::place::{Refusal, Target};
use serving::receipt::Receipt;
use serving::throttle::{Announcement, Permit, Rate};
use serving::{Choice, EngineId, hash};
use tokio::time::sleep;
use wire::gateway::RateLimit;

use crate::attempt::Request;
use crate::frame;
use crate::instance::Instance;
use crate::metrics::Throttled;

/// Applies what the response to a call that was sent at `sent` says of its engine's rate limit.
pub(crate) fn observe(instance: &Instance, engine: &EngineId, reply: &Reply, sent: Moment) {
    if reply.is_misdirected() {
        return;
    }
    match reply.rate_limit {
        AnnouncedLimit::Rate(_) => observe_announced(instance, engine, reply.rate_limit),
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

/// Applies a limit named in any response. Only responses to calls lift a limit.
pub(crate) fn observe_announced(instance: &Instance, engine: &EngineId, limit: AnnouncedLimit) {
    if let AnnouncedLimit::Rate(rate) = limit {
        let announcement = Announcement {
            limit: Some(rate),
            at: instance.own_load.arrival(),
        };
        merge(instance, engine, announcement, "answer");
    }
}

/// Merges limits that another instance announces.
pub(crate) fn merge_from_peer(instance: &Instance, limits: &[RateLimit], receipt: Receipt) {
    for limit in limits {
        let engine = instance.fleet.borrow().by_hash(limit.engine);
        let Some(engine) = engine else {
            continue;
        };
        let Ok(rate) = limit.limit.map(Rate::try_from).transpose() else {
            log::warn!(engine = &*engine; "another instance announces an invalid rate limit");
            continue;
        };
        let announcement = Announcement {
            limit: rate,
            at: frame::moment_before(receipt.arrived, limit.age_ms),
        };
        merge(instance, &engine, announcement, "instance");
    }
}

fn merge(instance: &Instance, engine: &EngineId, announcement: Announcement, source: &str) {
    let now = instance.now();
    let mut fleet = instance.fleet.borrow_mut();
    if fleet.get(engine).is_none() {
        // The limit of an unknown engine would never be removed.
        return;
    }
    let throttles = &mut fleet.throttles;
    if !throttles.merge(engine, announcement, now) {
        return;
    }
    instance.frame_due.notify_one();
    let share = throttles.share(engine).unwrap_or_default();
    if let Some(limit) = announcement.limit {
        log::info!(
            engine = &**engine, limit:% = limit, share = share, source = source;
            "the engine announces a rate limit"
        );
    } else {
        log::info!(engine = &**engine, source = source; "the engine has no rate limit any more");
    }
}

/// Encodes limits for a frame.
pub(crate) fn to_wire(announcements: Vec<(EngineId, Announcement)>, now: Moment) -> Vec<RateLimit> {
    let limits = announcements
        .into_iter()
        .map(|(engine, announcement)| RateLimit {
            engine: hash::hash32(&engine),
            limit: announcement.limit.map(Rate::per_second),
            age_ms: frame::elapsed_ms(announcement.at, now),
        });
    limits.collect()
}

/// Counts a request that is about to go to an engine.
pub(crate) fn charge(instance: &Instance, engine: &EngineId) {
    let now = instance.now();
    let throttles = &mut instance.fleet.borrow_mut().throttles;
    throttles.charge(engine, now);
}

/// Counts an optional request of the gateway's own if it may go to the engine now. Returns whether
/// it may.
pub(crate) fn try_charge(instance: &Instance, engine: &EngineId) -> bool {
    let now = instance.now();
    let mut fleet = instance.fleet.borrow_mut();
    let is_paused = fleet.is_paused(engine, now);
    let throttles = &mut fleet.throttles;
    let may_go = !is_paused && throttles.permit(engine, now) == Permit::After(Duration::ZERO);
    if may_go {
        throttles.charge(engine, now);
    }
    may_go
}

/// Delays a call until its engine's rate limit admits it. Returns whether the engine takes calls
/// then.
pub(crate) async fn wait(instance: &Instance, request: &Request, target: &Target) -> bool {
    if target.limit_wait.is_zero() {
        return true;
    }
    instance.metrics.call_throttled(Throttled::Waited);
    log::info!(
        id = request.call.id.as_str(), engine = &*target.engine, wait_ms:% = target.limit_wait.as_millis();
        "waits for the engine's rate limit"
    );
    sleep(target.limit_wait).await;
    let fleet = instance.fleet.borrow();
    let now = instance.now();
    let engine = fleet.get(&target.engine);
    let takes_calls = engine.is_some_and(serving::engine::Engine::takes_calls);
    takes_calls && !fleet.is_paused(&target.engine, now)
}

/// Counts a refusal caused by rate limits.
pub(crate) fn note_refusal(instance: &Instance, choice: &Choice) {
    if let Choice::Refuse {
        reason: Refusal::RateLimited,
        ..
    } = choice
    {
        instance.metrics.call_throttled(Throttled::Refused);
    }
}
