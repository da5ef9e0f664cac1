//! Model of edits of the catalogue: operators make concurrent edits at two entries, the log drops
//! old records, snapshots are committed late, and peers offer their catalogues. A running entry
//! never reverts to an older catalogue, all entries agree at the same offset, and no edit overrides
//! one that its author had not seen.

use crate::explore::Model;
use catalogue::{Applied, State, Verdict};
use std::rc::Rc;
use values::{FoldedState, SharedRecord};
use wire::record::record::Body;
use wire::record::{Change, Edit, Record};

mod describe;
mod values;

/// A guard that is removed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// An entry adopts any snapshot that it is offered.
    AdoptAny,
    /// The base revision of an edit is not checked.
    AnyBase,
    /// An entry whose next record was truncated reads on as if nothing were missing.
    NoSnapshot,
}

/// The bounds of the model.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of edits by operators.
    pub edits: u32,
    /// Number of snapshots that entries append to the log or offer to each other.
    pub snapshots: u32,
    /// Capacity of the log.
    pub max_records: usize,
    /// Total number of lost or duplicated records, duplicated offers and crashes.
    pub max_faults: u32,
    /// The removed guard.
    pub mutant: Option<Mutant>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            edits: 2,
            snapshots: 2,
            max_records: 4,
            max_faults: 1,
            mutant: None,
        }
    }
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    log: Vec<SharedRecord>,
    /// The catalogue after each prefix of the log, starting with the empty prefix.
    prefix_states: Vec<Rc<FoldedState>>,
    /// Number of records that were truncated from the head of the log.
    truncated: usize,
    entries: Vec<Rc<FoldedState>>,
    appends: Vec<SharedRecord>,
    /// Snapshots in flight, each with the entry that it is sent to.
    offers: Vec<(usize, SharedRecord)>,
    edits: u32,
    snapshots: u32,
    remaining_faults: u32,
    violation: Option<&'static str>,
}

/// A transition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// An operator edits the catalogue that an entry shows.
    Edit(usize),
    /// An entry appends a snapshot.
    WriteSnapshot(usize),
    /// An entry offers a snapshot of its catalogue to the other entry.
    Offer(usize),
    /// An offer arrives.
    Receive(usize),
    /// An offer arrives, and a copy stays in flight.
    ReceiveTwice(usize),
    /// A record in flight is committed.
    Commit(usize),
    /// A record in flight is committed, and a copy stays in flight.
    CommitTwice(usize),
    /// A record in flight is lost.
    Lose(usize),
    /// An entry reads one record, or the newest snapshot if that record was truncated.
    Read(usize),
    /// An entry reads its last record again.
    ReadAgain(usize),
    /// The log drops the records before its newest snapshot.
    Truncate,
    /// An entry crashes and restarts without state.
    Crash(usize),
}

const ENTRIES: usize = 2;

/// The model within these bounds.
pub fn model(config: Config) -> Model<Config, World, Event> {
    let empty = Rc::new(FoldedState::new(State::default()));
    let start = World {
        log: Vec::new(),
        prefix_states: vec![Rc::clone(&empty)],
        truncated: 0,
        entries: vec![empty; ENTRIES],
        appends: Vec::new(),
        offers: Vec::new(),
        edits: config.edits,
        snapshots: config.snapshots,
        remaining_faults: config.max_faults,
        violation: None,
    };
    Model {
        config,
        start,
        next,
        describe: describe::describe,
        violation: |_, world| world.violation,
        coverage,
    }
}

fn next(config: &Config, world: &World) -> Vec<(Event, World)> {
    let events = events(config, world).into_iter();
    let next = events.map(|event| (event, apply(config, world, &event)));
    next.filter(|(_, next)| next != world).collect()
}

