//! Edits of the catalogue: operators who race each other at two entries, a log that forgets,
//! snapshots that land late, peers that offer what they have. A running entry never goes back, all
//! agree, and no edit wins over one that its author had not seen.

use crate::explore::Model;
use catalogue::{Applied, State, Verdict};
use kept::{Folded, Letter};
use std::rc::Rc;
use wire::record::record::Body;
use wire::record::{Change, Edit, Record};

mod describe;
mod kept;

/// A guard that is taken away.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// An entry takes any snapshot that it is offered.
    AdoptAny,
    /// An edit is not compared with the revision that it is based on.
    AnyBase,
    /// An entry that the log has left behind reads on as if nothing had been forgotten.
    NoSnapshot,
}

/// The bounds.
#[derive(Clone, Debug)]
pub struct Config {
    /// Edits that operators make.
    pub edits: u32,
    /// Snapshots that entries write to the log or offer to each other.
    pub snapshots: u32,
    /// Records that the log holds at most.
    pub records: usize,
    /// Records lost or doubled, offers doubled, crashes.
    pub faults: u32,
    /// The removed guard.
    pub mutant: Option<Mutant>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            edits: 2,
            snapshots: 2,
            records: 4,
            faults: 1,
            mutant: None,
        }
    }
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    log: Vec<Letter>,
    /// The catalogue after each prefix of the log, from the empty one.
    folds: Vec<Rc<Folded>>,
    /// Records that the log has forgotten.
    forgotten: usize,
    entries: Vec<Rc<Folded>>,
    appends: Vec<Letter>,
    /// Snapshots on their way to an entry.
    offers: Vec<(usize, Letter)>,
    edits: u32,
    snapshots: u32,
    faults: u32,
    broken: Option<&'static str>,
}

/// Something that happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// An operator edits what an entry shows.
    Edit(usize),
    /// An entry appends a snapshot.
    WriteSnapshot(usize),
    /// An entry offers its catalogue to the other.
    Offer(usize),
    /// An offer arrives.
    Take(usize),
    /// An offer arrives, and a copy stays on its way.
    TakeTwice(usize),
    /// A record lands.
    Land(usize),
    /// A record lands, and a copy stays on its way.
    LandTwice(usize),
    /// A record is lost.
    Lose(usize),
    /// An entry reads one record, or the snapshot if the log has left it behind.
    Read(usize),
    /// An entry reads a record again that it has read.
    ReadAgain(usize),
    /// The log forgets what is before its newest snapshot.
    Forget,
    /// An entry crashes and starts again with nothing.
    Crash(usize),
}

const ENTRIES: usize = 2;

/// The model within these bounds.
pub fn model(config: Config) -> Model<Config, World, Event> {
    let empty = Rc::new(Folded::new(State::default()));
    let start = World {
        log: Vec::new(),
        folds: vec![Rc::clone(&empty)],
        forgotten: 0,
        entries: vec![empty; ENTRIES],
        appends: Vec::new(),
        offers: Vec::new(),
        edits: config.edits,
        snapshots: config.snapshots,
        faults: config.faults,
        broken: None,
    };
    Model {
        config,
        start,
        next,
        describe: describe::describe,
        violation: |_, world| world.broken,
        shows,
    }
}

fn next(config: &Config, world: &World) -> Vec<(Event, World)> {
    let events = events(config, world).into_iter();
    let next = events.map(|event| (event, apply(config, world, &event)));
    next.filter(|(_, next)| next != world).collect()
}

fn events(config: &Config, world: &World) -> Vec<Event> {
    let mut events = vec![Event::Forget];
    for which in 0..ENTRIES {
        events.extend([Event::Read(which), Event::ReadAgain(which)]);
        if world.edits > 0 {
            events.push(Event::Edit(which));
        }
        if world.snapshots > 0 && world.entries[which].state.folded() > 0 {
            events.extend([Event::WriteSnapshot(which), Event::Offer(which)]);
        }
        if world.faults > 0 {
            events.push(Event::Crash(which));
        }
    }
    for index in 0..world.offers.len() {
        events.push(Event::Take(index));
        if world.faults > 0 {
            events.push(Event::TakeTwice(index));
        }
    }
    for index in 0..world.appends.len() {
        if world.log.len() < config.records {
            events.push(Event::Land(index));
        }
        if world.faults > 0 {
            events.push(Event::Lose(index));
        }
        if world.faults > 0 && world.log.len() < config.records {
            events.push(Event::LandTwice(index));
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
            let letter = snapshot(&next, which);
            next.appends.push(letter);
        }
        Event::Offer(which) => {
            next.snapshots -= 1;
            let letter = snapshot(&next, which);
            next.offers.push((ENTRIES - 1 - which, letter));
        }
        Event::Take(index) => {
            let (to, letter) = next.offers.remove(index);
            adopt(config, &mut next, to, &letter);
        }
        Event::TakeTwice(index) => {
            let (to, letter) = next.offers[index].clone();
            adopt(config, &mut next, to, &letter);
        }
        Event::Land(index) => {
            let letter = next.appends.remove(index);
            land(config, &mut next, letter);
        }
        Event::LandTwice(index) => {
            let letter = next.appends[index].clone();
            land(config, &mut next, letter);
        }
        Event::Lose(index) => drop(next.appends.remove(index)),
        Event::Read(which) => read(config, &mut next, which),
        Event::ReadAgain(which) => {
            let again = next.entries[which].state.folded();
            read_at(&mut next, which, again);
        }
        Event::Forget => {
            let newest = next.log.iter().rposition(is_snapshot);
            next.forgotten = next.forgotten.max(newest.unwrap_or(0));
        }
        Event::Crash(which) => next.entries[which] = Rc::clone(&next.folds[0]),
    }
    if is_fault(event) {
        next.faults -= 1;
    }
    if !matches!(event, Event::Crash(_)) {
        judge(world, &mut next);
    }
    next
}

