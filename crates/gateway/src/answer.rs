//! Places calls of other instances, and takes in what became of them. The asking side is [`crate::ask`].

use std::net::SocketAddr;
use std::time::Duration;

use serving::engine::Rank;
use serving::parts::Prompt;
use serving::place::{self, Demand, Generation, Refusal, Target};
use serving::{Choice, EngineId, ServiceName, Zone, hash};
use smallvec::SmallVec;
use wire::gateway::{self, Answer, Ask, Frame, Split, answer};

use crate::frame::{self, micros, millis};
use crate::instance::Instance;

/// Takes in what became of calls that this instance placed for another one.
pub(crate) fn take_reports(instance: &Instance, peer: u64, reports: &gateway::Reports) {
    let now = instance.now();
    let mut fleet = instance.fleet.borrow_mut();
    for read in &reports.read {
        fleet.first_for(peer, read.ticket, frame::before(now, read.age_ms));
    }
    for ended in &reports.ended {
        fleet.end_for(peer, ended.ticket, frame::outcome(ended.outcome()), now);
    }
    if reports.says_open {
        fleet.retain_for(peer, &reports.open, now);
    }
    drop(fleet);
    instance.stirred.notify_one();
}

/// Answers a question of another instance.
pub(crate) fn take(instance: &Instance, from: SocketAddr, frame: &Frame) -> Option<Frame> {
    let question = frame.ask.as_ref()?;
    let choice = answered(instance, frame.incarnation, question);
    if choice.is_none() {
        log::debug!(from:% = from; "a question cannot be answered");
    }
    Some(Frame {
        answer: Some(Answer {
            ticket: question.ticket,
            choice,
        }),
        ..instance.frame()
    })
}

/// Places a call of another instance and enters it in the books.
fn answered(instance: &Instance, peer: u64, question: &Ask) -> Option<answer::Choice> {
    if !instance.is_placing() || !instance.engines_known.get() {
        return None;
    }
    let table = instance.table()?;
    let service = ServiceName::from(question.service.as_str());
    let known = table.service(&service)?;
    let model = known.model.as_ref();
    let prompt: Prompt = {
        let pieces = question.prompt.iter().flat_map(|prompt| &prompt.pieces);
        pieces.map(frame::part).collect()
    };
    let tokens = question.prompt.as_ref().map(|prompt| prompt.tokens);
    let generation = tokens.zip(model).map(|(tokens, model)| Generation {
        model,
        prompt: &prompt,
        tokens,
    });
    let zone = Zone::from(question.zone.as_str());
    let now = instance.now();
    let choice = {
        let mut fleet = instance.fleet.borrow_mut();
        let avoid = question
            .avoid
            .iter()
            .filter_map(|short| fleet.by_short(*short));
        let avoid: SmallVec<[EngineId; 4]> = avoid.collect();
        let connected = question.connected.iter();
        let connected = connected.filter_map(|short| fleet.by_short(*short));
        let connected: Vec<EngineId> = connected.collect();
        let reserved = fleet.by_short(question.reserved);
        let demand = Demand {
            service: &service,
            generation,
            connections: u32::try_from(known.connections).unwrap_or(u32::MAX),
            priority: Rank::try_from(question.priority).unwrap_or(Rank::MAX),
            target: Duration::from_millis(question.target_ms.into()),
            zone: &zone,
            may_split: question.may_split,
            sending: Duration::from_micros(question.sending_us.into()),
            avoid: &avoid,
            connected: &connected,
            left: Duration::from_millis(question.left_ms.into()),
            alone: question.alone,
            reserved: reserved.as_ref(),
        };
        let mut choice = if question.read_in.is_empty() {
            place::choose(&fleet, &demand, now)
        } else {
            let read_in = Zone::from(question.read_in.as_str());
            place::decode(&fleet, &demand, &read_in, now).map_or(NOWHERE, Choice::Direct)
        };
        place::commit(&mut fleet, &demand, &mut choice, now);
        choice
    };
    if let Some(target) = choice.target() {
        let mut fleet = instance.fleet.borrow_mut();
        let ticket = question.ticket;
        let sent = now + target.wait;
        fleet.begin_for(peer, ticket, &target.engine, target.work, target.rank, sent);
        drop(fleet);
        instance.uses(&target.engine, &prompt);
        instance.stirred.notify_one();
    }
    Some(told(&choice))
}

/// No engine takes a prompt over.
const NOWHERE: Choice = Choice::Refuse {
    after: Duration::ZERO,
    why: Refusal::NoEngine,
    best: None,
};

fn told(choice: &Choice) -> answer::Choice {
    match choice {
        Choice::Direct(target) => answer::Choice::Direct(told_target(target)),
        Choice::Split {
            prefill,
            reserved,
            expected,
        } => answer::Choice::Split(Split {
            reserved: reserved.as_deref().map_or(0, hash::short),
            prefill: Some(told_target(prefill)),
            expected_us: micros(*expected),
        }),
        Choice::Refuse { after, why, best } => answer::Choice::Refusal(gateway::Refusal {
            after_ms: millis(*after),
            no_engine: *why == Refusal::NoEngine,
            limited: *why == Refusal::Limited,
            best: best.as_deref().map(told_target),
        }),
    }
}

fn told_target(target: &Target) -> gateway::Target {
    gateway::Target {
        engine: hash::short(&target.engine),
        unread: target.unread,
        work: target.work,
        rank: u32::from(target.rank),
        wait_ms: millis(target.wait),
        expected_us: micros(target.expected),
        fetch: target.fetch.as_deref().map_or(0, hash::short),
    }
}
