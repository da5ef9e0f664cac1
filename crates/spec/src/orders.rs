//! Orders: two processes with contrary wishes, one engine, one entry with a stream. What is sent to
//! the engine may be late, doubled or held back by a pause of its sender; answers get lost;
//! processes and the engine crash at any step.

use crate::explore::Model;
use crate::log::{Log, Parcel};
use authority::change::SendResult;
use std::rc::Rc;
use world::{Answer, ENGINE, Entry, Message, SCOPE, process};

pub use config::{Config, MUTANTS, Mutant};
pub use world::World;

mod config;
mod describe;
mod engine;
mod world;

/// Something that happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passes.
    Tick,
    /// A process reads to the end of the log and does what is due.
    Step(usize),
    /// A process does what is due without reading.
    StepUnread(usize),
    /// A record lands.
    Land(usize),
    /// A record lands, and a copy stays on its way.
    LandTwice(usize),
    /// A record is lost.
    LoseRecord(usize),
    /// Something arrives at the engine and is answered.
    Deliver(usize),
    /// It arrives, and a copy of it stays on its way.
    DeliverTwice(usize),
    /// It arrives, and the answer is lost.
    DeliverUnanswered(usize),
    /// It is lost.
    Lose(usize),
    /// The engine ends its order.
    End,
    /// The engine crashes and starts again.
    Restart,
    /// A stream ends.
    StreamEnds,
    /// The entry reads to the end of the log.
    EntryReads,
    /// The entry sends a stream to the engine.
    StreamBegins,
    /// The entry crashes; its stream goes on at the engine.
    EntryCrashes,
    /// A process crashes and starts again.
    Crash(usize),
}

/// Messages of one process that may be on their way at once. A process waits for its append to
/// land or to be lost before it goes on: until then it has nothing else to do.
const MESSAGES: usize = 2;

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
            open: false,
        },
        engine: engine::Engine::new(config.checks_fence, config.forgets),
        appends: Vec::new(),
        messages: Vec::new(),
        streams: config.streams,
        faults: config.faults,
        forgot: config.forgets,
        restarted: false,
        late: false,
        broken: None,
    };
    // The first process has held the scope for so long that its quarantine is over, and has
    // just renewed; both know it.
    for now in [0, config.start()] {
        start.now = now;
        start.lead();
        start = apply(&config, &start, &Event::Land(0));
        start.read(0);
    }
    if config.processes > 1 {
        start.read(1);
        start.act(&config, 1, true);
    }
    Model {
        config,
        start,
        next,
        describe: describe::describe,
        violation,
        shows,
    }
}

fn next(config: &Config, world: &World) -> Vec<(Event, World)> {
    let events = events(config, world).into_iter();
    let next = events.map(|event| (event, apply(config, world, &event)));
    next.filter(|(event, next)| !is_idle(world, *event, next))
        .collect()
}

/// What changes nothing that matters now is left out: a step that only moves the moment of the
/// last read, and the reading of records that concern neither the reader's claim nor its view of
/// the engine; they are read together with the next that does.
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
    if world.broken.is_some() {
        return events;
    }
    if world.now < config.start() + config.horizon && !is_overdue(config, world) {
        events.push(Event::Tick);
    }
    process_events(world, &mut events);
    for index in 0..world.appends.len() {
        if world.log.end() < config.records {
            events.push(Event::Land(index));
        }
        if world.faults > 0 {
            events.push(Event::LoseRecord(index));
        }
        if world.faults > 0 && world.log.end() < config.records {
            events.push(Event::LandTwice(index));
        }
    }
    for index in 0..world.messages.len() {
        events.push(Event::Deliver(index));
        if world.faults > 0 {
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
        let waits = world.appends.iter().any(|(from, _)| *from == which);
        let messages = world.messages.iter();
        let messages = messages.filter(|message| message.from == which);
        if !waits && messages.count() < MESSAGES {
            events.push(Event::Step(which));
        }
        // With nothing to read the two are the same.
        let unread = world.processes[which].folded < world.log.end();
        let holds = world.processes[which].lease.holds();
        if !waits && unread && holds {
            events.push(Event::StepUnread(which));
        }
        if world.faults > 0 && holds {
            events.push(Event::Crash(which));
        }
    }
}

fn engine_events(config: &Config, world: &World, events: &mut Vec<Event>) {
    if world.engine.is_running() {
        events.push(Event::End);
    }
    if config.restarts && world.faults > 0 {
        events.push(Event::Restart);
    }
    if world.engine.open > 0 {
        events.push(Event::StreamEnds);
    }
    if world.entry.folded < world.log.end() {
        events.push(Event::EntryReads);
    }
    let state = world.log.state(world.entry.folded);
    let closed = state.pending_order(ENGINE).is_some() || world.engine.is_running();
    if world.streams > 0 && !closed && world.engine.open == 0 {
        events.push(Event::StreamBegins);
    }
    if world.faults > 0 && world.entry.open {
        events.push(Event::EntryCrashes);
    }
}

