//! Places a call: whether it may go to an engine at all, to which one, and when that engine's rate
//! limit admits it. [`serving::place`] decides, at this instance or at a placer.

use std::net::SocketAddr;
use std::time::Duration;

use serving::engine::Record;
use serving::place::{self, Demand, Generation, Target};
use serving::{Choice, EngineId, Zone};
use smallvec::SmallVec;

use crate::admission::{self, Admission};
use crate::attempt::Request;
use crate::instance::Instance;
use crate::{limits, shares};

pub(crate) mod client;
pub(crate) mod server;

/// Engines that a call must not go to again.
pub(crate) type Avoid = SmallVec<[EngineId; 4]>;

/// Finds an engine for a call, and waits until its rate limit admits the call. If the call goes on with
/// a stream, `software` is the version of the engines that may.
pub(crate) async fn place(
    instance: &Instance,
    request: &Request,
    avoid: &Avoid,
    may_split: bool,
    software: Option<&str>,
) -> Choice {
    loop {
        let choice = choose(instance, request, avoid, may_split, software).await;
        let Some(target) = choice.target() else {
            limits::note_refusal(instance, &choice);
            shares::note_refusal(instance, &request.service.name, &choice);
            return choice;
        };
        if limits::wait(instance, request, target).await {
            // The placement and the wait may have taken as long as it takes to hear of crashes.
            return match admission::admit_again(instance, request) {
                Admission::Held(hold) => hold.refusal(),
                _ => choice,
            };
        }
    }
}

async fn choose(
    instance: &Instance,
    request: &Request,
    avoid: &Avoid,
    may_split: bool,
    software: Option<&str>,
) -> Choice {
    let admission = admission::admit(instance, request).await;
    if let Admission::Held(hold) = admission {
        return hold.refusal();
    }
    let avoid = with_excluded(instance, avoid, &admission);
    let connected = instance.pool.connected(instance.now());
    let is_link_full = instance.own_load.is_link_full();
    let mut demand = Demand {
        may_split: may_split && !is_link_full,
        isolated: matches!(admission, Admission::Alone),
        software,
        ..demand(instance, request, &avoid, &connected)
    };
    let mut choice = client::choose(instance, &demand).await;
    if may_split && is_link_full && matches!(choice, Choice::Refuse { .. }) {
        // No engine can both read and generate in time; a second copy is better than none.
        demand.may_split = true;
        choice = client::choose(instance, &demand).await;
    }
    // Otherwise the engines known here are not all that might take the call.
    if instance.engines_known.get() {
        let fleet = instance.fleet.borrow();
        place::explain_refusal(&fleet, demand.service, &mut choice, instance.now());
    }
    choice
}

/// `Retry-After` of a call that engines have turned away: `usual`, unless all of them want no
/// requests from this instance for longer.
pub(crate) fn retry_after(instance: &Instance, request: &Request, usual: Duration) -> Duration {
    if !instance.engines_known.get() {
        return usual;
    }
    let fleet = instance.fleet.borrow();
    let left = place::pause_left(&fleet, &request.service.name, instance.now());
    left.unwrap_or_default().max(usual)
}

/// Adds the engines that a call's admission excludes, and those that want no requests from this
/// instance. A placer is told to avoid them too: it knows only what engines asked of itself.
fn with_excluded(instance: &Instance, avoid: &Avoid, admission: &Admission) -> Avoid {
    let mut all = avoid.clone();
    let fleet = instance.fleet.borrow();
    all.extend(fleet.paused(instance.now()).cloned());
    if let Admission::Excluding(others) = admission {
        all.extend(others.iter().cloned());
    }
    all
}

/// Finds the engine that decodes a prompt that was prefilled in the given data centre, as [`place()`]
/// does.
pub(crate) async fn place_decode(
    instance: &Instance,
    request: &Request,
    avoid: &Avoid,
    reserved: Option<&EngineId>,
    source: &Zone,
    software: Option<&str>,
) -> Option<Target> {
    let connected = instance.pool.connected(instance.now());
    loop {
        let admission = admission::admit_again(instance, request);
        if matches!(admission, Admission::Held(_)) {
            return None;
        }
        let avoid = with_excluded(instance, avoid, &admission);
        let demand = Demand {
            reserved,
            software,
            ..demand(instance, request, &avoid, &connected)
        };
        let target = client::decode(instance, &demand, source).await?;
        if limits::wait(instance, request, &target).await {
            let admission = admission::admit_again(instance, request);
            return (!matches!(admission, Admission::Held(_))).then_some(target);
        }
    }
}

fn demand<'a>(
    instance: &'a Instance,
    request: &'a Request,
    avoid: &'a Avoid,
    connected: &'a [EngineId],
) -> Demand<'a> {
    let generation = request.call.generation.as_ref();
    let model = request.service.model.as_ref();
    let generation = generation.zip(model).map(|(sizes, model)| Generation {
        model,
        prompt: &sizes.prompt,
        tokens: sizes.prompt_tokens,
    });
    Demand {
        service: &request.service.name,
        generation,
        connections: u32::try_from(request.service.connections).unwrap_or(u32::MAX),
        priority: request.priority(),
        latency_target: request
            .route
            .latency_target
            .saturating_sub(request.waited_before + request.elapsed()),
        zone: &instance.zone,
        may_split: true,
        send_time: instance.transmission_time(request.body.len()),
        excluded: avoid,
        connected,
        time_left: request.first_answer_remaining(),
        isolated: false,
        reserved: None,
        software: None,
        organisation: shares::organisation_of(request),
    }
}

/// The record of a chosen engine.
pub(crate) fn record(instance: &Instance, id: &EngineId) -> Option<Record> {
    let fleet = instance.fleet.borrow();
    fleet.get(id).map(|engine| engine.record.clone())
}

/// An engine's address, if it is known.
pub(crate) fn address(instance: &Instance, id: Option<&EngineId>) -> Option<SocketAddr> {
    Some(record(instance, id?)?.address)
}