fn events(config: &Config, world: &World) -> Vec<Event> {
    let mut events = vec![Event::Truncate];
    for which in 0..ENTRIES {
        events.extend([Event::Read(which), Event::ReadAgain(which)]);
        if world.edits > 0 {
            events.push(Event::Edit(which));
        }
        if world.snapshots > 0 && world.entries[which].state.folded() > 0 {
            events.extend([Event::WriteSnapshot(which), Event::Offer(which)]);
        }
        if world.remaining_faults > 0 {
            events.push(Event::Crash(which));
        }
    }
    for index in 0..world.offers.len() {
        events.push(Event::Receive(index));
        if world.remaining_faults > 0 {
            events.push(Event::ReceiveTwice(index));
        }
    }
    for index in 0..world.appends.len() {
        if world.log.len() < config.max_records {
            events.push(Event::Commit(index));
        }
        if world.remaining_faults > 0 {
            events.push(Event::Lose(index));
        }
        if world.remaining_faults > 0 && world.log.len() < config.max_records {
            events.push(Event::CommitTwice(index));
        }
    }
    events
}

fn apply(config: &Config, world: &World, event: &Event) -> World {
    let mut next = world.clone();
    match *event {
        Event::Edit(which) => {
            next.edits -= 1;
            let edit = edit(&next, which);
            next.appends.push(edit);
        }
        Event::WriteSnapshot(which) => {
            next.snapshots -= 1;
            let record = snapshot(&next, which);
            next.appends.push(record);
        }
        Event::Offer(which) => {
            next.snapshots -= 1;
            let record = snapshot(&next, which);
            next.offers.push((ENTRIES - 1 - which, record));
        }
        Event::Receive(index) => {
            let (to, record) = next.offers.remove(index);
            adopt(config, &mut next, to, &record);
        }
        Event::ReceiveTwice(index) => {
            let (to, record) = next.offers[index].clone();
            adopt(config, &mut next, to, &record);
        }
        Event::Commit(index) => {
            let record = next.appends.remove(index);
            commit(config, &mut next, record);
        }
        Event::CommitTwice(index) => {
            let record = next.appends[index].clone();
            commit(config, &mut next, record);
        }
        Event::Lose(index) => drop(next.appends.remove(index)),
        Event::Read(which) => read(config, &mut next, which),
        Event::ReadAgain(which) => {
            let again = next.entries[which].state.folded();
            read_at(&mut next, which, again);
        }
        Event::Truncate => {
            let newest = next.log.iter().rposition(is_snapshot);
            next.truncated = next.truncated.max(newest.unwrap_or(0));
        }
        Event::Crash(which) => next.entries[which] = Rc::clone(&next.prefix_states[0]),
    }
    if is_fault(event) {
        next.remaining_faults -= 1;
    }
    if !matches!(event, Event::Crash(_)) {
        check_invariants(world, &mut next);
    }
    next
}

fn is_fault(event: &Event) -> bool {
    use Event::{CommitTwice, Crash, Lose, ReceiveTwice};
    matches!(event, Crash(_) | CommitTwice(_) | Lose(_) | ReceiveTwice(_))
}

fn is_snapshot(record: &SharedRecord) -> bool {
    matches!(record.0.body, Some(Body::Snapshot(_)))
}

fn shared_record(body: Body) -> SharedRecord {
    SharedRecord(Rc::new(Record {
        rules: 1,
        body: Some(body),
        ..Record::default()
    }))
}

/// An edit of the only pool, based on the catalogue that the entry shows. The note keeps the base
/// revision, since `Mutant::AnyBase` overwrites the field that `commit` would check.
fn edit(world: &World, which: usize) -> SharedRecord {
    let base = world.entries[which].state.revision();
    shared_record(Body::Edit(Edit {
        base_revision: base,
        operator: format!("operator {}", world.edits),
        note: base.to_string(),
        changes: vec![Change {
            kind: "pool".to_owned(),
            name: "p".to_owned(),
            json: format!(
                r#"{{"kind": "service", "queue_limit": {}}}"#,
                world.edits + 1
            ),
        }],
    }))
}

