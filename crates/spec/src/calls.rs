//! Calls that may not be repeated: a caller with one idempotency key, two entries, the log. The key
//! is executed at most once, and "not run" is true.

use crate::explore::Model;
use crate::log::Log;
use claims::{Input, LogStatus, OutagePolicy};
use std::collections::BTreeSet;
use std::rc::Rc;
use world::{Caller, process};

pub use world::World;

mod world;

/// A guard that is taken away.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// An entry does not read the claims of others.
    OwnClaimsOnly,
    /// A call runs when its claim landed, whether or not it is the first.
    RunOnAppend,
    /// A restarted entry takes the claims of its former run for its own.
    SameIncarnation,
    /// Each attempt is declared as the first.
    AlwaysFirst,
}

/// The bounds.
#[derive(Clone, Debug)]
pub struct Config {
    /// What happens to a call whose key cannot be claimed.
    pub policy: OutagePolicy,
    /// Ticks after which the model stops.
    pub horizon: u32,
    /// Records that the log holds at most.
    pub records: usize,
    /// Calls that the caller sends at most.
    pub calls: u64,
    /// Whether only a second execution counts as a violation, and not a false "not run".
    pub twice_only: bool,
    /// Records lost or doubled, crashes, outages of the log at one entry.
    pub faults: u32,
    /// The removed guard.
    pub mutant: Option<Mutant>,
}

impl Config {
    /// Two calls, with a fault at most.
    pub fn new(policy: OutagePolicy) -> Self {
        Self {
            policy,
            horizon: 1,
            records: 3,
            calls: 2,
            twice_only: false,
            faults: 1,
            mutant: None,
        }
    }

    /// Two faults in the time of a tick.
    pub fn faulty(policy: OutagePolicy) -> Self {
        Self {
            horizon: 0,
            records: 4,
            faults: 2,
            ..Self::new(policy)
        }
    }

    /// No fault, and as much time as a call is worth running.
    pub fn long(policy: OutagePolicy) -> Self {
        Self {
            horizon: 2,
            faults: 0,
            ..Self::new(policy)
        }
    }
}

