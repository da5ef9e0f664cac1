//! What engines announce of themselves in answers of any kind, to calls and to requests of the
//! gateway's own. The answer to one call decides where the next one goes, which mostly another
//! instance places, so it must not end with the call. See `docs/design/rate-limits.md`.

use std::time::Duration;

use actix_http::ResponseHead;
use adapter::upstream::{self, Reply};
use clock::Moment;
use serving::{EngineId, Fleet, hash};

use crate::instance::Instance;
use crate::limits;
use crate::peers::Departure;

/// Applies the announcements in the response to a call that was sent at `sent`.
pub(crate) fn observe(instance: &Instance, engine: &EngineId, reply: &Reply, sent: Moment) {
    if reply.is_misdirected() {
        return;
    }
    observe_forwarded(instance, engine, reply, sent);
    on_pause(instance, engine, reply.retry_after);
}

/// As [`observe`], for a call that another instance sent. A pause that the engine asks for is that
/// instance's.
pub(crate) fn observe_forwarded(
    instance: &Instance,
    engine: &EngineId,
    reply: &Reply,
    sent: Moment,
) {
    if reply.is_misdirected() {
        return;
    }
    limits::observe(instance, engine, reply, sent);
    if reply.leaving {
        on_leaving(instance, engine);
    }
}

/// Applies the announcements in the response to a request of the gateway's own.
pub(crate) fn observe_own(instance: &Instance, engine: &EngineId, head: &ResponseHead) {
    limits::observe_announced(instance, engine, upstream::announced_limit(head));
    if upstream::announces_leaving(head) {
        on_leaving(instance, engine);
    }
    on_pause(instance, engine, upstream::requested_pause(head));
}

/// Sends an engine nothing for as long as it asked for as it turned a request away.
///
/// It asked this instance only: each one is turned away by itself, and others may have been served.
fn on_pause(instance: &Instance, engine: &EngineId, pause: Option<Duration>) {
    if let Some(pause) = pause {
        let now = instance.now();
        instance.fleet.borrow_mut().pause(engine, pause, now);
    }
}

/// Tells all instances of an engine that has announced that it leaves. Its record may not say so for
/// seconds, while the engine does not reach the store.
fn on_leaving(instance: &Instance, engine: &EngineId) {
    if !instance.fleet.borrow_mut().mark_leaving(engine) {
        return;
    }
    log::info!(engine = &**engine, source = "answer"; "engine leaves");
    let departure = Departure::Leaving(hash::hash32(engine));
    let now = instance.now();
    instance.peers.borrow_mut().queue_departure(departure, now);
    instance.departure_due.notify_one();
}

/// Applies engines that another instance knows to be leaving.
pub(crate) fn merge_leaving_from_peer(instance: &Instance, engines: &[u32]) {
    let mut fleet = instance.fleet.borrow_mut();
    for engine in engines {
        let Some(engine) = fleet.by_hash(*engine) else {
            continue;
        };
        if fleet.mark_leaving(&engine) {
            log::info!(engine = &*engine, source = "instance"; "engine leaves");
        }
    }
}

/// Engines that leave although their records do not say so, for instances that were not told.
pub(crate) fn leaving_to_repeat(fleet: &Fleet) -> Vec<u32> {
    let leaving = fleet.leaving_unrecorded();
    leaving.map(|id| hash::hash32(id)).collect()
}
