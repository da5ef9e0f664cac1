//! Places a call at an engine: whether it may go to one at all, where, and when the engine's rate limit lets it go there. The decision is
//! [`serving::place`]'s, of this instance or of one that it asks.

use std::net::SocketAddr;

use serving::engine::Record;
use serving::place::{self, Demand, Generation, Target};
use serving::{Choice, EngineId, Zone};
use smallvec::SmallVec;

use crate::admission::{self, Admission};
use crate::attempt::Request;
use crate::instance::Instance;
use crate::limits;

pub(crate) mod client;
pub(crate) mod server;

/// Engines that a call must not go to again.
pub(crate) type Avoid = SmallVec<[EngineId; 4]>;

/// Finds a place for a call, and waits until the engine's rate limit lets it go there.
pub(crate) async fn place(
    instance: &Instance,
    asked: &Request,
    avoid: &Avoid,
    may_split: bool,
) -> Choice {
    loop {
        let choice = choose(instance, asked, avoid, may_split).await;
        let Some(target) = choice.target() else {
            limits::note_refusal(instance, &choice);
            return choice;
        };
        if limits::wait(instance, asked, target).await {
            return choice;
        }
    }
}

async fn choose(instance: &Instance, asked: &Request, avoid: &Avoid, may_split: bool) -> Choice {
    let admission = admission::admit(instance, asked).await;
    if let Admission::Held(after) = admission {
        return Choice::Refuse {
            retry_after: after,
            reason: place::Refusal::Held,
            best_target: None,
        };
    }
    let avoid = avoided(avoid, &admission);
    let connected = instance.pool.connected(instance.now());
    let demand = Demand {
        may_split,
        isolated: matches!(admission, Admission::Alone),
        ..demand(instance, asked, &avoid, &connected)
    };
    client::choose(instance, &demand).await
}

/// Engines that a call must not go to, with those that its admission excludes.
fn avoided(avoid: &Avoid, admission: &Admission) -> Avoid {
    let mut all = avoid.clone();
    if let Admission::Excluding(others) = admission {
        all.extend(others.iter().cloned());
    }
    all
}

/// Finds the engine that takes over a prompt that was read in a data centre, as [`place`] does.
pub(crate) async fn place_decode(
    instance: &Instance,
    asked: &Request,
    avoid: &Avoid,
    reserved: Option<&EngineId>,
    source: &Zone,
) -> Option<Target> {
    let admission = admission::admit_started(instance, asked);
    if matches!(admission, Admission::Held(_)) {
        return None;
    }
    let avoid = avoided(avoid, &admission);
    let connected = instance.pool.connected(instance.now());
    loop {
        let demand = Demand {
            reserved,
            ..demand(instance, asked, &avoid, &connected)
        };
        let target = client::decode(instance, &demand, source).await?;
        if limits::wait(instance, asked, &target).await {
            return Some(target);
        }
    }
}

fn demand<'a>(
    instance: &'a Instance,
    asked: &'a Request,
    avoid: &'a Avoid,
    connected: &'a [EngineId],
) -> Demand<'a> {
    let generation = asked.call.generation.as_ref();
    let model = asked.service.model.as_ref();
    let generation = generation.zip(model).map(|(sizes, model)| Generation {
        model,
        prompt: &sizes.prompt,
        tokens: sizes.prompt_tokens,
    });
    Demand {
        service: &asked.service.name,
        generation,
        connections: u32::try_from(asked.service.connections).unwrap_or(u32::MAX),
        priority: asked.priority(),
        latency_target: asked
            .route
            .latency_target
            .saturating_sub(asked.waited_before + asked.elapsed()),
        zone: &instance.zone,
        may_split: true,
        send_time: instance.sending(asked.body.len()),
        excluded: avoid,
        connected,
        time_left: asked.first_answer_remaining(),
        isolated: false,
        reserved: None,
    }
}

/// The record of a chosen engine.
pub(crate) fn record(instance: &Instance, id: &EngineId) -> Option<Record> {
    let fleet = instance.fleet.borrow();
    fleet.get(id).map(|engine| engine.record.clone())
}

/// Where an engine listens, if it is known.
pub(crate) fn address(instance: &Instance, id: Option<&EngineId>) -> Option<SocketAddr> {
    Some(record(instance, id?)?.address)
}
