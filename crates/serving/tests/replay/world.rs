//! Simulation of instances that place calls on engines.

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

use crate::calls::{
    CHECKED_FROM, Call, DECODE, FRAME_DELAY, INSTANCES, MIN_READ_COUNT, Micros, PACES, PREFILL,
    READ_RATES, REPORT_DELAY, SETUP, SPEED_TOLERANCE, STALL_TIME, STALLED_SHARE, TRAFFIC_DURATION,
    TRANSFER_TIME,
};
use crate::common::{MODEL, demand, fleet, service, zone};
use crate::engine::SimEngine;

/// How calls are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// As in production.
    Placed,
    /// As in production, but instances share no state.
    NoSharing,
    /// As in production, but parts are announced only if they are new at an engine.
    NewPartsOnly,
    /// As in production, but returning callers count as new.
    IgnorePriorWait,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// The best of two random engines and the last chosen one.
    Drill,
    /// By a hash of the first part.
    PrefixHash,
}
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive(usize),
    ReadNext(usize),
    PromptRead(usize, usize),
    Generate(usize),
    Send(usize, usize, u8),
    Receive(usize, usize),
    /// Compares the learned speeds with the true ones.
    Check,
}

pub(crate) struct World<'a> {
    policy: Policy,
    calls: &'a [Call],
    engines: Vec<SimEngine>,
    fleets: Vec<Fleet>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next_sequence: u64,
    /// The engine and the record of each call in flight, and whether only its prompt is read.
    in_flight: BTreeMap<usize, (usize, SentCall, bool)>,
    messages: Vec<(usize, News)>,
    /// Decode engines with a limit that are reserved for calls whose prompts are read elsewhere.
    reserved: BTreeMap<usize, EngineId>,
    rng: SmallRng,
    round_robin: usize,
    last_chosen: Option<usize>,
    on_time: usize,
    counted: usize,
    /// What is expected of each call in flight, and when it was sent.
    forecasts: BTreeMap<usize, (Micros, Duration)>,
    /// Forecasts that hold, and all.
    held: (usize, usize),
    /// Learned speeds that hold, and all.
    known: (usize, usize),
    /// Answered calls and all calls, by organisation.
    answered: BTreeMap<usize, (usize, usize)>,
}

#[derive(Clone)]
pub(crate) enum News {
    Change(WorkChange),
    Parts(EngineId, Vec<Part>),
}

impl<'a> World<'a> {
    pub(crate) fn new(policy: Policy, calls: &'a [Call]) -> Self {
        let name = |n: usize| format!("e{n:02}");
        let stage = |n: usize| {
            if n < PREFILL {
                Stage::Prefill
            } else {
                Stage::Decode
            }
        };
        let rate = |n: usize| {
            if n < PREFILL {
                READ_RATES.0
            } else {
                READ_RATES.1
            }
        };
        let names: Vec<String> = (0..PREFILL + DECODE).map(name).collect();
        let known: Vec<(&str, Stage)> = names
            .iter()
            .enumerate()
            .map(|(n, name)| (name.as_str(), stage(n)))
            .collect();
        Self {
            policy,
            calls,
            engines: names
                .iter()
                .enumerate()
                .map(|(n, name)| SimEngine::new(name, rate(n)))
                .collect(),
            fleets: (0..INSTANCES).map(|_| fleet(&known)).collect(),
            events: BinaryHeap::new(),
            next_sequence: 0,
            in_flight: BTreeMap::new(),
            messages: Vec::new(),
            reserved: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(7),
            round_robin: 0,
            last_chosen: None,
            on_time: 0,
            counted: 0,
            forecasts: BTreeMap::new(),
            held: (0, 0),
            known: (0, 0),
            answered: BTreeMap::new(),
        }
    }

