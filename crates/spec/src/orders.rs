//! Model of orders: a holder and its successor, one engine, and one entry with a stream. Messages
//! to the engine may be delayed, duplicated or held back by a pause of the sender, answers may be
//! lost, and processes and the engine may crash at any step.

use crate::explore::Model;
use crate::log::{EncodedRecord, Log};
use authority::change::SendResult;
use std::rc::Rc;
use world::{Answer, ENGINE, Entry, Message, SCOPE, process};

pub use config::{Config, MUTANTS, Mutant};
pub use world::World;

mod config;
mod describe;
mod engine;
mod world;

/// A transition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time advances.
    Tick,
    /// A process reads the log to its end and handles what is due.
    Step(usize),
    /// A process handles what is due without reading the log.
    StepUnread(usize),
    /// A record in flight is committed.
    Commit(usize),
    /// A record in flight is committed, and a copy stays in flight.
    CommitTwice(usize),
    /// A record in flight is lost.
    LoseRecord(usize),
    /// A message arrives at the engine and is answered.
    Deliver(usize),
    /// A message arrives and is answered, and a copy stays in flight.
    DeliverTwice(usize),
    /// A message arrives, and the answer is lost.
    DeliverUnanswered(usize),
    /// A message is lost.
    Lose(usize),
    /// The engine completes its order.
    End,
    /// The engine crashes and restarts.
    Restart,
    /// A stream ends.
    StreamEnds,
    /// The entry reads the log to its end.
    EntryReads,
    /// The entry opens a stream at the engine.
    StreamBegins,
    /// The entry crashes, and its stream stays open at the engine.
    EntryCrashes,
    /// A process crashes and restarts.
    Crash(usize),
}

/// Messages of one process that may be in flight at once. Appends need no such bound: a process has
/// nothing else to do until its append is committed or lost, so it takes no step before that.
const MAX_MESSAGES: usize = 2;

/// The model within these bounds.
pub fn model(config: Config) -> Model<Config, World, Event> {
    let mut start = World {
        now: 0,
        log: Log::new(),
        processes: (0..config.processes)
            .map(|which| Rc::new(process(&config, which, 1)))
            .collect(),
        entry: Entry {
            folded: 0,
            stream_open: false,
        },
        engine: engine::Engine::new(config.checks_fence, config.forgets_cancellations),
        appends: Vec::new(),
        messages: Vec::new(),
        remaining_streams: config.max_streams,
        remaining_faults: config.max_faults,
        cancellations_lost: config.forgets_cancellations,
        engine_restarted: false,
        began_late: false,
        violation: None,
    };
    // In the initial state the quarantine of the first process is over and its lease has just been
    // renewed; both processes have read this.
    for now in [0, config.start_tick()] {
        start.now = now;
        start.claim_or_renew();
        start = apply(&config, &start, &Event::Commit(0));
        start.read(0);
    }
    if config.processes > 1 {
        start.read(1);
        start.handle_due(&config, 1, true);
    }
    Model {
        config,
        start,
        next,
        describe: describe::describe,
        violation,
        coverage,
    }
}

fn next(config: &Config, world: &World) -> Vec<(Event, World)> {
    let events = events(config, world).into_iter();
    let next = events.map(|event| (event, apply(config, world, &event)));
    next.filter(|(event, next)| !is_idle(world, *event, next))
        .collect()
}

/// Transitions without a relevant effect are skipped to reduce the state space: steps that only
/// change the time of the last read, and reads of records that affect neither the claim nor the
/// reader's view of the engine. Such records are read together with the next relevant one.
fn is_idle(world: &World, event: Event, next: &World) -> bool {
    match event {
        Event::Step(which) | Event::StepUnread(which) => {
            if next.signature(which) == world.signature(which) {
                return true;
            }
            let (before, after) = (&world.processes[which], &next.processes[which]);
            let held = |folded| world.log.state(folded).current_claim(SCOPE);
            !before.lease.holds()
                && held(before.folded) == held(after.folded)
                && next.appends.len() == world.appends.len()
        }
        Event::EntryReads => {
            let pending = |world: &World| {
                world
                    .log
                    .state(world.entry.folded)
                    .pending_order(ENGINE)
                    .cloned()
            };
            pending(world) == pending(next)
        }
        _ => false,
    }
}

