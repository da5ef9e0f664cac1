//! The load that the placement answers, replayed in simulated time against engines that read prompts one
//! after the other: shared parts, long tails, and a mix that swings every 2.8 s. The same calls are placed
//! in the ways that were weighed; what counts is the share of calls on time.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use common::{MODEL, demand, fleet, id, service, zone};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serving::fleet::{Change, Sent};
use serving::parts::Part;
use serving::place::{self, Demand, Generation};
use serving::{Choice, EngineId, Fleet, Stage, hash, speed};

/// Microseconds of simulated time.
type Micros = u64;

const INSTANCES: usize = 4;
const PREFILL: usize = 4;
const DECODE: usize = 8;
/// Time a prompt has of its own, in which nobody else waits.
const SETUP: Micros = 90_000;
/// True speeds, in tokens of work a millisecond; the second one is not what the placement begins with.
const RATES: (f64, f64) = (75.0, 22.0);
/// Step ahead of the end of a prompt at which an engine chooses the next one, in tokens of work.
const STEP: f64 = 2_048.0;
/// Time of a frame from one instance to another, with the gathering before it.
const FRAME: Micros = 12_000;
/// Time of a transfer between two engines.
const TRANSFER: Micros = 20_000;
/// Traffic lasts this long, after a start in which engines read the shared parts.
const LENGTH: Micros = 24_000_000;
const COUNTED_FROM: Micros = 4_000_000;
/// An outage, from and to.
const OUTAGE: (Micros, Micros) = (8_000_000, 10_000_000);
/// Time in which all come back after it.
const RETURN: Micros = 400_000;

/// How calls are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// As the product does.
    Placed,
    /// As the product does, but instances tell each other nothing.
    Alone,
    /// As the product does, but parts are told only where they are new at an engine.
    NewParts,
    /// As the product does, but callers that come back count as new ones.
    AllNew,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// Two at random and the best remembered one.
    Drill,
    /// By the first shared part.
    PrefixHash,
}

/// A kind of call: share of the traffic in either half of a swing, shared parts and their size, own
/// size, target, rank.
struct Kind {
    rates: (f64, f64),
    shared: (u32, u32),
    own: f64,
    target_ms: u64,
    rank: u8,
}

const KINDS: [Kind; 3] = [
    Kind {
        rates: (14.0, 14.0),
        shared: (50, 13_300),
        own: 3_720.0,
        target_ms: 800,
        rank: 2,
    },
    Kind {
        rates: (12.0, 4.0),
        shared: (25, 6_300),
        own: 2_890.0,
        target_ms: 600,
        rank: 1,
    },
    Kind {
        rates: (10.0, 26.0),
        shared: (80, 350),
        own: 1_110.0,
        target_ms: 500,
        rank: 0,
    },
];

#[derive(Clone, Debug)]
struct Call {
    at: Micros,
    /// How long its caller had waited before.
    before: Micros,
    instance: usize,
    prompt: Vec<Part>,
    tokens: u32,
    target: Micros,
    rank: u8,
}