    /// Has `of_four` of every four engines announce a rate limit from the start.
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
                    let announcement = Announcement {
                        limit: Some(Rate::try_from(limit).expect("a rate")),
                        at: Duration::ZERO,
                    };
                    throttles.merge(&engine.id, announcement, Duration::ZERO);
                }
            }
        }
        self
    }

    /// Has engines read at different speeds and stall, and this many instances place the calls.
    pub(crate) fn with_paces(mut self, seed: u64, placers: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        for (number, engine) in self.engines.iter_mut().enumerate() {
            engine.pace = PACES[number % PACES.len()];
            let between = STALL_TIME as f64 * (1.0 / STALLED_SHARE - 1.0);
            let mut at = 0;
            while at < TRAFFIC_DURATION {
                at += (-rng.random::<f64>().max(1e-9).ln() * between) as Micros;
                engine.stalls.push(at);
                at += STALL_TIME;
            }
        }
        self.fleets = vec![self.fleets[0].clone(); placers];
        for check in (CHECKED_FROM..TRAFFIC_DURATION).step_by(250_000) {
            self.schedule(check, Event::Check);
        }
        self
    }

    /// Has engines share chunks among prompts, and reports arrive late.
    pub(crate) fn with_shared_chunks(mut self) -> Self {
        for engine in &mut self.engines {
            engine.shares_chunks = true;
        }
        self
    }

    /// Has engines never stall, so that their speeds stay as they are.
    pub(crate) fn without_stalls(mut self) -> Self {
        for engine in &mut self.engines {
            engine.stalls.clear();
        }
        self
    }

    /// Runs the simulation. Returns the shares of calls on time, of forecasts that hold, and of
    /// learned speeds that hold.
    pub(crate) fn run_paces(mut self) -> [f64; 3] {
        self.run_events();
        let on_time = (self.on_time, self.counted);
        [on_time, self.held, self.known].map(|(held, all)| held as f64 / all as f64)
    }

    /// The instance that places a call.
    fn placer(&self, number: usize) -> usize {
        if self.fleets.len() == INSTANCES {
            self.calls[number].instance
        } else {
            number % self.fleets.len()
        }
    }

    fn check(&mut self, now: Micros) {
        for fleet in &self.fleets {
            for engine in &self.engines {
                let known = fleet.get(&engine.id).expect("the engine exists");
                let slowdown = fleet.slowdown(known, Duration::from_micros(now));
                let learned = fleet.speed(known).tokens_per_ms / slowdown;
                if engine.read_count < MIN_READ_COUNT || engine.stalled_lately(now) {
                    continue;
                }
                let ratio = learned * engine.pace / engine.rate;
                self.known.0 +=
                    usize::from((1.0 / SPEED_TOLERANCE..SPEED_TOLERANCE).contains(&ratio));
                self.known.1 += 1;
            }
        }
    }

    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        self.next_sequence += 1;
        self.events.push(Reverse((at, self.next_sequence, event)));
    }

    /// Runs the simulation. Returns the share of calls whose first answer was on time.
    pub(crate) fn run(mut self) -> f64 {
        self.run_events();
        self.on_time as f64 / self.counted as f64
    }

    /// Runs the simulation. Returns the share of calls that were answered, by organisation.
    pub(crate) fn run_by_organisation(mut self) -> BTreeMap<usize, f64> {
        self.run_events();
        let answered = self.answered.into_iter();
        let shares = answered
            .map(|(organisation, (answered, all))| (organisation, answered as f64 / all as f64));
        shares.collect()
    }

    fn run_events(&mut self) {
        for (number, call) in self.calls.iter().enumerate() {
            self.schedule(call.at, Event::Arrive(number));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(number) => self.arrive(number, now),
                Event::ReadNext(engine) => self.read_next(engine, now),
                Event::PromptRead(engine, number) => self.prompt_read(engine, number, now),
                Event::Send(number, engine, rank) => {
                    self.send(number, engine, rank, engine < PREFILL, true, now);
                }
                Event::Generate(number) => self.generate(number, now),
                Event::Receive(instance, news) => self.receive(instance, news, now),
                Event::Check => self.check(now),
            }
        }
    }

    pub(crate) fn arrive(&mut self, number: usize, now: Micros) {
        if self.calls[number].counts() {
            self.counted += 1;
            let organisation = self.calls[number].organisation;
            self.answered.entry(organisation).or_default().1 += 1;
        }
        let (engine, rank, wait) = match self.policy {
            Policy::Placed | Policy::NoSharing | Policy::NewPartsOnly | Policy::IgnorePriorWait => {
                match self.placed(number, now) {
                    Some(target) => {
                        self.forecasts
                            .insert(number, (now, target.expected_latency));
                        (self.index(&target.engine), target.rank, target.limit_wait)
                    }
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
            self.schedule(sent, Event::Send(number, engine, rank));
        }
    }

    pub(crate) fn placed(&mut self, number: usize, now: Micros) -> Option<Target> {
        let call = &self.calls[number];
        let (service, zone) = (service(), zone());
        let demand = call_demand(call, self.policy, &service, &zone, now);
        let placer = self.placer(number);
        let fleet = &mut self.fleets[placer];
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
            .expect("the engine exists")
    }

    /// An engine with index `from` or above, by one of the common policies.
    pub(crate) fn baseline(&mut self, number: usize, from: usize) -> usize {
        let count = self.engines.len() - from;
        let instance = self.placer(number);
        let mut random = || from + self.rng.random_range(0..count);
        let two = (random(), random());
        let load = |engine: usize| {
            let engine = &self.engines[engine].id;
            self.fleets[instance]
                .get(engine)
                .map_or(0, serving::engine::Engine::running_calls)
        };
        let less = |a: usize, b: usize| if load(b) < load(a) { b } else { a };
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.round_robin += 1;
                from + self.round_robin % count
            }
            Policy::LeastOutstanding => (from..from + count)
                .min_by_key(|e| load(*e))
                .expect("there are engines"),
            Policy::TwoChoices => less(two.0, two.1),
            Policy::Drill => {
                let remembered = self.last_chosen.filter(|engine| *engine >= from);
                remembered.map_or(less(two.0, two.1), |third| less(less(two.0, two.1), third))
            }
            _ => {
                let part = self.calls[number].prompt[0].id;
                let weight = |e: &usize| hash::hash64(&format!("{part} {}", self.engines[*e].id));
                (from..from + count)
                    .max_by_key(weight)
                    .expect("there are engines")
            }
        };
        self.last_chosen = Some(chosen);
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
        let placer = self.placer(number);
        let fleet = &mut self.fleets[placer];
        let cached_tokens = fleet
            .parts
            .cached_tokens(&id, &call.prompt)
            .min(call.tokens);
        let prefill_tokens = if reads {
            call.tokens - cached_tokens
        } else {
            0
        };
        let is_new = cached_tokens < call.prompt[0].tokens;
        let sent = fleet.begin_call(&id, speed::work(prefill_tokens, call.tokens), rank, time);
        fleet.cache_parts(&id, &call.prompt, MODEL.kv_capacity_tokens, time);
        self.engines[engine].enqueue(number, call, rank, reads, now);
        self.in_flight.insert(number, (engine, sent, only_reads));
        match self.policy {
            Policy::NewPartsOnly if is_new => {
                self.share(number, News::Parts(id, vec![call.prompt[0]]), now);
            }
            Policy::NewPartsOnly => {}
            _ => self.share(number, News::Parts(id, call.prompt.clone()), now),
        }
        self.share_changes(number, now);
        self.read_next(engine, now);
    }

    pub(crate) fn read_next(&mut self, engine: usize, now: Micros) {
        let Some(step) = self.engines[engine].next(now) else {
            return;
        };
        for number in step.read {
            let mut at = step.until + SETUP;
            if self.engines[engine].shares_chunks {
                at += self.rng.random_range(REPORT_DELAY.0..REPORT_DELAY.1);
            }
            self.schedule(at, Event::PromptRead(engine, number));
        }
        self.schedule(step.until, Event::ReadNext(engine));
    }

    pub(crate) fn prompt_read(&mut self, _engine: usize, number: usize, now: Micros) {
        let (_, sent, only_reads) = self
            .in_flight
            .remove(&number)
            .expect("the call is in flight");
        let time = Duration::from_micros(now);
        let placer = self.placer(number);
        let fleet = &mut self.fleets[placer];
        fleet.prompt_read(&sent, time);
        if let Some((at, expected)) = self.forecasts.remove(&number) {
            let ratio = (now - at) as f64 / expected.as_micros().max(1) as f64;
            self.held.0 += usize::from((0.5..=1.5).contains(&ratio));
            self.held.1 += 1;
        }
        fleet.end_call(&sent, None, time);
        self.share_changes(number, now);
        if only_reads {
            self.schedule(now + TRANSFER_TIME, Event::Generate(number));
        } else {
            self.finish(number, now);
        }
    }

    pub(crate) fn generate(&mut self, number: usize, now: Micros) {
        let call = &self.calls[number];
        let engine = match self.policy {
            Policy::Placed | Policy::NoSharing | Policy::NewPartsOnly | Policy::IgnorePriorWait => {
                let (service, zone) = (service(), zone());
                let reserved = self.reserved.remove(&number);
                let demand = Demand {
                    reserved: reserved.as_ref(),
                    ..call_demand(call, self.policy, &service, &zone, now)
                };
                let placer = self.placer(number);
                let fleet = &mut self.fleets[placer];
                let time = Duration::from_micros(now);
                let Some(target) = place::choose_decode(fleet, &demand, &zone, time) else {
                    // The limits are used up, and no engine was reserved.
                    return;
                };
                place::charge(fleet, &demand, &target, time);
                self.index(&target.engine)
            }
            _ => self.baseline(number, PREFILL),
        };
        // The prompt has been read already: only the wait for the engine's present prompt remains.
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

    pub(crate) fn share_changes(&mut self, number: usize, now: Micros) {
        let placer = self.placer(number);
        let changes = self.fleets[placer].take_changes();
        for change in changes {
            self.share(number, News::Change(change), now);
        }
    }

    pub(crate) fn share(&mut self, number: usize, news: News, now: Micros) {
        if self.policy == Policy::NoSharing {
            return;
        }
        let from = self.placer(number);
        self.messages.push((from, news));
        for instance in (0..self.fleets.len()).filter(|instance| *instance != from) {
            self.schedule(
                now + FRAME_DELAY,
                Event::Receive(instance, self.messages.len() - 1),
            );
        }
    }

    pub(crate) fn receive(&mut self, instance: usize, news: usize, now: Micros) {
        let (from, news) = self.messages[news].clone();
        let at = Duration::from_micros(now);
        let fleet = &mut self.fleets[instance];
        match news {
            News::Change(change) => fleet.apply_change(from as u64, &change, at),
            News::Parts(id, parts) => fleet.cache_parts(&id, &parts, MODEL.kv_capacity_tokens, at),
        }
    }
}

pub(crate) fn call_demand<'a>(
    call: &'a Call,
    policy: Policy,
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
    let before = if policy == Policy::IgnorePriorWait {
        0
    } else {
        call.waited_before
    };
    let before = Duration::from_micros(before);
    Demand {
        priority: call.rank,
        latency_target: Duration::from_micros(call.target).saturating_sub(waited + before),
        time_left: Duration::from_secs(4).saturating_sub(waited),
        ..demand(service, zone, Some(generation))
    }
}