fn is_fault(event: &Event) -> bool {
    use Event::{Crash, LandTwice, Lose, TakeTwice};
    matches!(event, Crash(_) | LandTwice(_) | Lose(_) | TakeTwice(_))
}

fn is_snapshot(letter: &Letter) -> bool {
    matches!(letter.0.body, Some(Body::Snapshot(_)))
}

fn letter(body: Body) -> Letter {
    Letter(Rc::new(Record {
        rules: 1,
        body: Some(body),
        ..Record::default()
    }))
}

/// An edit of the one pool, based on what the entry shows. The note keeps the base for the judge.
fn edit(world: &World, which: usize) -> Letter {
    let base = world.entries[which].state.revision();
    letter(Body::Edit(Edit {
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

fn snapshot(world: &World, which: usize) -> Letter {
    letter(Body::Snapshot(world.entries[which].sealed()))
}

fn land(config: &Config, world: &mut World, letter: Letter) {
    let newest = Rc::clone(&world.folds[world.log.len()]);
    let mut letter = letter;
    let mut record = Record::clone(&letter.0);
    let mut seen = None;
    if let Some(Body::Edit(edit)) = &mut record.body {
        seen = edit.note.parse::<u64>().ok();
        if config.mutant == Some(Mutant::AnyBase) {
            edit.base_revision = newest.state.revision();
            letter = Letter(Rc::new(record));
        }
    }
    let offset = world.log.len() as u64 + 1;
    let (folded, applied) = newest.after(offset, &letter.0);
    let accepted = matches!(applied, Applied::Edit(Verdict::Accepted { .. }));
    if accepted && seen.is_some_and(|seen| seen < newest.state.revision()) {
        world.broken = Some("an edit wins over one that its author had not seen");
    }
    world.folds.push(Rc::new(folded));
    world.log.push(letter);
}

fn read(config: &Config, world: &mut World, which: usize) {
    let folded = world.entries[which].state.folded();
    let behind = (folded as usize) < world.forgotten;
    if !behind {
        read_at(world, which, folded + 1);
    } else if config.mutant == Some(Mutant::NoSnapshot) {
        // The fold refuses a hole, so the entry hands in nothing in place of what is missing.
        for missing in folded + 1..=world.forgotten as u64 {
            let (folded, _) = world.entries[which].after(missing, &Record::default());
            world.entries[which] = Rc::new(folded);
        }
        read_at(world, which, world.forgotten as u64 + 1);
    } else {
        let retained = world.log[world.forgotten..].iter();
        let newest = retained.rev().find(|letter| is_snapshot(letter)).cloned();
        if let Some(letter) = newest {
            adopt(config, world, which, &letter);
        }
    }
}

fn read_at(world: &mut World, which: usize, offset: u64) {
    let index = (offset as usize).checked_sub(1);
    let Some(letter) = index.and_then(|index| world.log.get(index)) else {
        return;
    };
    let (folded, _) = world.entries[which].after(offset, &letter.0);
    world.entries[which] = Rc::new(folded);
}

fn adopt(config: &Config, world: &mut World, which: usize, letter: &Letter) {
    let Some(Body::Snapshot(snapshot)) = &letter.0.body else {
        return;
    };
    let mut state = world.entries[which].state.clone();
    if config.mutant == Some(Mutant::AdoptAny) {
        match State::restore(state.rules().clone(), snapshot) {
            Ok(restored) => state = restored,
            Err(_) => world.broken = Some("a sound snapshot is refused"),
        }
    } else if state.adopt(snapshot).is_err() {
        world.broken = Some("a sound snapshot is refused");
    }
    world.entries[which] = Rc::new(Folded::new(state));
}

fn judge(before: &World, after: &mut World) {
    for which in 0..ENTRIES {
        let (old, new) = (&before.entries[which].state, &after.entries[which].state);
        if new.revision() < old.revision() || new.folded() < old.folded() {
            after.broken = Some("a running entry goes back to an older catalogue");
            return;
        }
        let offset = new.folded() as usize;
        if after.folds[offset].snapshot != after.entries[which].snapshot {
            after.broken = Some("an entry differs from the others at the same offset");
            return;
        }
    }
}

fn shows(_: &Config, world: &World) -> Vec<&'static str> {
    let mut shown = Vec::new();
    let in_force = |entry: &Rc<Folded>| entry.state.revision();
    if world.entries.iter().all(|entry| in_force(entry) > 1) {
        shown.push("a second edit is in force everywhere");
    }
    if world.forgotten > 0 && world.entries.iter().all(|entry| in_force(entry) > 0) {
        shown.push("an edit is in force after the log forgot it");
    }
    shown
}