fn events(config: &Config, world: &World) -> Vec<Event> {
    let mut events = Vec::new();
    if world.violation.is_some() {
        return events;
    }
    if world.now < config.start_tick() + config.horizon && !is_overdue(config, world) {
        events.push(Event::Tick);
    }
    process_events(world, &mut events);
    for index in 0..world.appends.len() {
        if world.log.end() < config.max_records {
            events.push(Event::Commit(index));
        }
        if world.remaining_faults > 0 {
            events.push(Event::LoseRecord(index));
        }
        if world.remaining_faults > 0 && world.log.end() < config.max_records {
            events.push(Event::CommitTwice(index));
        }
    }
    for index in 0..world.messages.len() {
        events.push(Event::Deliver(index));
        if world.remaining_faults > 0 {
            let faults = [
                Event::DeliverTwice(index),
                Event::DeliverUnanswered(index),
                Event::Lose(index),
            ];
            events.extend(faults);
        }
    }
    engine_events(config, world, &mut events);
    events
}

fn process_events(world: &World, events: &mut Vec<Event>) {
    for which in 0..world.processes.len() {
        let waiting = world.appends.iter().any(|(from, _)| *from == which);
        let messages = world.messages.iter();
        let messages = messages.filter(|message| message.from == which);
        if !waiting && messages.count() < MAX_MESSAGES {
            events.push(Event::Step(which));
        }
        // With nothing to read, `StepUnread` is the same as `Step`.
        let unread = world.processes[which].folded < world.log.end();
        let holds = world.processes[which].lease.holds();
        if !waiting && unread && holds {
            events.push(Event::StepUnread(which));
        }
        if world.remaining_faults > 0 && holds {
            events.push(Event::Crash(which));
        }
    }
}

fn engine_events(config: &Config, world: &World, events: &mut Vec<Event>) {
    if world.engine.is_running() {
        events.push(Event::End);
    }
    if config.engine_restarts && world.remaining_faults > 0 {
        events.push(Event::Restart);
    }
    if world.engine.open_streams > 0 {
        events.push(Event::StreamEnds);
    }
    if world.entry.folded < world.log.end() {
        events.push(Event::EntryReads);
    }
    let state = world.log.state(world.entry.folded);
    let closed = state.pending_order(ENGINE).is_some() || world.engine.is_running();
    if world.remaining_streams > 0 && !closed && world.engine.open_streams == 0 {
        events.push(Event::StreamBegins);
    }
    if world.remaining_faults > 0 && world.entry.stream_open {
        events.push(Event::EntryCrashes);
    }
}

/// Whether another tick would delay a message for longer than the procedure for engines that ignore
/// fences assumes.
fn is_overdue(config: &Config, world: &World) -> bool {
    let late = |message: &Message| match message.sent_at {
        Some(sent_at) => world.now + 1 >= sent_at + config::MAX_DELAY_TICKS,
        None => world.now >= message.decided_at + config::LEASE_TICKS,
    };
    config.bounded_delays && world.messages.iter().any(late)
}

fn apply(config: &Config, world: &World, event: &Event) -> World {
    let mut next = world.clone();
    match *event {
        Event::Tick => next.now += 1,
        Event::Step(which) => {
            next.read(which);
            next.handle_due(config, which, true);
        }
        Event::StepUnread(which) => next.handle_due(config, which, false),
        Event::Commit(index) => {
            let (_, encoded) = next.appends.remove(index);
            commit(&mut next, encoded);
        }
        Event::CommitTwice(index) => {
            let encoded = next.appends[index].1.clone();
            commit(&mut next, encoded);
        }
        Event::Deliver(index) => {
            let message = next.messages.remove(index);
            deliver(config, &mut next, &message, true);
        }
        Event::DeliverTwice(index) => {
            let message = next.messages[index].clone();
            deliver(config, &mut next, &message, true);
        }
        Event::DeliverUnanswered(index) => {
            let message = next.messages.remove(index);
            deliver(config, &mut next, &message, false);
        }
        Event::LoseRecord(index) => drop(next.appends.remove(index)),
        Event::Lose(index) => drop(next.messages.remove(index)),
        Event::End => next.engine.finish_order(),
        Event::Restart => {
            next.engine.restart();
            next.cancellations_lost = true;
            next.engine_restarted = true;
            next.entry.stream_open = false;
        }
        Event::StreamEnds => {
            next.engine.open_streams = 0;
            next.entry.stream_open = false;
        }
        Event::EntryReads => next.entry.folded = next.log.end(),
        Event::StreamBegins => {
            next.remaining_streams -= 1;
            next.engine.open_streams = 1;
            next.entry.stream_open = true;
        }
        Event::EntryCrashes => next.entry.stream_open = false,
        Event::Crash(which) => crash(config, &mut next, which),
    }
    if is_fault(event) {
        next.remaining_faults -= 1;
    }
    next
}

