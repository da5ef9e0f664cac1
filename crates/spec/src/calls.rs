//! Model of calls that must not run twice: one caller with one idempotency key, two entries and the
//! log. The key is executed at most once, and an answer of "not run" is true.

use crate::explore::Model;
use crate::log::Log;
use claims::{Input, LogStatus, OutagePolicy};
use std::collections::BTreeSet;
use std::rc::Rc;
use world::{Caller, process};

pub use world::World;

mod world;

/// A guard that is removed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// An entry ignores the claims of others.
    OwnClaimsOnly,
    /// A call runs as soon as its claim is committed, whether or not it is the first claim.
    RunOnAppend,
    /// A restarted entry treats the claims of its previous incarnation as its own.
    SameIncarnation,
    /// The caller declares each attempt as the first.
    AlwaysFirst,
}

/// The bounds of the model.
#[derive(Clone, Debug)]
pub struct Config {
    /// Policy for calls whose key cannot be claimed.
    pub policy: OutagePolicy,
    /// Ticks after which the model stops.
    pub horizon: u32,
    /// Capacity of the log.
    pub max_records: usize,
    /// Number of calls that the caller may send.
    pub max_calls: u64,
    /// Whether only a second execution counts as a violation, and a false "not run" does not.
    pub only_double_execution: bool,
    /// Total number of lost or duplicated records, crashes, and log outages at one entry.
    pub max_faults: u32,
    /// The removed guard.
    pub mutant: Option<Mutant>,
}

impl Config {
    /// Two calls and at most one fault.
    pub fn new(policy: OutagePolicy) -> Self {
        Self {
            policy,
            horizon: 1,
            max_records: 3,
            max_calls: 2,
            only_double_execution: false,
            max_faults: 1,
            mutant: None,
        }
    }

    /// Two faults, without the passing of time.
    pub fn faulty(policy: OutagePolicy) -> Self {
        Self {
            horizon: 0,
            max_records: 4,
            max_faults: 2,
            ..Self::new(policy)
        }
    }

    /// No faults, and enough time for calls to reach their deadline.
    pub fn long(policy: OutagePolicy) -> Self {
        Self {
            horizon: 2,
            max_faults: 0,
            ..Self::new(policy)
        }
    }
}

/// A transition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time advances.
    Tick,
    /// The caller sends a call to an entry.
    Send(usize),
    /// The caller stops waiting, and the entry detects it.
    GiveUp,
    /// The caller stops waiting, and the entry does not detect it.
    GiveUpUnnoticed,
    /// An entry reads one record.
    Read(usize),
    /// An entry handles what is due.
    HandleDue(usize),
    /// A record in flight is committed.
    Commit(usize),
    /// A record in flight is committed, and a copy stays in flight.
    CommitTwice(usize),
    /// A record in flight is lost.
    LoseRecord(usize),
    /// A call is executed and answered.
    Execute(usize),
    /// A call is executed, and the answer is lost.
    ExecuteUnanswered(usize),
    /// A call fails before its first byte is sent.
    Fail(usize),
    /// An entry crashes and restarts.
    Crash(usize),
    /// An entry loses its connection to the log.
    Outage(usize),
    /// An entry reaches the log again.
    Restore(usize),
}

const ENTRIES: usize = 2;
const NAMES: [&str; ENTRIES] = ["a", "b"];

/// The model within these bounds.
pub fn model(config: Config) -> Model<Config, World, Event> {
    let processes = (0..ENTRIES).map(|which| Rc::new(process(which, 1)));
    let start = World {
        now: 0,
        log: Log::new(),
        processes: processes.collect(),
        appends: Vec::new(),
        caller: Caller::default(),
        executed: BTreeSet::new(),
        remaining_faults: config.max_faults,
        violation: None,
        executed_twice: false,
        run_on_append: config.mutant == Some(Mutant::RunOnAppend),
    };
    Model {
        config,
        start,
        next,
        describe,
        violation: |config, world| match config.only_double_execution {
            true => world.executed_twice.then_some("a key is executed twice"),
            false => world.violation,
        },
        coverage,
    }
}

fn next(config: &Config, world: &World) -> Vec<(Event, World)> {
    let events = events(config, world).into_iter();
    let next = events.map(|event| (event, apply(config, world, &event)));
    next.filter(|(_, next)| next != world).collect()
}

fn events(config: &Config, world: &World) -> Vec<Event> {
    let mut events = Vec::new();
    if world.now < config.horizon {
        events.push(Event::Tick);
    }
    if world.caller.waiting.is_some() {
        events.extend([Event::GiveUp, Event::GiveUpUnnoticed]);
    } else if !world.caller.answered && world.caller.sent < config.max_calls {
        // The entries are symmetric, so sending the first call to the first of them loses nothing.
        let entries = if world.caller.sent == 0 { 1 } else { ENTRIES };
        events.extend((0..entries).map(Event::Send));
    }
    for index in 0..world.appends.len() {
        if world.log.end() < config.max_records {
            events.push(Event::Commit(index));
        }
        if world.remaining_faults > 0 && world.log.end() < config.max_records {
            events.push(Event::CommitTwice(index));
        }
        if world.remaining_faults > 0 {
            events.push(Event::LoseRecord(index));
        }
    }
    for which in 0..ENTRIES {
        entry_events(world, which, &mut events);
    }
    events
}

