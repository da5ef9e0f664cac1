//! Model of the lease: several processes contend for one scope. Appends are committed late, twice
//! or never, reads lag, processes pause, crash or leave, and clocks drift. At most one process may
//! act at a time.
//!
//! Pauses and log outages need no events of their own: they are schedules in which a process takes
//! no step, or in which nothing is committed or read, for some ticks.

use crate::explore::Model;
use crate::log::{EncodedRecord, Log};
use authority::author::Author;
use authority::lease::term::TermConfig;
use authority::lease::{Input, Lease, Output, Outputs, Term};
use clock::Moment;
use std::time::Duration;
use wire::record::record::Body;

mod describe;

/// A guard that is removed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// A claim takes effect although its author had not read the latest renewal.
    ClaimUnseen,
    /// A challenger waits for less than the term of a lease.
    ShortWait,
    /// A challenger assumes that all clocks run at the same rate.
    NoDrift,
    /// The lease runs from the time at which the renewal is read back.
    FromReadBack,
    /// A claim takes effect although it replaces one that is not in force.
    AnyClaim,
    /// The lease stays valid after a release.
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

/// The bounds of the model.
#[derive(Clone, Debug)]
pub struct Config {
    /// Ticks after which the model stops.
    pub horizon: u32,
    /// For each process, the milliseconds by which its clock advances in a tick of true time.
    pub clock_rates: Vec<u32>,
    /// Appends of one process that may be in flight at once.
    pub max_in_flight: usize,
    /// Capacity of the log.
    pub max_records: usize,
    /// Total number of lost or duplicated appends, crashes and departures.
    pub max_faults: u32,
    /// Whether the first process holds the scope in the initial state.
    pub initially_held: bool,
    /// The removed guard.
    pub mutant: Option<Mutant>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            horizon: 6,
            clock_rates: vec![900, 1100],
            max_in_flight: 1,
            max_records: 3,
            max_faults: 1,
            initially_held: true,
            mutant: None,
        }
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Process {
    author: Author,
    lease: Lease,
    folded: usize,
    /// When the latest own claim or renewal was read back; used by a mutant.
    read_back_at: Moment,
    leaving: bool,
    /// End of its grant at the time it left; used by a mutant.
    lease_end_at_leave: Moment,
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    now: u32,
    log: Log,
    processes: Vec<Process>,
    /// Sorted, so that states that differ only in the order of sending are equal.
    in_flight: Vec<(usize, EncodedRecord)>,
    remaining_faults: u32,
}

/// A transition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time advances for all processes.
    Tick,
    /// A process handles what is due.
    HandleDue(usize),
    /// A process reads one record.
    ReadOne(usize),
    /// A process reads the log to its end.
    ReadAll(usize),
    /// An append in flight is committed.
    Commit(usize),
    /// An append in flight is committed, and a copy stays in flight.
    CommitTwice(usize),
    /// An append in flight is lost.
    Lose(usize),
    /// A process crashes and restarts.
    Crash(usize),
    /// A process shuts down.
    Leave(usize),
}

const SCOPE: &str = "p";
const LEASE: Duration = Duration::from_millis(3000);
const NAMES: [&str; 3] = ["a", "b", "c"];

fn lease_term(config: &Config, which: usize) -> Term {
    let short_wait = config.mutant == Some(Mutant::ShortWait) && which > 0;
    let mut settings = TermConfig {
        lease: if short_wait { LEASE / 3 } else { LEASE },
        margin: Duration::ZERO,
        drift_ppm: 100_000,
        stagger: Duration::ZERO,
        retry: if short_wait { LEASE / 9 } else { LEASE / 3 },
    };
    if config.mutant == Some(Mutant::NoDrift) {
        settings.drift_ppm = 0;
    }
    Term::try_from(settings).expect("the settings are within their bounds")
}

fn process(config: &Config, which: usize, incarnation: u64) -> Process {
    let author = Author {
        instance: NAMES[which].to_owned(),
        incarnation,
    };
    let seed = which as u64 * 16 + incarnation;
    let lease = Lease::new(
        SCOPE.to_owned(),
        author.clone(),
        lease_term(config, which),
        seed,
    );
    Process {
        author,
        lease,
        folded: 0,
        read_back_at: Moment::ZERO,
        leaving: false,
        lease_end_at_leave: Moment::ZERO,
    }
}

/// The model within these bounds.
pub fn model(config: Config) -> Model<Config, World, Event> {
    let processes = 0..config.clock_rates.len();
    let processes = processes.map(|which| process(&config, which, 1)).collect();
    let mut start = World {
        now: 0,
        log: Log::new(),
        processes,
        in_flight: Vec::new(),
        remaining_faults: config.max_faults,
    };
    if config.initially_held {
        let first = [Event::ReadAll(0), Event::Commit(0), Event::ReadAll(0)];
        let readers = (1..config.clock_rates.len()).map(Event::ReadAll);
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
        coverage,
    }
}

fn local_time(config: &Config, world: &World, which: usize) -> Moment {
    Duration::from_millis(u64::from(world.now * config.clock_rates[which]))
}