/// The same calls for every way, by a seed.
fn calls(seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for (number, kind) in KINDS.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let swing = ((at / 2.8e6) as u64).is_multiple_of(2);
            let rate = if swing { kind.rates.0 } else { kind.rates.1 };
            at += -rng.random::<f64>().max(1e-9).ln() / rate * 1e6;
            if at >= LENGTH as f64 {
                break;
            }
            calls.push(call(&mut rng, number, kind, at as Micros));
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// The same calls, but nobody is served for two seconds, and all who came meanwhile come back together.
fn calls_with_outage(seed: u64) -> Vec<Call> {
    let mut calls = calls(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    for call in &mut calls {
        if (OUTAGE.0..OUTAGE.1).contains(&call.at) {
            let back = OUTAGE.1 + rng.random_range(0..RETURN);
            call.before = back - call.at;
            call.at = back;
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn call(rng: &mut SmallRng, number: usize, kind: &Kind, at: Micros) -> Call {
    let thing = rng.random_range(0..kind.shared.0);
    // A product of three uniform numbers has the long tail that prompts have.
    let tail: f64 = (0..3).map(|_| 2.0 * rng.random::<f64>()).product();
    let own = (kind.own * tail) as u32 + 50;
    let shared = Part {
        id: number as u32 * 1_000 + thing,
        tokens: kind.shared.1,
    };
    let last = Part {
        id: 1_000_000 + rng.random_range(0..1_000_000_000),
        tokens: own,
    };
    Call {
        at,
        before: 0,
        instance: rng.random_range(0..INSTANCES),
        prompt: vec![shared, last],
        tokens: kind.shared.1 + own,
        target: kind.target_ms * 1_000,
        rank: kind.rank,
    }
}

impl Call {
    /// Whether it is counted: it is not from the start, and can be on time.
    fn counts(&self) -> bool {
        self.at >= COUNTED_FROM && self.before == 0
    }
}

struct Waiting {
    call: usize,
    at: Micros,
    rank: u8,
    work: f64,
}

/// An engine as it is.
struct Truth {
    rate: f64,
    waiting: Vec<Waiting>,
    free_at: Micros,
    memory: Fleet,
    id: EngineId,
}

impl Truth {
    fn new(name: &str, rate: f64) -> Self {
        Self {
            rate,
            waiting: Vec::new(),
            free_at: 0,
            memory: fleet(&[(name, Stage::Decode)]),
            id: id(name),
        }
    }

    fn take(&mut self, number: usize, call: &Call, rank: u8, reads: bool, now: Micros) {
        let kept = self
            .memory
            .parts
            .kept(&self.id, &call.prompt)
            .min(call.tokens);
        let unread = if reads { call.tokens - kept } else { 0 };
        let now_time = Duration::from_micros(now);
        self.memory
            .reads(&self.id, &call.prompt, MODEL.memory_tokens, now_time);
        self.waiting.push(Waiting {
            call: number,
            at: now,
            rank,
            work: f64::from(speed::work(unread, call.tokens)),
        });
    }

    /// The call whose prompt is read next and when it is read, if the engine begins one by now.
    fn next(&mut self, now: Micros) -> Option<(usize, Micros)> {
        if self.free_at > now || self.waiting.is_empty() {
            return None;
        }
        let step = (STEP / self.rate * 1_000.0) as Micros;
        let seen = self.free_at.saturating_sub(step);
        let there = self.waiting.iter().enumerate();
        let chosen = there
            .clone()
            .filter(|(_, waiting)| waiting.at <= seen)
            .min_by_key(|(_, waiting)| (waiting.rank, waiting.at))
            .or_else(|| there.min_by_key(|(_, waiting)| (waiting.at, waiting.rank)));
        let (index, _) = chosen?;
        let waiting = self.waiting.remove(index);
        let begin = self.free_at.max(waiting.at);
        self.free_at = begin + (waiting.work / self.rate * 1_000.0) as Micros;
        Some((waiting.call, self.free_at))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Look(usize),
    First(usize, usize),
    Generate(usize),
    Hear(usize, usize),
}

struct World<'a> {
    way: Way,
    calls: &'a [Call],
    engines: Vec<Truth>,
    fleets: Vec<Fleet>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    order: u64,
    /// The engine and the books' entry of each call that is under way, and whether only its prompt is read.
    under_way: BTreeMap<usize, (usize, Sent, bool)>,
    told: Vec<(usize, Told)>,
    rng: SmallRng,
    turn: usize,
    remembered: Option<usize>,
    on_time: usize,
    counted: usize,
}

#[derive(Clone)]
enum Told {
    Change(Change),
    Parts(EngineId, Vec<Part>),
}

impl<'a> World<'a> {
    fn new(way: Way, calls: &'a [Call]) -> Self {
        let name = |n: usize| format!("e{n:02}");
        let stage = |n: usize| {
            if n < PREFILL {
                Stage::Prefill
            } else {
                Stage::Decode
            }
        };
        let rate = |n: usize| if n < PREFILL { RATES.0 } else { RATES.1 };
        let names: Vec<String> = (0..PREFILL + DECODE).map(name).collect();
        let known: Vec<(&str, Stage)> = names
            .iter()
            .enumerate()
            .map(|(n, name)| (name.as_str(), stage(n)))
            .collect();
        Self {
            way,
            calls,
            engines: names
                .iter()
                .enumerate()
                .map(|(n, name)| Truth::new(name, rate(n)))
                .collect(),
            fleets: (0..INSTANCES).map(|_| fleet(&known)).collect(),
            events: BinaryHeap::new(),
            order: 0,
            under_way: BTreeMap::new(),
            told: Vec::new(),
            rng: SmallRng::seed_from_u64(7),
            turn: 0,
            remembered: None,
            on_time: 0,
            counted: 0,
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// The share of calls whose first answer was on time.
    fn run(mut self) -> f64 {
        for (number, call) in self.calls.iter().enumerate() {
            self.at(call.at, Event::Arrive(number));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(number) => self.arrive(number, now),
                Event::Look(engine) => self.look(engine, now),
                Event::First(engine, number) => self.first(engine, number, now),
                Event::Generate(number) => self.generate(number, now),
                Event::Hear(instance, told) => self.hear(instance, told, now),
            }
        }
        self.on_time as f64 / self.counted as f64
    }

    fn arrive(&mut self, number: usize, now: Micros) {
        if self.calls[number].counts() {
            self.counted += 1;
        }
        let (engine, rank) = match self.way {
            Way::Placed | Way::Alone | Way::NewParts | Way::AllNew => {
                match self.placed(number, now) {
                    Some(place) => place,
                    None => return,
                }
            }
            _ => (self.baseline(number, 0), self.calls[number].rank),
        };
        self.send(number, engine, rank, engine < PREFILL, true, now);
    }

    fn placed(&mut self, number: usize, now: Micros) -> Option<(usize, u8)> {
        let call = &self.calls[number];
        let (service, zone) = (service(), zone());
        let demand = own_demand(call, self.way, &service, &zone, now);
        let fleet = &self.fleets[call.instance];
        let target = match place::choose(fleet, &demand, Duration::from_micros(now)) {
            Choice::Direct(target) => target,
            Choice::Split { prefill, .. } => prefill,
            Choice::Refuse { .. } => return None,
        };
        Some((self.index(&target.engine), target.rank))
    }

    fn index(&self, id: &EngineId) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.id == *id)
            .expect("it is known")
    }

    /// An engine from `from` on, by one of the ways that others use.
    fn baseline(&mut self, number: usize, from: usize) -> usize {
        let count = self.engines.len() - from;
        let instance = self.calls[number].instance;
        let mut random = || from + self.rng.random_range(0..count);
        let two = (random(), random());
        let load = |engine: usize| {
            let engine = &self.engines[engine].id;
            self.fleets[instance]
                .get(engine)
                .map_or(0, serving::engine::Engine::running)
        };
        let less = |a: usize, b: usize| if load(b) < load(a) { b } else { a };
        let chosen = match self.way {
            Way::RoundRobin => {
                self.turn += 1;
                from + self.turn % count
            }
            Way::LeastOutstanding => (from..from + count)
                .min_by_key(|e| load(*e))
                .expect("it is known"),
            Way::TwoChoices => less(two.0, two.1),
            Way::Drill => {
                let remembered = self.remembered.filter(|engine| *engine >= from);
                remembered.map_or(less(two.0, two.1), |third| less(less(two.0, two.1), third))
            }
            _ => {
                let part = self.calls[number].prompt[0].id;
                let weight = |e: &usize| hash::number(&format!("{part} {}", self.engines[*e].id));
                (from..from + count)
                    .max_by_key(weight)
                    .expect("it is known")
            }
        };
        self.remembered = Some(chosen);
        chosen
    }

    fn send(
        &mut self,
        number: usize,
        engine: usize,
        rank: u8,
        only_reads: bool,
        reads: bool,
        now: Micros,
    ) {
        let call = &self.calls[number];
        let id = self.engines[engine].id.clone();
        let time = Duration::from_micros(now);
        let fleet = &mut self.fleets[call.instance];
        let kept = fleet.parts.kept(&id, &call.prompt).min(call.tokens);
        let unread = if reads { call.tokens - kept } else { 0 };
        let is_new = kept < call.prompt[0].tokens;
        let sent = fleet.begin(&id, speed::work(unread, call.tokens), rank, time);
        fleet.reads(&id, &call.prompt, MODEL.memory_tokens, time);
        self.engines[engine].take(number, call, rank, reads, now);
        self.under_way.insert(number, (engine, sent, only_reads));
        match self.way {
            Way::NewParts if is_new => {
                self.tell(number, Told::Parts(id, vec![call.prompt[0]]), now);
            }
            Way::NewParts => {}
            _ => self.tell(number, Told::Parts(id, call.prompt.clone()), now),
        }
        self.tell_changes(number, now);
        self.look(engine, now);
    }

    fn look(&mut self, engine: usize, now: Micros) {
        if let Some((number, read)) = self.engines[engine].next(now) {
            self.at(read + SETUP, Event::First(engine, number));
            self.at(read, Event::Look(engine));
        }
    }

    fn first(&mut self, _engine: usize, number: usize, now: Micros) {
        let call = &self.calls[number];
        let (_, sent, only_reads) = self.under_way.remove(&number).expect("it is known");
        let time = Duration::from_micros(now);
        let fleet = &mut self.fleets[call.instance];
        fleet.first(&sent, time);
        fleet.end(&sent, None, time);
        self.tell_changes(number, now);
        if only_reads {
            self.at(now + TRANSFER, Event::Generate(number));
        } else {
            self.finish(number, now);
        }
    }

    fn generate(&mut self, number: usize, now: Micros) {
        let call = &self.calls[number];
        let engine = match self.way {
            Way::Placed | Way::Alone | Way::NewParts | Way::AllNew => {
                let (service, zone) = (service(), zone());
                let demand = own_demand(call, self.way, &service, &zone, now);
                let fleet = &self.fleets[call.instance];
                let target = place::decode(fleet, &demand, &zone, Duration::from_micros(now));
                self.index(&target.expect("it is known").engine)
            }
            _ => self.baseline(number, PREFILL),
        };
        // The prompt was read: what is left is the wait for the prompt that the engine is reading.
        let rank = call.rank;
        self.send(
            number,
            engine,
            rank,
            false,
            false,
            now.saturating_sub(SETUP),
        );
    }

    fn finish(&mut self, number: usize, now: Micros) {
        let call = &self.calls[number];
        if call.counts() && now <= call.at + call.target {
            self.on_time += 1;
        }
    }

    fn tell_changes(&mut self, number: usize, now: Micros) {
        let changes = self.fleets[self.calls[number].instance].take_changes();
        for change in changes {
            self.tell(number, Told::Change(change), now);
        }
    }

    fn tell(&mut self, number: usize, told: Told, now: Micros) {
        if self.way == Way::Alone {
            return;
        }
        let from = self.calls[number].instance;
        self.told.push((from, told));
        for instance in (0..INSTANCES).filter(|instance| *instance != from) {
            self.at(now + FRAME, Event::Hear(instance, self.told.len() - 1));
        }
    }

    fn hear(&mut self, instance: usize, told: usize, now: Micros) {
        let (from, told) = self.told[told].clone();
        let time = Duration::from_micros(now);
        let fleet = &mut self.fleets[instance];
        match told {
            Told::Change(change) => fleet.hear_change(from as u64, &change, time),
            Told::Parts(engine, parts) => fleet.reads(&engine, &parts, MODEL.memory_tokens, time),
        }
    }
}

fn own_demand<'a>(
    call: &'a Call,
    way: Way,
    service: &'a serving::ServiceName,
    zone: &'a serving::Zone,
    now: Micros,
) -> Demand<'a> {
    let generation = Generation {
        model: &MODEL,
        prompt: &call.prompt,
        tokens: call.tokens,
    };
    let waited = Duration::from_micros(now - call.at);
    let before = if way == Way::AllNew { 0 } else { call.before };
    let before = Duration::from_micros(before);
    Demand {
        priority: call.rank,
        target: Duration::from_micros(call.target).saturating_sub(waited + before),
        left: Duration::from_secs(4).saturating_sub(waited),
        ..demand(service, zone, Some(generation))
    }
}

fn on_time(way: Way) -> f64 {
    let seeds = 1..=3;
    let shares = seeds.map(|seed| World::new(way, &calls(seed)).run());
    shares.sum::<f64>() / 3.0
}

/// The ways that were weighed. Share on time in one run: placed 0.986, least outstanding 0.602, by the
/// prefix 0.500, DRILL 0.304, two choices 0.256, round robin 0.181; the others pay for shared parts
/// that they have read again. The bound asserted is far below the difference.
#[test]
fn the_placement_serves_more_on_time_than_the_usual_ways() {
    let placed = on_time(Way::Placed);
    for way in [
        Way::RoundRobin,
        Way::LeastOutstanding,
        Way::TwoChoices,
        Way::Drill,
        Way::PrefixHash,
    ] {
        let other = on_time(way);
        println!("{way:?}: {other:.3}, placed: {placed:.3}");
        assert!(
            placed > other + 0.05,
            "{way:?}: {other:.3}, placed: {placed:.3}"
        );
    }
}

#[test]
fn instances_that_tell_each_other_serve_more_on_time() {
    let placed = on_time(Way::Placed);
    let alone = on_time(Way::Alone);
    println!("alone: {alone:.3}, placed: {placed:.3}");
    assert!(
        placed > alone + 0.03,
        "alone: {alone:.3}, placed: {placed:.3}"
    );
}

#[test]
fn telling_of_all_parts_serves_more_on_time_than_of_new_ones() {
    let placed = on_time(Way::Placed);
    let new = on_time(Way::NewParts);
    println!("new parts: {new:.3}, placed: {placed:.3}");
    assert!(placed >= new, "new parts: {new:.3}, placed: {placed:.3}");
}

/// Symptom: new calls are late for seconds after an outage. Sequence: instances are away; callers come back
/// together, among new ones. Cause: those that came back kept their rank, though they could not be on time
/// any more. The share is of new calls only; those that came back are served as well.
#[test]
fn new_calls_are_on_time_sooner_after_an_outage() {
    let share = |way| {
        let seeds = 1..=3;
        let shares = seeds.map(|seed| World::new(way, &calls_with_outage(seed)).run());
        shares.sum::<f64>() / 3.0
    };
    let (placed, all_new) = (share(Way::Placed), share(Way::AllNew));
    println!("all new: {all_new:.3}, placed: {placed:.3}");
    assert!(
        placed > all_new,
        "all new: {all_new:.3}, placed: {placed:.3}"
    );
}