fn entry_events(world: &World, which: usize, events: &mut Vec<Event>) {
    let process = &world.processes[which];
    if process.folded < world.log.end() && !process.log_down {
        events.push(Event::Read(which));
    }
    events.push(Event::HandleDue(which));
    if let Some(ready) = process.ready.first() {
        events.push(Event::Fail(which));
        if ready.is_due(world.now) {
            events.extend([Event::Execute(which), Event::ExecuteUnanswered(which)]);
        }
    }
    if process.log_down {
        events.push(Event::Restore(which));
    } else if world.remaining_faults > 0 {
        events.push(Event::Outage(which));
    }
    if world.remaining_faults > 0 {
        events.push(Event::Crash(which));
    }
}

fn apply(config: &Config, world: &World, event: &Event) -> World {
    let mut next = world.clone();
    match *event {
        Event::Tick => next.now += 1,
        Event::Send(which) => next.send(config, which),
        Event::GiveUp => {
            if let Some((call, which)) = next.caller.waiting.take() {
                next.step(which, Input::CallerGone(call));
            }
        }
        Event::GiveUpUnnoticed => next.caller.waiting = None,
        Event::Read(which) => next.read(config, which),
        Event::HandleDue(which) => next.step(which, Input::Tick),
        Event::Commit(index) => {
            let (which, encoded) = next.appends.remove(index);
            next.commit(which, encoded);
        }
        Event::CommitTwice(index) => {
            let (which, encoded) = next.appends[index].clone();
            next.commit(which, encoded);
        }
        Event::LoseRecord(index) => drop(next.appends.remove(index)),
        Event::Execute(which) => next.execute(which, true),
        Event::ExecuteUnanswered(which) => next.execute(which, false),
        Event::Fail(which) => next.drop_ready(which),
        Event::Crash(which) => next.crash(config, which),
        Event::Outage(which) => {
            Rc::make_mut(&mut next.processes[which]).log_down = true;
            next.step(which, Input::Log(LogStatus::Down));
        }
        Event::Restore(which) => {
            Rc::make_mut(&mut next.processes[which]).log_down = false;
            next.step(which, Input::Log(LogStatus::Up));
        }
    }
    if is_fault(event) {
        next.remaining_faults -= 1;
    }
    next
}

fn is_fault(event: &Event) -> bool {
    use Event::{CommitTwice, Crash, LoseRecord, Outage};
    matches!(event, Crash(_) | CommitTwice(_) | LoseRecord(_) | Outage(_))
}

fn describe(_: &Config, world: &World, event: &Event) -> String {
    let record = |index: usize| {
        let (from, encoded) = &world.appends[index];
        format!("{} of {}", encoded.kind(), NAMES[*from])
    };
    match *event {
        Event::Tick => "time passes".to_owned(),
        Event::Send(which) => {
            let (call, attempt) = (world.caller.sent + 1, world.caller.attempts + 1);
            format!(
                "call {call}, attempt {attempt}, is sent to {}",
                NAMES[which]
            )
        }
        Event::GiveUp => "the caller goes away".to_owned(),
        Event::GiveUpUnnoticed => "the caller goes away unnoticed".to_owned(),
        Event::Read(which) => format!("{} reads one record", NAMES[which]),
        Event::HandleDue(which) => format!("{} handles what is due", NAMES[which]),
        Event::Commit(index) => format!("{} is committed", record(index)),
        Event::CommitTwice(index) => {
            format!("{} is committed, a copy stays in flight", record(index))
        }
        Event::LoseRecord(index) => format!("{} is lost", record(index)),
        Event::Execute(which) => format!("{}'s call is executed and answered", NAMES[which]),
        Event::ExecuteUnanswered(which) => {
            format!("{}'s call is executed, the answer is lost", NAMES[which])
        }
        Event::Fail(which) => format!("{}'s call fails before its first byte", NAMES[which]),
        Event::Crash(which) => format!("{} crashes and restarts", NAMES[which]),
        Event::Outage(which) => format!("the log is out for {}", NAMES[which]),
        Event::Restore(which) => format!("the log is back for {}", NAMES[which]),
    }
}

fn coverage(_: &Config, world: &World) -> Vec<&'static str> {
    let mut covered = Vec::new();
    if !world.executed.is_empty() {
        covered.push("a call is executed");
    }
    if world.executed.first().is_some_and(|call| *call > 1) {
        covered.push("a later call is executed");
    }
    if world.caller.answered && world.executed.len() == 1 && world.caller.sent > 1 {
        covered.push("a repeat is answered");
    }
    covered
}