/// Something that happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passes.
    Tick,
    /// The caller sends a call to an entry.
    Send(usize),
    /// The caller gives up waiting, and the entry notices.
    GiveUp,
    /// The caller gives up waiting, and the entry does not notice.
    GiveUpUnnoticed,
    /// An entry reads one record.
    Read(usize),
    /// An entry does what is due.
    Act(usize),
    /// A record lands.
    Land(usize),
    /// A record lands, and a copy stays on its way.
    LandTwice(usize),
    /// A record is lost.
    LoseRecord(usize),
    /// A call is executed and answered.
    Execute(usize),
    /// A call is executed, and the answer is lost.
    ExecuteUnanswered(usize),
    /// A call fails before its first byte.
    Fail(usize),
    /// An entry crashes and starts again.
    Crash(usize),
    /// The log is out for an entry.
    Outage(usize),
    /// The log is back.
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
        faults: config.faults,
        broken: None,
        twice: false,
        run_on_append: config.mutant == Some(Mutant::RunOnAppend),
    };
    Model {
        config,
        start,
        next,
        describe,
        violation: |config, world| match config.twice_only {
            true => world.twice.then_some("a key is executed twice"),
            false => world.broken,
        },
        shows,
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
    } else if !world.caller.answered && world.caller.sent < config.calls {
        // The entries are alike, so the first call may as well go to the first of them.
        let entries = if world.caller.sent == 0 { 1 } else { ENTRIES };
        events.extend((0..entries).map(Event::Send));
    }
    for index in 0..world.appends.len() {
        if world.log.end() < config.records {
            events.push(Event::Land(index));
        }
        if world.faults > 0 && world.log.end() < config.records {
            events.push(Event::LandTwice(index));
        }
        if world.faults > 0 {
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
    if process.folded < world.log.end() && !process.out {
        events.push(Event::Read(which));
    }
    events.push(Event::Act(which));
    if let Some(ready) = process.ready.first() {
        events.push(Event::Fail(which));
        if ready.is_due(world.now) {
            events.extend([Event::Execute(which), Event::ExecuteUnanswered(which)]);
        }
    }
    if process.out {
        events.push(Event::Restore(which));
    } else if world.faults > 0 {
        events.push(Event::Outage(which));
    }
    if world.faults > 0 {
        events.push(Event::Crash(which));
    }
}

fn apply(config: &Config, world: &World, event: &Event) -> World {
    let mut next = world.clone();
    match *event {
        Event::Tick => next.now += 1,
        Event::Send(which) => next.send(config, which),
        Event::GiveUp => {
            if let Some((ticket, which)) = next.caller.waiting.take() {
                next.step(which, Input::CallerGone(ticket));
            }
        }
        Event::GiveUpUnnoticed => next.caller.waiting = None,
        Event::Read(which) => next.read(config, which),
        Event::Act(which) => next.step(which, Input::Tick),
        Event::Land(index) => {
            let (which, parcel) = next.appends.remove(index);
            next.land(which, parcel);
        }
        Event::LandTwice(index) => {
            let (which, parcel) = next.appends[index].clone();
            next.land(which, parcel);
        }
        Event::LoseRecord(index) => drop(next.appends.remove(index)),
        Event::Execute(which) => next.execute(which, true),
        Event::ExecuteUnanswered(which) => next.execute(which, false),
        Event::Fail(which) => next.drop_ready(which),
        Event::Crash(which) => next.crash(config, which),
        Event::Outage(which) => {
            Rc::make_mut(&mut next.processes[which]).out = true;
            next.step(which, Input::Log(LogStatus::Down));
        }
        Event::Restore(which) => {
            Rc::make_mut(&mut next.processes[which]).out = false;
            next.step(which, Input::Log(LogStatus::Up));
        }
    }
    if is_fault(event) {
        next.faults -= 1;
    }
    next
}

fn is_fault(event: &Event) -> bool {
    use Event::{Crash, LandTwice, LoseRecord, Outage};
    matches!(event, Crash(_) | LandTwice(_) | LoseRecord(_) | Outage(_))
}

fn describe(_: &Config, world: &World, event: &Event) -> String {
    let record = |index: usize| {
        let (from, parcel) = &world.appends[index];
        format!("{} of {}", parcel.kind(), NAMES[*from])
    };
    match *event {
        Event::Tick => "time passes".to_owned(),
        Event::Send(which) => {
            let (call, counted) = (world.caller.sent + 1, world.caller.counted + 1);
            format!(
                "call {call}, attempt {counted}, is sent to {}",
                NAMES[which]
            )
        }
        Event::GiveUp => "the caller goes away".to_owned(),
        Event::GiveUpUnnoticed => "the caller goes away unnoticed".to_owned(),
        Event::Read(which) => format!("{} reads one record", NAMES[which]),
        Event::Act(which) => format!("{} does what is due", NAMES[which]),
        Event::Land(index) => format!("{} lands", record(index)),
        Event::LandTwice(index) => format!("{} lands, a copy stays", record(index)),
        Event::LoseRecord(index) => format!("{} is lost", record(index)),
        Event::Execute(which) => format!("{}'s call is executed and answered", NAMES[which]),
        Event::ExecuteUnanswered(which) => {
            format!("{}'s call is executed, the answer is lost", NAMES[which])
        }
        Event::Fail(which) => format!("{}'s call fails before its first byte", NAMES[which]),
        Event::Crash(which) => format!("{} crashes and starts again", NAMES[which]),
        Event::Outage(which) => format!("the log is out for {}", NAMES[which]),
        Event::Restore(which) => format!("the log is back for {}", NAMES[which]),
    }
}

fn shows(_: &Config, world: &World) -> Vec<&'static str> {
    let mut shown = Vec::new();
    if !world.executed.is_empty() {
        shown.push("a call is executed");
    }
    if world.executed.first().is_some_and(|ticket| *ticket > 1) {
        shown.push("a later call is executed");
    }
    if world.caller.answered && world.executed.len() == 1 && world.caller.sent > 1 {
        shown.push("a repeat is answered");
    }
    shown
}
