//! Places calls for other instances and tracks their outcomes. The requesting side is
//! [`crate::placement::client`].

use std::net::SocketAddr;
use std::time::Duration;

use serving::engine::Rank;
use serving::parts::Prompt;
use serving::place::{self, Demand, Generation, Refusal, Target};
use serving::{Choice, EngineId, ServiceName, Zone, hash};
use smallvec::SmallVec;
use wire::gateway::{self, Answer, Ask, Frame, Split, answer};

use crate::engine_cache;
use crate::frame::{self, to_micros, to_millis};
use crate::instance::Instance;

/// Applies the outcomes of calls that this instance placed for a peer.
pub(crate) fn on_reports(instance: &Instance, peer: u64, reports: &gateway::Reports) {
    let now = instance.now();
    let mut fleet = instance.fleet.borrow_mut();
    for read in &reports.read {
        fleet.remote_prompt_read(peer, read.ticket, frame::moment_before(now, read.age_ms));
    }
    for ended in &reports.ended {
        fleet.end_remote_call(
            peer,
            ended.ticket,
            frame::decode_outcome(ended.outcome()),
            frame::moment_before(now, ended.age_ms),
        );
    }
    if reports.says_open {
        fleet.retain_remote_calls(peer, &reports.open, now);
    }
    drop(fleet);
    instance.frame_due.notify_one();
}

/// Handles a peer's placement request.
pub(crate) fn on_request(instance: &Instance, from: SocketAddr, frame: &Frame) -> Option<Frame> {
    let request = frame.ask.as_ref()?;
    let choice = place_for(instance, frame.incarnation, request);
    if choice.is_none() {
        log::debug!(from:% = from; "a question cannot be answered");
    }
    let news = if request.needs_records {
        engine_cache::records_of(instance, choice.as_ref())
    } else {
        Vec::new()
    };
    Some(Frame {
        news,
        answer: Some(Answer {
            ticket: request.ticket,
            choice,
            mixed: instance
                .origins
                .is_mixed(&ServiceName::from(request.service.as_str()), instance.now()),
        }),
        ..instance.frame()
    })
}

/// Places a peer's call and accounts for it at the engine.
fn place_for(instance: &Instance, peer: u64, request: &Ask) -> Option<answer::Choice> {
    if !instance.is_placing() || !instance.engines_known.get() {
        return None;
    }
    let table = instance.table()?;
    let service = ServiceName::from(request.service.as_str());
    let known = table.service(&service)?;
    let model = known.model.as_ref();
    let prompt: Prompt = {
        let pieces = request.prompt.iter().flat_map(|prompt| &prompt.pieces);
        pieces.map(frame::decode_part).collect()
    };
    let tokens = request.prompt.as_ref().map(|prompt| prompt.tokens);
    let generation = tokens.zip(model).map(|(tokens, model)| Generation {
        model,
        prompt: &prompt,
        tokens,
    });
    let zone = Zone::from(request.zone.as_str());
    let now = instance.now();
    let choice = {
        let mut fleet = instance.fleet.borrow_mut();
        let avoid = request
            .avoid
            .iter()
            .filter_map(|short| fleet.by_hash(*short));
        let avoid: SmallVec<[EngineId; 4]> = avoid.collect();
        let connected = request.connected.iter();
        let connected = connected.filter_map(|short| fleet.by_hash(*short));
        let connected: Vec<EngineId> = connected.collect();
        let reserved = fleet.by_hash(request.reserved);
        let demand = Demand {
            service: &service,
            generation,
            connections: u32::try_from(known.connections).unwrap_or(u32::MAX),
            priority: Rank::try_from(request.priority).unwrap_or(Rank::MAX),
            latency_target: Duration::from_millis(request.target_ms.into()),
            zone: &zone,
            may_split: request.may_split,
            send_time: Duration::from_micros(request.sending_us.into()),
            excluded: &avoid,
            connected: &connected,
            time_left: Duration::from_millis(request.left_ms.into()),
            isolated: request.alone,
            reserved: reserved.as_ref(),
            software: request.software.as_deref(),
        };
        let mut choice = if request.read_in.is_empty() {
            place::choose(&fleet, &demand, now)
        } else {
            let read_in = Zone::from(request.read_in.as_str());
            place::choose_decode(&fleet, &demand, &read_in, now).map_or(NO_ENGINE, Choice::Direct)
        };
        place::commit(&mut fleet, &demand, &mut choice, now);
        choice
    };
    if let Some(target) = choice.target() {
        let mut fleet = instance.fleet.borrow_mut();
        let ticket = request.ticket;
        let sent = now + target.limit_wait;
        fleet.begin_remote_call(peer, ticket, &target.engine, target.work, target.rank, sent);
        drop(fleet);
        instance.announce_parts(&target.engine, &prompt);
        instance.frame_due.notify_one();
    }
    Some(encode(&choice))
}

/// Refusal when no engine can take a prompt over.
const NO_ENGINE: Choice = Choice::Refuse {
    retry_after: Duration::ZERO,
    reason: Refusal::NoEngine,
    best_target: None,
};

fn encode(choice: &Choice) -> answer::Choice {
    match choice {
        Choice::Direct(target) => answer::Choice::Direct(encode_target(target)),
        Choice::Split {
            prefill,
            reserved,
            expected_latency: expected,
        } => answer::Choice::Split(Split {
            reserved: reserved.as_deref().map_or(0, hash::hash32),
            prefill: Some(encode_target(prefill)),
            expected_us: to_micros(*expected),
        }),
        Choice::Refuse {
            retry_after: after,
            reason: why,
            best_target: best,
        } => answer::Choice::Refusal(gateway::Refusal {
            after_ms: to_millis(*after),
            no_engine: *why == Refusal::NoEngine,
            limited: *why == Refusal::RateLimited,
            best: best.as_deref().map(encode_target),
        }),
    }
}

fn encode_target(target: &Target) -> gateway::Target {
    gateway::Target {
        engine: hash::hash32(&target.engine),
        unread: target.prefill_tokens,
        work: target.work,
        rank: u32::from(target.rank),
        wait_ms: to_millis(target.limit_wait),
        expected_us: to_micros(target.expected_latency),
        fetch: target.fetch_from.as_deref().map_or(0, hash::hash32),
    }
}