fn events(config: &Config, world: &World) -> Vec<Event> {
    let mut events = Vec::new();
    if world.now < config.horizon {
        events.push(Event::Tick);
    }
    for (which, process) in world.processes.iter().enumerate() {
        let sent = world.in_flight.iter().filter(|(from, _)| *from == which);
        let may_append = sent.count() < config.max_in_flight;
        if may_append {
            events.push(Event::ReadAll(which));
        }
        if may_append && process.lease.holds() {
            events.push(Event::HandleDue(which));
        }
        if process.folded < world.log.end() {
            events.push(Event::ReadOne(which));
        }
        if world.remaining_faults > 0 {
            events.push(Event::Crash(which));
        }
        if world.remaining_faults > 0 && !process.leaving {
            events.push(Event::Leave(which));
        }
    }
    for index in 0..world.in_flight.len() {
        if world.remaining_faults > 0 {
            events.push(Event::Lose(index));
        }
        if world.log.end() < config.max_records {
            events.push(Event::Commit(index));
        }
        if world.log.end() < config.max_records && world.remaining_faults > 0 {
            events.push(Event::CommitTwice(index));
        }
    }
    events
}

/// Reads that return nothing and steps in which nothing is due are skipped to reduce the state
/// space: they only change the time of the last read, which matters only when something is due.
fn is_idle(world: &World, event: Event, next: &World) -> bool {
    match event {
        Event::HandleDue(which) | Event::ReadAll(which) => {
            let (before, after) = (&world.processes[which], &next.processes[which]);
            next.in_flight.len() == world.in_flight.len()
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
        Event::HandleDue(which) => {
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
            let sent_at = local_time(config, &next, which);
            let outputs = step(config, &mut next, which, &Input::Read { sent_at });
            send(&mut next, which, outputs);
        }
        Event::Commit(index) => {
            let (_, encoded) = next.in_flight.remove(index);
            commit(config, &mut next, &encoded);
        }
        Event::CommitTwice(index) => {
            next.remaining_faults -= 1;
            let encoded = next.in_flight[index].1.clone();
            commit(config, &mut next, &encoded);
        }
        Event::Lose(index) => {
            next.remaining_faults -= 1;
            next.in_flight.remove(index);
        }
        Event::Crash(which) => {
            next.remaining_faults -= 1;
            let incarnation = next.processes[which].author.incarnation + 1;
            next.processes[which] = process(config, which, incarnation);
        }
        Event::Leave(which) => {
            next.remaining_faults -= 1;
            let process = &mut next.processes[which];
            process.leaving = true;
            process.lease_end_at_leave = process
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
    let now = local_time(config, world, which);
    world.processes[which].lease.step(now, input)
}

fn send(world: &mut World, which: usize, outputs: Outputs) {
    for output in outputs {
        if let Output::Append { nonce, body } = output {
            let author = &world.processes[which].author;
            world
                .in_flight
                .push((which, EncodedRecord::new(author, nonce, body)));
        }
    }
    world.in_flight.sort();
}

fn read(config: &Config, world: &mut World, which: usize) {
    let now = local_time(config, world, which);
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
        process.read_back_at = now;
    }
}

/// Mutants that remove a guard of the fold are modelled by making the record valid on commit.
fn commit(config: &Config, world: &mut World, encoded: &EncodedRecord) {
    let held = world.log.latest_state().current_claim(SCOPE);
    let (fence, renewed) = held.map_or((0, 0), |held| (held.fence, held.renewed));
    let mut record = encoded.record().clone();
    if let Some(Body::ScopeClaim(claim)) = &mut record.body {
        match config.mutant {
            Some(Mutant::ClaimUnseen) if claim.replaces == fence => claim.seen = renewed,
            Some(Mutant::AnyClaim) => (claim.replaces, claim.seen) = (fence, renewed),
            _ => (),
        }
    }
    world.log.commit(EncodedRecord::from(record));
}

fn may_act(config: &Config, world: &World, which: usize) -> bool {
    let process = &world.processes[which];
    let now = local_time(config, world, which);
    match config.mutant {
        Some(Mutant::FromReadBack) => {
            let until = process.read_back_at + LEASE;
            process.lease.grant().is_some() && now < until
        }
        Some(Mutant::ActAfterRelease) if process.leaving => now < process.lease_end_at_leave,
        _ => process.lease.may_act(now, Duration::ZERO),
    }
}

fn violation(config: &Config, world: &World) -> Option<&'static str> {
    let acting = 0..world.processes.len();
    let acting = acting.filter(|which| may_act(config, world, *which));
    (acting.count() > 1).then_some("two processes may act at once")
}

fn coverage(config: &Config, world: &World) -> Vec<&'static str> {
    let mut covered = Vec::new();
    let acting = (0..world.processes.len()).find(|which| may_act(config, world, *which));
    let Some(acting) = acting else {
        return covered;
    };
    covered.push("a holder acts");
    let held = world.log.latest_state().current_claim(SCOPE);
    let others = world.processes.iter().enumerate();
    let mut others = others.filter(|(which, _)| *which != acting);
    if held.is_some_and(|held| held.fence > 1) && others.any(|(_, other)| other.folded > 0) {
        covered.push("a second claim acts");
    }
    covered
}
