//! The lease: several processes, one scope, a log whose appends land late, twice or never, reads
//! that lag, processes that pause, crash or leave, clocks that drift. At most one may act.
//!
//! A pause is a stretch of time in which a process does nothing, an outage one in which nothing
//! lands or is read; both are among the schedules without being events of their own.

use crate::explore::Model;
use crate::log::{Log, Parcel};
use authority::author::Author;
use authority::lease::term::TermConfig;
use authority::lease::{Input, Lease, Output, Outputs, Term};
use clock::Moment;
use std::time::Duration;
use wire::record::record::Body;

mod describe;

/// A guard that is taken away.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// A claim wins although a renewal landed that its author had not read.
    ClaimUnseen,
    /// A challenger waits for less than a lease.
    ShortWait,
    /// A challenger reckons with equal rates of the clocks.
    NoDrift,
    /// The lease runs from the moment at which the renewal is read back.
    FromReadBack,
    /// A claim counts although it replaces one that is not in force.
    AnyClaim,
    /// The lease runs on after a release.
    ActAfterRelease,
}

/// All mutants.
pub const MUTANTS: [Mutant; 6] = [
    Mutant::ClaimUnseen,
    Mutant::ShortWait,
    Mutant::NoDrift,
    Mutant::FromReadBack,
    Mutant::AnyClaim,
    Mutant::ActAfterRelease,
];

/// The bounds.
#[derive(Clone, Debug)]
pub struct Config {
    /// Ticks after which the model stops.
    pub horizon: u32,
    /// Milliseconds of each process's clock in a tick of true time; one for each process.
    pub rates: Vec<u32>,
    /// Records of one process that may be on their way at once.
    pub flight: usize,
    /// Records that the log holds at most.
    pub records: usize,
    /// Appends that land twice, crashes and departures, over all processes.
    pub faults: u32,
    /// Whether the first process holds the scope in the first state; else nobody does.
    pub held: bool,
    /// The removed guard.
    pub mutant: Option<Mutant>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            horizon: 6,
            rates: vec![900, 1100],
            flight: 1,
            records: 3,
            faults: 1,
            held: true,
            mutant: None,
        }
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Process {
    author: Author,
    lease: Lease,
    folded: usize,
    /// When the newest own claim or renewal was read back; for a mutant.
    read_back: Moment,
    left: bool,
    /// Until when it could have acted when it left; for a mutant.
    left_until: Moment,
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    now: u32,
    log: Log,
    processes: Vec<Process>,
    /// Sorted, because the order of sending means nothing.
    flight: Vec<(usize, Parcel)>,
    faults: u32,
}

/// Something that happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passes for all.
    Tick,
    /// A process does what is due.
    Act(usize),
    /// A process reads one record.
    ReadOne(usize),
    /// A process reads to the end of the log.
    ReadAll(usize),
    /// A record on its way lands.
    Land(usize),
    /// It lands, and a copy stays on its way.
    LandTwice(usize),
    /// It gets lost.
    Lose(usize),
    /// A process crashes and starts again.
    Crash(usize),
    /// A process shuts down.
    Leave(usize),
}

const SCOPE: &str = "p";
const LEASE: Duration = Duration::from_millis(3000);
const NAMES: [&str; 3] = ["a", "b", "c"];

fn term(config: &Config, which: usize) -> Term {
    let impatient = config.mutant == Some(Mutant::ShortWait) && which > 0;
    let mut figures = TermConfig {
        lease: if impatient { LEASE / 3 } else { LEASE },
        margin: Duration::ZERO,
        drift_ppm: 100_000,
        stagger: Duration::ZERO,
        retry: if impatient { LEASE / 9 } else { LEASE / 3 },
    };
    if config.mutant == Some(Mutant::NoDrift) {
        figures.drift_ppm = 0;
    }
    Term::try_from(figures).expect("the figures are within their bounds")
}

fn process(config: &Config, which: usize, incarnation: u64) -> Process {
    let author = Author {
        instance: NAMES[which].to_owned(),
        incarnation,
    };
    let seed = which as u64 * 16 + incarnation;
    let lease = Lease::new(SCOPE.to_owned(), author.clone(), term(config, which), seed);
    Process {
        author,
        lease,
        folded: 0,
        read_back: Moment::ZERO,
        left: false,
        left_until: Moment::ZERO,
    }
}