/// Whether something would arrive later than the procedure for engines that ignore fences assumes.
fn is_overdue(config: &Config, world: &World) -> bool {
    let late = |message: &Message| match message.left {
        Some(left) => world.now + 1 >= left + config::DELAY,
        None => world.now >= message.decided + config::LEASE,
    };
    config.bounded && world.messages.iter().any(late)
}

fn apply(config: &Config, world: &World, event: &Event) -> World {
    let mut next = world.clone();
    match *event {
        Event::Tick => next.now += 1,
        Event::Step(which) => {
            next.read(which);
            next.act(config, which, true);
        }
        Event::StepUnread(which) => next.act(config, which, false),
        Event::Land(index) => {
            let (_, parcel) = next.appends.remove(index);
            land(&mut next, parcel);
        }
        Event::LandTwice(index) => {
            let parcel = next.appends[index].1.clone();
            land(&mut next, parcel);
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
        Event::End => next.engine.end(),
        Event::Restart => {
            next.engine.restart();
            next.forgot = true;
            next.restarted = true;
            next.entry.open = false;
        }
        Event::StreamEnds => {
            next.engine.open = 0;
            next.entry.open = false;
        }
        Event::EntryReads => next.entry.folded = next.log.end(),
        Event::StreamBegins => {
            next.streams -= 1;
            next.engine.open = 1;
            next.entry.open = true;
        }
        Event::EntryCrashes => next.entry.open = false,
        Event::Crash(which) => crash(config, &mut next, which),
    }
    if is_fault(event) {
        next.faults -= 1;
    }
    next
}

fn is_fault(event: &Event) -> bool {
    use Event::{
        Crash, DeliverTwice, DeliverUnanswered, EntryCrashes, LandTwice, Lose, LoseRecord, Restart,
    };
    matches!(
        event,
        LandTwice(_)
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
            message.left.get_or_insert(world.now);
        }
    }
}

fn land(world: &mut World, parcel: Parcel) {
    let before = world
        .log
        .newest()
        .pending_order(ENGINE)
        .map(|known| known.order);
    world.log.land(parcel);
    let after = world
        .log
        .newest()
        .pending_order(ENGINE)
        .map(|known| known.order);
    let acting = world.engine.taken.map(|taken| taken.order);
    if before.is_some() && before != after && acting == before && world.engine.is_running() {
        world.broken = Some("an engine is opened while it carries out an order");
    }
}

fn deliver(config: &Config, world: &mut World, message: &Message, answered: bool) {
    let pending = world.log.newest().pending_order(ENGINE);
    let in_force = pending.is_some_and(|pending| pending.order == message.order);
    let checks = world.engine.checks_fence;
    if config.mutant == Some(Mutant::NoFence) {
        world.engine.checks_fence = false;
    }
    let what = message.what.as_ref();
    let reaction = world.engine.take(message.order, message.fence, what);
    world.engine.checks_fence = checks;
    if reaction.began && world.engine.open > 0 {
        world.broken = Some("a stream is cut by a planned change");
    }
    if reaction.began && !in_force {
        world.broken = Some("an order acts that is not in force");
    }
    let quarantine = config.lease() + config::DELAY;
    world.late |= reaction.began && world.now > message.decided + quarantine;
    if answered {
        let process = Rc::make_mut(&mut world.processes[message.from]);
        let answer = Answer {
            cancel: message.what.is_none(),
            taken: reaction.receipt == SendResult::Accepted,
            busy: matches!(reaction.receipt, SendResult::Busy { .. }),
        };
        process.inbox = [(message.order, message.ticket, answer)]
            .into_iter()
            .collect();
    }
}

/// The only ways that `docs/design/orders.md` leaves open. The engine ignores fences and knows the
/// cancellation no more, and the order came after the quarantine; or the engine checks fences and
/// restarted, so that it knows neither token nor cancellation.
fn is_residue(config: &Config, world: &World) -> bool {
    if config.checks_fence {
        world.restarted
    } else {
        !config.bounded && world.forgot && world.late
    }
}

fn violation(config: &Config, world: &World) -> Option<&'static str> {
    let now = world.time();
    let acting = world.processes.iter();
    let acting = acting.filter(|process| process.lease.may_act(now, clock::Moment::ZERO));
    if acting.count() > 1 {
        return Some("two processes may act at once");
    }
    world.broken.filter(|_| !is_residue(config, world))
}

fn shows(config: &Config, world: &World) -> Vec<&'static str> {
    let state = world.log.newest();
    let mut shown = Vec::new();
    if world.broken.is_some() && is_residue(config, world) {
        shown.push("what remains possible");
    }
    if world.engine.is_running() {
        shown.push("an engine carries out an order");
    }
    let claim = state.current_claim(SCOPE).map_or(0, |held| held.fence);
    let taken_over = state
        .recent_orders()
        .any(|ended| ended.intent.fence < claim);
    if taken_over {
        shown.push("a successor concludes an order");
    }
    if state.recent_orders().count() > 1 {
        shown.push("a second order is concluded");
    }
    shown
}
