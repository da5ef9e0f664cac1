//! Instances that place calls on engines in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serving::fleet::{SentCall, WorkChange};
use serving::parts::Part;
use serving::place::{self, Demand, Generation, Target};
use serving::placer::Placers;
use serving::throttle::{Announcement, Rate};
use serving::{Choice, EngineId, Fleet, Stage, hash, speed};

use crate::calls::{Call, DECODE, FRAME, INSTANCES, Micros, PREFILL, RATES, SETUP, TRANSFER};
use crate::common::{MODEL, demand, fleet, service, zone};
use crate::engine::Truth;

/// How calls are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
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
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive(usize),
    Look(usize),
    First(usize, usize),
    Generate(usize),
    Send(usize, usize, u8),
    Hear(usize, usize),
}

pub(crate) struct World<'a> {
    way: Way,
    calls: &'a [Call],
    engines: Vec<Truth>,
    fleets: Vec<Fleet>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    order: u64,
    /// The engine and the books' entry of each call that is under way, and whether only its prompt is read.
    under_way: BTreeMap<usize, (usize, SentCall, bool)>,
    told: Vec<(usize, Told)>,
    /// Engines that are to generate for calls whose prompts are read apart, where these have a limit.
    reserved: BTreeMap<usize, EngineId>,
    rng: SmallRng,
    turn: usize,
    remembered: Option<usize>,
    on_time: usize,
    counted: usize,
    /// Calls of each organisation that were answered, and all of them.
    answered: BTreeMap<usize, (usize, usize)>,
}

#[derive(Clone)]
pub(crate) enum Told {
    Change(WorkChange),
    Parts(EngineId, Vec<Part>),
}