/// The model within these bounds.
pub fn model(config: Config) -> Model<Config, World, Event> {
    let processes = 0..config.rates.len();
    let processes = processes.map(|which| process(&config, which, 1)).collect();
    let mut start = World {
        now: 0,
        log: Log::new(),
        processes,
        flight: Vec::new(),
        faults: config.faults,
    };
    if config.held {
        let first = [Event::ReadAll(0), Event::Land(0), Event::ReadAll(0)];
        let readers = (1..config.rates.len()).map(Event::ReadAll);
        for event in first.into_iter().chain(readers) {
            start = apply(&config, &start, &event);
        }
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

fn local(config: &Config, world: &World, which: usize) -> Moment {
    Duration::from_millis(u64::from(world.now * config.rates[which]))
}

fn events(config: &Config, world: &World) -> Vec<Event> {
    let mut events = Vec::new();
    if world.now < config.horizon {
        events.push(Event::Tick);
    }
    for (which, process) in world.processes.iter().enumerate() {
        let sent = world.flight.iter().filter(|(from, _)| *from == which);
        let free = sent.count() < config.flight;
        if free {
            events.push(Event::ReadAll(which));
        }
        if free && process.lease.holds() {
            events.push(Event::Act(which));
        }
        if process.folded < world.log.end() {
            events.push(Event::ReadOne(which));
        }
        if world.faults > 0 {
            events.push(Event::Crash(which));
        }
        if world.faults > 0 && !process.left {
            events.push(Event::Leave(which));
        }
    }
    for index in 0..world.flight.len() {
        if world.faults > 0 {
            events.push(Event::Lose(index));
        }
        if world.log.end() < config.records {
            events.push(Event::Land(index));
        }
        if world.log.end() < config.records && world.faults > 0 {
            events.push(Event::LandTwice(index));
        }
    }
    events
}

/// A read that brings nothing, and a step in which nothing is due, are left out: they only move
/// the moment of the last read, which counts when something is due.
fn is_idle(world: &World, event: Event, next: &World) -> bool {
    match event {
        Event::Act(which) | Event::ReadAll(which) => {
            let (before, after) = (&world.processes[which], &next.processes[which]);
            next.flight.len() == world.flight.len()
                && after.folded == before.folded
                && after.lease.holds() == before.lease.holds()
        }
        _ => false,
    }
}

fn next(config: &Config, world: &World) -> Vec<(Event, World)> {
    let events = events(config, world).into_iter();
    let next = events.map(|event| (event, apply(config, world, &event)));
    next.filter(|(event, next)| !is_idle(world, *event, next))
        .collect()
}

fn apply(config: &Config, world: &World, event: &Event) -> World {
    let mut next = world.clone();
    match *event {
        Event::Tick => next.now += 1,
        Event::Act(which) => {
            let outputs = step(config, &mut next, which, &Input::Tick);
            send(&mut next, which, outputs);
        }
        Event::ReadOne(which) => {
            read(config, &mut next, which);
        }
        Event::ReadAll(which) => {
            while next.processes[which].folded < next.log.end() {
                read(config, &mut next, which);
            }
            let asked = local(config, &next, which);
            let outputs = step(config, &mut next, which, &Input::Read { sent_at: asked });
            send(&mut next, which, outputs);
        }
        Event::Land(index) => {
            let (_, parcel) = next.flight.remove(index);
            land(config, &mut next, &parcel);
        }
        Event::LandTwice(index) => {
            next.faults -= 1;
            let parcel = next.flight[index].1.clone();
            land(config, &mut next, &parcel);
        }
        Event::Lose(index) => {
            next.faults -= 1;
            next.flight.remove(index);
        }
        Event::Crash(which) => {
            next.faults -= 1;
            let incarnation = next.processes[which].author.incarnation + 1;
            next.processes[which] = process(config, which, incarnation);
        }
        Event::Leave(which) => {
            next.faults -= 1;
            let process = &mut next.processes[which];
            process.left = true;
            process.left_until = process
                .lease
                .grant()
                .map_or(Moment::ZERO, |grant| grant.until);
            let outputs = step(config, &mut next, which, &Input::Leave);
            send(&mut next, which, outputs);
        }
    }
    next
}

fn step(config: &Config, world: &mut World, which: usize, input: &Input<'_>) -> Outputs {
    let now = local(config, world, which);
    world.processes[which].lease.step(now, input)
}

fn send(world: &mut World, which: usize, outputs: Outputs) {
    for output in outputs {
        if let Output::Append { nonce, body } = output {
            let author = &world.processes[which].author;
            world.flight.push((which, Parcel::new(author, nonce, body)));
        }
    }
    world.flight.sort();
}

fn read(config: &Config, world: &mut World, which: usize) {
    let now = local(config, world, which);
    let process = &mut world.processes[which];
    let offset = process.folded + 1;
    let Some(record) = world.log.record(offset) else {
        return;
    };
    let state = world.log.state(offset);
    let before = process.lease.grant();
    process.lease.apply(now, offset as u64, record, state);
    process.folded = offset;
    if process.lease.grant() != before {
        process.read_back = now;
    }
}

/// A removed guard of the fold is a record that is made valid when it lands.
fn land(config: &Config, world: &mut World, parcel: &Parcel) {
    let held = world.log.newest().current_claim(SCOPE);
    let (fence, renewed) = held.map_or((0, 0), |held| (held.fence, held.renewed));
    let mut record = parcel.record().clone();
    if let Some(Body::ScopeClaim(claim)) = &mut record.body {
        match config.mutant {
            Some(Mutant::ClaimUnseen) if claim.replaces == fence => claim.seen = renewed,
            Some(Mutant::AnyClaim) => (claim.replaces, claim.seen) = (fence, renewed),
            _ => (),
        }
    }
    world.log.land(Parcel::from(record));
}

fn may_act(config: &Config, world: &World, which: usize) -> bool {
    let process = &world.processes[which];
    let now = local(config, world, which);
    match config.mutant {
        Some(Mutant::FromReadBack) => {
            let until = process.read_back + LEASE;
            process.lease.grant().is_some() && now < until
        }
        Some(Mutant::ActAfterRelease) if process.left => now < process.left_until,
        _ => process.lease.may_act(now, Duration::ZERO),
    }
}

fn violation(config: &Config, world: &World) -> Option<&'static str> {
    let acting = 0..world.processes.len();
    let acting = acting.filter(|which| may_act(config, world, *which));
    (acting.count() > 1).then_some("two processes may act at once")
}

fn shows(config: &Config, world: &World) -> Vec<&'static str> {
    let mut shown = Vec::new();
    let acting = (0..world.processes.len()).find(|which| may_act(config, world, *which));
    let Some(acting) = acting else {
        return shown;
    };
    shown.push("a holder acts");
    let held = world.log.newest().current_claim(SCOPE);
    let others = world.processes.iter().enumerate();
    let mut others = others.filter(|(which, _)| *which != acting);
    if held.is_some_and(|held| held.fence > 1) && others.any(|(_, other)| other.folded > 0) {
        shown.push("a second claim acts");
    }
    shown
}