fn is_fault(event: &Event) -> bool {
    use Event::{
        CommitTwice, Crash, DeliverTwice, DeliverUnanswered, EntryCrashes, Lose, LoseRecord,
        Restart,
    };
    matches!(
        event,
        CommitTwice(_)
            | LoseRecord(_)
            | DeliverTwice(_)
            | DeliverUnanswered(_)
            | Lose(_)
            | Restart
            | EntryCrashes
            | Crash(_)
    )
}

fn crash(config: &Config, world: &mut World, which: usize) {
    let incarnation = world.processes[which].author.incarnation + 1;
    world.processes[which] = Rc::new(process(config, which, incarnation));
    for message in &mut world.messages {
        if message.from == which {
            message.sent_at.get_or_insert(world.now);
        }
    }
}

fn commit(world: &mut World, encoded: EncodedRecord) {
    let before = world
        .log
        .latest_state()
        .pending_order(ENGINE)
        .map(|known| known.order);
    world.log.commit(encoded);
    let after = world
        .log
        .latest_state()
        .pending_order(ENGINE)
        .map(|known| known.order);
    let acting = world.engine.last_order.map(|last| last.order);
    if before.is_some() && before != after && acting == before && world.engine.is_running() {
        world.violation = Some("an engine is opened while it carries out an order");
    }
}

fn deliver(config: &Config, world: &mut World, message: &Message, answered: bool) {
    let pending = world.log.latest_state().pending_order(ENGINE);
    let in_force = pending.is_some_and(|pending| pending.order == message.order);
    let checks = world.engine.checks_fence;
    if config.mutant == Some(Mutant::NoFence) {
        world.engine.checks_fence = false;
    }
    let action = message.action.as_ref();
    let response = world.engine.receive(message.order, message.fence, action);
    world.engine.checks_fence = checks;
    if response.began && world.engine.open_streams > 0 {
        world.violation = Some("a stream is cut by a planned change");
    }
    if response.began && !in_force {
        world.violation = Some("an order acts that is not in force");
    }
    let quarantine = config.lease_ticks() + config::MAX_DELAY_TICKS;
    world.began_late |= response.began && world.now > message.decided_at + quarantine;
    if answered {
        let process = Rc::make_mut(&mut world.processes[message.from]);
        let answer = Answer {
            cancel: message.action.is_none(),
            accepted: response.result == SendResult::Accepted,
            busy: matches!(response.result, SendResult::Busy { .. }),
        };
        process.inbox = [(message.order, message.request, answer)]
            .into_iter()
            .collect();
    }
}

/// The only violations that `docs/design/orders.md` accepts as possible. Either the engine ignores
/// fences and has lost the cancellation, and the order began after the quarantine; or the engine
/// checks fences and has restarted, so that it has lost both the token and the cancellation.
fn is_residual_case(config: &Config, world: &World) -> bool {
    if config.checks_fence {
        world.engine_restarted
    } else {
        !config.bounded_delays && world.cancellations_lost && world.began_late
    }
}

fn violation(config: &Config, world: &World) -> Option<&'static str> {
    let now = world.time();
    let acting = world.processes.iter();
    let acting = acting.filter(|process| process.lease.may_act(now, clock::Moment::ZERO));
    if acting.count() > 1 {
        return Some("two processes may act at once");
    }
    world.violation.filter(|_| !is_residual_case(config, world))
}

fn coverage(config: &Config, world: &World) -> Vec<&'static str> {
    let state = world.log.latest_state();
    let mut covered = Vec::new();
    if world.violation.is_some() && is_residual_case(config, world) {
        covered.push("what remains possible");
    }
    if world.engine.is_running() {
        covered.push("an engine carries out an order");
    }
    let claim = state.current_claim(SCOPE).map_or(0, |held| held.fence);
    let taken_over = state
        .recent_orders()
        .any(|ended| ended.intent.fence < claim);
    if taken_over {
        covered.push("a successor concludes an order");
    }
    if state.recent_orders().count() > 1 {
        covered.push("a second order is concluded");
    }
    covered
}