impl<'a> World<'a> {
    pub(crate) fn new(way: Way, calls: &'a [Call]) -> Self {
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
            reserved: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(7),
            turn: 0,
            remembered: None,
            on_time: 0,
            counted: 0,
            answered: BTreeMap::new(),
        }
    }

    /// Has some engines of every four announce a rate limit from the start.
    pub(crate) fn with_limits(mut self, of_four: usize, limit: f64) -> Self {
        let address =
            |n: usize| SocketAddr::from(([127, 0, 0, 1], u16::try_from(n).expect("a port") + 1));
        for (own, fleet) in self.fleets.iter_mut().enumerate() {
            let others = (0..INSTANCES).filter(|other| *other != own);
            let placers = Placers {
                includes_self: true,
                others: others.map(|other| (address(other), 0)).collect(),
            };
            let throttles = &mut fleet.throttles;
            throttles.set_placers(address(own), &placers, Duration::ZERO);
            for (number, engine) in self.engines.iter().enumerate() {
                if number % 4 < of_four {
                    let said = Announcement {
                        limit: Some(Rate::try_from(limit).expect("a rate")),
                        at: Duration::ZERO,
                    };
                    throttles.merge(&engine.id, said, Duration::ZERO);
                }
            }
        }
        self
    }

    pub(crate) fn at(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// The share of calls whose first answer was on time.
    pub(crate) fn run(mut self) -> f64 {
        self.play();
        self.on_time as f64 / self.counted as f64
    }

    /// The share of calls that were answered, by organisation.
    pub(crate) fn run_by_organisation(mut self) -> BTreeMap<usize, f64> {
        self.play();
        let answered = self.answered.into_iter();
        let shares = answered
            .map(|(organisation, (answered, all))| (organisation, answered as f64 / all as f64));
        shares.collect()
    }

    fn play(&mut self) {
        for (number, call) in self.calls.iter().enumerate() {
            self.at(call.at, Event::Arrive(number));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(number) => self.arrive(number, now),
                Event::Look(engine) => self.look(engine, now),
                Event::First(engine, number) => self.first(engine, number, now),
                Event::Send(number, engine, rank) => {
                    self.send(number, engine, rank, engine < PREFILL, true, now);
                }
                Event::Generate(number) => self.generate(number, now),
                Event::Hear(instance, told) => self.hear(instance, told, now),
            }
        }
    }

    pub(crate) fn arrive(&mut self, number: usize, now: Micros) {
        if self.calls[number].counts() {
            self.counted += 1;
            let organisation = self.calls[number].organisation;
            self.answered.entry(organisation).or_default().1 += 1;
        }
        let (engine, rank, wait) = match self.way {
            Way::Placed | Way::Alone | Way::NewParts | Way::AllNew => {
                match self.placed(number, now) {
                    Some(target) => (self.index(&target.engine), target.rank, target.limit_wait),
                    None => return,
                }
            }
            _ => (
                self.baseline(number, 0),
                self.calls[number].rank,
                Duration::ZERO,
            ),
        };
        if wait.is_zero() {
            self.send(number, engine, rank, engine < PREFILL, true, now);
        } else {
            let sent = now + Micros::try_from(wait.as_micros()).expect("short waits");
            self.at(sent, Event::Send(number, engine, rank));
        }
    }

    pub(crate) fn placed(&mut self, number: usize, now: Micros) -> Option<Target> {
        let call = &self.calls[number];
        let (service, zone) = (service(), zone());
        let demand = own_demand(call, self.way, &service, &zone, now);
        let fleet = &mut self.fleets[call.instance];
        let time = Duration::from_micros(now);
        let mut choice = place::choose(fleet, &demand, time);
        place::commit(fleet, &demand, &mut choice, time);
        if let Choice::Split {
            reserved: Some(reserved),
            ..
        } = &choice
        {
            self.reserved.insert(number, reserved.clone());
        }
        choice.target().cloned()
    }

    pub(crate) fn index(&self, id: &EngineId) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.id == *id)
            .expect("it is known")
    }

    /// An engine from `from` on, by one of the ways that others use.
    pub(crate) fn baseline(&mut self, number: usize, from: usize) -> usize {
        let count = self.engines.len() - from;
        let instance = self.calls[number].instance;
        let mut random = || from + self.rng.random_range(0..count);
        let two = (random(), random());
        let load = |engine: usize| {
            let engine = &self.engines[engine].id;
            self.fleets[instance]
                .get(engine)
                .map_or(0, serving::engine::Engine::running_calls)
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
                let weight = |e: &usize| hash::hash64(&format!("{part} {}", self.engines[*e].id));
                (from..from + count)
                    .max_by_key(weight)
                    .expect("it is known")
            }
        };
        self.remembered = Some(chosen);
        chosen
    }

    pub(crate) fn send(
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
        let kept = fleet
            .parts
            .cached_tokens(&id, &call.prompt)
            .min(call.tokens);
        let unread = if reads { call.tokens - kept } else { 0 };
        let is_new = kept < call.prompt[0].tokens;
        let sent = fleet.begin_call(&id, speed::work(unread, call.tokens), rank, time);
        fleet.cache_parts(&id, &call.prompt, MODEL.kv_capacity_tokens, time);
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

    pub(crate) fn look(&mut self, engine: usize, now: Micros) {
        if let Some((number, read)) = self.engines[engine].next(now) {
            self.at(read + SETUP, Event::First(engine, number));
            self.at(read, Event::Look(engine));
        }
    }

    pub(crate) fn first(&mut self, _engine: usize, number: usize, now: Micros) {
        let call = &self.calls[number];
        let (_, sent, only_reads) = self.under_way.remove(&number).expect("it is known");
        let time = Duration::from_micros(now);
        let fleet = &mut self.fleets[call.instance];
        fleet.prompt_read(&sent, time);
        fleet.end_call(&sent, None, time);
        self.tell_changes(number, now);
        if only_reads {
            self.at(now + TRANSFER, Event::Generate(number));
        } else {
            self.finish(number, now);
        }
    }

    pub(crate) fn generate(&mut self, number: usize, now: Micros) {
        let call = &self.calls[number];
        let engine = match self.way {
            Way::Placed | Way::Alone | Way::NewParts | Way::AllNew => {
                let (service, zone) = (service(), zone());
                let reserved = self.reserved.remove(&number);
                let demand = Demand {
                    reserved: reserved.as_ref(),
                    ..own_demand(call, self.way, &service, &zone, now)
                };
                let fleet = &mut self.fleets[call.instance];
                let time = Duration::from_micros(now);
                let Some(target) = place::choose_decode(fleet, &demand, &zone, time) else {
                    // Its limits are used up, and it was not reserved.
                    return;
                };
                place::charge(fleet, &demand, &target, time);
                self.index(&target.engine)
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

    pub(crate) fn finish(&mut self, number: usize, now: Micros) {
        let call = &self.calls[number];
        if call.counts() {
            self.answered.entry(call.organisation).or_default().0 += 1;
        }
        if call.counts() && now <= call.at + call.target {
            self.on_time += 1;
        }
    }

    pub(crate) fn tell_changes(&mut self, number: usize, now: Micros) {
        let changes = self.fleets[self.calls[number].instance].take_changes();
        for change in changes {
            self.tell(number, Told::Change(change), now);
        }
    }

    pub(crate) fn tell(&mut self, number: usize, told: Told, now: Micros) {
        if self.way == Way::Alone {
            return;
        }
        let from = self.calls[number].instance;
        self.told.push((from, told));
        for instance in (0..INSTANCES).filter(|instance| *instance != from) {
            self.at(now + FRAME, Event::Hear(instance, self.told.len() - 1));
        }
    }

    pub(crate) fn hear(&mut self, instance: usize, told: usize, now: Micros) {
        let (from, told) = self.told[told].clone();
        let at = Duration::from_micros(now);
        let fleet = &mut self.fleets[instance];
        match told {
            Told::Change(change) => fleet.apply_change(from as u64, &change, at),
            Told::Parts(id, parts) => fleet.cache_parts(&id, &parts, MODEL.kv_capacity_tokens, at),
        }
    }
}

pub(crate) fn own_demand<'a>(
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
        latency_target: Duration::from_micros(call.target).saturating_sub(waited + before),
        time_left: Duration::from_secs(4).saturating_sub(waited),
        ..demand(service, zone, Some(generation))
    }
}