fn snapshot(world: &World, which: usize) -> SharedRecord {
    shared_record(Body::Snapshot(world.entries[which].sealed_snapshot()))
}

fn commit(config: &Config, world: &mut World, record: SharedRecord) {
    let newest = Rc::clone(&world.prefix_states[world.log.len()]);
    let mut record = record;
    let mut modified = Record::clone(&record.0);
    let mut seen = None;
    if let Some(Body::Edit(edit)) = &mut modified.body {
        seen = edit.note.parse::<u64>().ok();
        if config.mutant == Some(Mutant::AnyBase) {
            edit.base_revision = newest.state.revision();
            record = SharedRecord(Rc::new(modified));
        }
    }
    let offset = world.log.len() as u64 + 1;
    let (folded, applied) = newest.after(offset, &record.0);
    let accepted = matches!(applied, Applied::Edit(Verdict::Accepted { .. }));
    if accepted && seen.is_some_and(|seen| seen < newest.state.revision()) {
        world.violation = Some("an edit wins over one that its author had not seen");
    }
    world.prefix_states.push(Rc::new(folded));
    world.log.push(record);
}

fn read(config: &Config, world: &mut World, which: usize) {
    let folded = world.entries[which].state.folded();
    let behind = (folded as usize) < world.truncated;
    if !behind {
        read_at(world, which, folded + 1);
    } else if config.mutant == Some(Mutant::NoSnapshot) {
        // The fold refuses gaps, so empty records are folded in place of the missing ones.
        for missing in folded + 1..=world.truncated as u64 {
            let (folded, _) = world.entries[which].after(missing, &Record::default());
            world.entries[which] = Rc::new(folded);
        }
        read_at(world, which, world.truncated as u64 + 1);
    } else {
        let retained = world.log[world.truncated..].iter();
        let newest = retained.rev().find(|record| is_snapshot(record)).cloned();
        if let Some(record) = newest {
            adopt(config, world, which, &record);
        }
    }
}

fn read_at(world: &mut World, which: usize, offset: u64) {
    let index = (offset as usize).checked_sub(1);
    let Some(record) = index.and_then(|index| world.log.get(index)) else {
        return;
    };
    let (folded, _) = world.entries[which].after(offset, &record.0);
    world.entries[which] = Rc::new(folded);
}

fn adopt(config: &Config, world: &mut World, which: usize, record: &SharedRecord) {
    let Some(Body::Snapshot(snapshot)) = &record.0.body else {
        return;
    };
    let mut state = world.entries[which].state.clone();
    if config.mutant == Some(Mutant::AdoptAny) {
        match State::restore(state.rules().clone(), snapshot) {
            Ok(restored) => state = restored,
            Err(_) => world.violation = Some("a sound snapshot is refused"),
        }
    } else if state.adopt(snapshot).is_err() {
        world.violation = Some("a sound snapshot is refused");
    }
    world.entries[which] = Rc::new(FoldedState::new(state));
}

fn check_invariants(before: &World, after: &mut World) {
    for which in 0..ENTRIES {
        let (old, new) = (&before.entries[which].state, &after.entries[which].state);
        if new.revision() < old.revision() || new.folded() < old.folded() {
            after.violation = Some("a running entry goes back to an older catalogue");
            return;
        }
        let offset = new.folded() as usize;
        if after.prefix_states[offset].snapshot != after.entries[which].snapshot {
            after.violation = Some("an entry differs from the others at the same offset");
            return;
        }
    }
}

fn coverage(_: &Config, world: &World) -> Vec<&'static str> {
    let mut covered = Vec::new();
    let in_force = |entry: &Rc<FoldedState>| entry.state.revision();
    if world.entries.iter().all(|entry| in_force(entry) > 1) {
        covered.push("a second edit is in force everywhere");
    }
    if world.truncated > 0 && world.entries.iter().all(|entry| in_force(entry) > 0) {
        covered.push("an edit is in force after the log forgot it");
    }
    covered
}
