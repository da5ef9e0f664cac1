//! Test bed of entries with complete routers, modelled engines, and callers that return when told
//! to. It does not simulate a cluster.

#[path = "../counters/mod.rs"]
mod counters;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Moment;
use counters::{Engine, Event, Job};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use routing::{
    class::Class,
    decision::{Assignment, Decision, Output, Progress, Refusal},
    load::Load,
    peers::Outstanding,
    pool::{Config, Speed},
    request::Request,
    router::{Router, Settings},
    upstream::{Health, Report, Role, View},
};
use smallvec::smallvec;

const ENTRIES: usize = 8;
const ENGINES: usize = 18;
const STEP: Duration = Duration::from_millis(5);

/// A period of constant load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    /// Requested prefill, as a share of the capacity of all engines.
    pub(crate) load: f64,
    pub(crate) seconds: u64,
}

/// Configuration of a trial.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) phases: &'static [Phase],
    pub(crate) kinds: &'static [Kind; KINDS],
    /// Speed factor of an engine at a given time.
    pub(crate) speed_factor: fn(usize, Moment) -> f64,
    /// Whether load reports are delivered.
    pub(crate) reports: bool,
    /// Whether frames of peers are delivered.
    pub(crate) frames: bool,
}

/// Number of times that a caller returns after a refusal.
const RETURNS: u32 = 3;

const SPEED: Speed = Speed {
    prefill_rate: 10_000.0,
    decode_rate: 40.0,
    slots: 32,
};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    class: Class,
    /// Share of all requests.
    share: f64,
    /// Time allowed until the first token.
    deadline: Duration,
    /// Mean token counts.
    prompt: f64,
    output: f64,
}

const fn kind(class: Class, share: f64, deadline_ms: u64, prompt: f64, output: f64) -> Kind {
    Kind {
        class,
        share,
        deadline: Duration::from_millis(deadline_ms),
        prompt,
        output,
    }
}

/// Number of kinds of request.
const KINDS: usize = 5;

/// Prefill is the bottleneck.
pub(crate) const LONG_PROMPTS: [Kind; KINDS] = [
    kind(Class::Authorisation, 0.05, 1_000, 100.0, 5.0),
    kind(Class::Status, 0.05, 1_000, 50.0, 5.0),
    kind(Class::Interactive, 0.5, 2_000, 1_000.0, 100.0),
    kind(Class::Dispatch, 0.2, 10_000, 2_000.0, 150.0),
    kind(Class::Batch, 0.2, 600_000, 4_000.0, 200.0),
];

/// Decode slots are the bottleneck, and deadlines are short.
pub(crate) const SHORT_DEADLINES: [Kind; KINDS] = [
    kind(Class::Authorisation, 0.05, 1_000, 100.0, 5.0),
    kind(Class::Status, 0.05, 1_000, 50.0, 5.0),
    kind(Class::Interactive, 0.5, 480, 300.0, 100.0),
    kind(Class::Dispatch, 0.2, 1_500, 2_000.0, 150.0),
    kind(Class::Batch, 0.2, 600_000, 4_000.0, 200.0),
];

#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    offered: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    kind: usize,
    phase: usize,
    deadline: Moment,
    returns: u32,
    load: Load,
}

/// A trial.
pub(crate) struct Trial {
    setup: Setup,
    now: Moment,
    rng: SmallRng,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    waiting: HashMap<(usize, u64), Call>,
    running: HashMap<(usize, u64), Call>,
    returning: BTreeMap<(Moment, u64), Call>,
    last_call_id: u64,
    figures: Vec<[Figures; KINDS]>,
    /// Prompt tokens processed, by phase.
    processed: Vec<f64>,
    phase: usize,
}

impl Trial {
    pub(crate) fn new(setup: Setup) -> Self {
        let routers = (0..ENTRIES)
            .map(|entry| {
                let name = format!("entry-{entry}");
                let mut router = Router::new(Settings::default(), &name, entry as u64);
                let config = Config {
                    speed: SPEED,
                    slow_start: Duration::ZERO,
                    ..Config::new("pool")
                };
                router.set_pools(Moment::ZERO, vec![config]);
                let views = (0..ENGINES).map(view).collect();
                router.set_upstreams(Moment::ZERO, "pool", views);
                router
            })
            .collect();
        Self {
            now: Moment::ZERO,
            rng: SmallRng::seed_from_u64(3),
            routers,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            returning: BTreeMap::new(),
            last_call_id: 0,
            figures: vec![Default::default(); setup.phases.len()],
            processed: vec![0.0; setup.phases.len()],
            setup,
            phase: 0,
        }
    }

    /// Runs all phases.
    pub(crate) fn run(&mut self) {
        for (phase, Phase { load, seconds, .. }) in self.setup.phases.iter().enumerate() {
            let steps = seconds * 1_000 / STEP.as_millis() as u64;
            self.phase = phase;
            for _ in 0..steps {
                self.arrive(phase, *load);
                self.step_engines();
                self.deliver_load_info();
                for entry in 0..ENTRIES {
                    let outputs = self.routers[entry].tick(self.now);
                    self.apply_outputs(entry, outputs);
                }
                self.now += STEP;
            }
        }
    }

    /// Prints a table.
    pub(crate) fn print(&self, title: &str) {
        println!("{title}");
        println!(
            "{:<12} {:<15} {:>8} {:>8} {:>8} {:>8} {:>10}",
            "phase", "class", "offered", "in time", "late", "refused", "in time/s"
        );
        for (phase, Phase { name, seconds, .. }) in self.setup.phases.iter().enumerate() {
            let mut sum = Figures::default();
            for (kind, Kind { class, .. }) in self.setup.kinds.iter().enumerate() {
                let figures = self.figures[phase][kind];
                print_row(name, &format!("{class:?}"), figures, *seconds);
                sum.offered += figures.offered;
                sum.in_time += figures.in_time;
                sum.late += figures.late;
                sum.refused += figures.refused;
            }
            print_row(name, "all", sum, *seconds);
            let capacity = SPEED.prefill_rate * ENGINES as f64 * *seconds as f64;
            println!(
                "{name:<12} prefill used    {:.3}",
                self.processed[phase] / capacity
            );
        }
        println!("the remaining requests were unfinished when the trial ended");
    }

    fn arrive(&mut self, phase: usize, load: f64) {
        let kinds = self.setup.kinds.iter();
        let work: f64 = kinds
            .map(|kind| kind.share * kind.prompt / SPEED.prefill_rate)
            .sum();
        let expected = load * ENGINES as f64 / work * STEP.as_secs_f64();
        for _ in 0..8 {
            if self.rng.random_bool(expected / 8.0) {
                let call = self.new_call(phase);
                self.figures[phase][call.kind].offered += 1;
                self.admit(call);
            }
        }
        while let Some(entry) = self.returning.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let mut call = entry.remove();
            call.deadline = self.now + self.setup.kinds[call.kind].deadline;
            self.admit(call);
        }
    }

    fn new_call(&mut self, phase: usize) -> Call {
        let mut draw: f64 = self.rng.random();
        let mut kind = 0;
        while kind + 1 < KINDS && draw >= self.setup.kinds[kind].share {
            draw -= self.setup.kinds[kind].share;
            kind += 1;
        }
        let scale = self.rng.random_range(0.2..1.8);
        Call {
            kind,
            phase,
            deadline: self.now + self.setup.kinds[kind].deadline,
            returns: 0,
            load: Load {
                requests: 1.0,
                prefill: (self.setup.kinds[kind].prompt * scale).round(),
                decode: (self.setup.kinds[kind].output * self.rng.random_range(0.2..1.8)).round(),
            },
        }
    }

    fn admit(&mut self, call: Call) {
        let entry = self.rng.random_range(0..ENTRIES);
        let class = self.setup.kinds[call.kind].class;
        let request = Request {
            pool: "pool".into(),
            subjects: smallvec![],
            class,
            priority: class.rank() as u8,
            model: None,
            prompt_tokens: call.load.prefill as u32,
            output_tokens: self.setup.kinds[call.kind].output as u32,
            prefixes: smallvec![],
            streamed: true,
            deadline: call.deadline,
            repeatable: false,
        };
        match self.routers[entry].admit(self.now, request) {
            Decision::Send(assignment) => self.send(entry, call, &assignment),
            Decision::Wait(ticket) => {
                self.waiting.insert((entry, ticket), call);
            }
            Decision::Refuse(refusal) => self.refuse(call, refusal),
        }
    }

    fn send(&mut self, entry: usize, call: Call, assignment: &Assignment) {
        let number: usize = assignment.upstream[7..]
            .parse()
            .expect("ids end in a number");
        let job = Job::new(
            assignment.attempt,
            entry,
            assignment.priority,
            call.load,
            self.now,
        );
        self.engines[number].push(job);
        self.running.insert((entry, assignment.attempt), call);
    }

    fn refuse(&mut self, mut call: Call, refusal: Refusal) {
        if call.returns == RETURNS {
            self.figures[call.phase][call.kind].refused += 1;
            return;
        }
        call.returns += 1;
        self.last_call_id += 1;
        let due = self.now + refusal.retry_after;
        self.returning.insert((due, self.last_call_id), call);
    }

    fn apply_outputs(&mut self, entry: usize, outputs: impl IntoIterator<Item = Output>) {
        for output in outputs {
            match output {
                Output::Send { ticket, assignment } => {
                    if let Some(call) = self.waiting.remove(&(entry, ticket)) {
                        self.send(entry, call, &assignment);
                    }
                }
                Output::Refuse { ticket, refusal } => {
                    if let Some(call) = self.waiting.remove(&(entry, ticket)) {
                        self.refuse(call, refusal);
                    }
                }
            }
        }
    }

    fn step_engines(&mut self) {
        for number in 0..ENGINES {
            let speed_factor = (self.setup.speed_factor)(number, self.now);
            let speed = Speed {
                prefill_rate: SPEED.prefill_rate * speed_factor,
                decode_rate: SPEED.decode_rate * speed_factor,
                ..SPEED
            };
            for event in self.engines[number].step(speed, STEP) {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Prefilled(job) => {
                self.processed[self.phase] += job.prompt;
                let router = &mut self.routers[job.router];
                router.progress(self.now, job.id, Progress::Prefilled);
                let Some(call) = self.running.get(&(job.router, job.id)) else {
                    return;
                };
                let figures = &mut self.figures[call.phase][call.kind];
                if self.now <= call.deadline {
                    figures.in_time += 1;
                } else {
                    figures.late += 1;
                }
            }
            Event::Finished(job) => {
                let router = &mut self.routers[job.router];
                let tokens = Progress::Tokens(job.output as u32);
                router.progress(self.now, job.id, tokens);
                let outputs = router.finished(self.now, job.id);
                self.running.remove(&(job.router, job.id));
                self.apply_outputs(job.router, outputs);
            }
        }
    }

    /// Delivers reports two seconds old every second, and frames of peers every half second.
    fn deliver_load_info(&mut self) {
        let ms = self.now.as_millis();
        if self.setup.reports && ms.is_multiple_of(1_000) && ms >= 2_000 {
            for (number, engine) in self.engines.iter().enumerate() {
                let report = Report {
                    at: self.now - Duration::from_secs(2),
                    load: engine.load(),
                    waiting: engine.waiting(SPEED.slots) as u32,
                    kv_used: 0.0,
                    prefill_rate: SPEED.prefill_rate,
                    decode_slots: SPEED.slots,
                    draining: false,
                };
                for router in &mut self.routers {
                    router.report("pool", &id(number), report);
                }
            }
        }
        if self.setup.frames && ms.is_multiple_of(500) {
            let frames: Vec<Vec<Outstanding>> =
                self.routers.iter().map(Router::outstanding).collect();
            for (entry, router) in self.routers.iter_mut().enumerate() {
                for (peer, frame) in frames.iter().enumerate() {
                    if peer != entry {
                        router.update_peer(
                            self.now,
                            &format!("entry-{peer}"),
                            self.now,
                            frame.clone(),
                        );
                    }
                }
            }
        }
    }
}

fn id(number: usize) -> String {
    format!("engine-{number:04}")
}

fn view(number: usize) -> View {
    View {
        id: id(number).into(),
        one_way_latency: Duration::from_micros(500),
        role: Role::Mixed,
        models: smallvec![],
        open: true,
        health: Health::Up,
        up_since: Moment::ZERO,
    }
}

fn print_row(phase: &str, class: &str, figures: Figures, seconds: u64) {
    println!(
        "{phase:<12} {class:<15} {:>8} {:>8} {:>8} {:>8} {:>10.1}",
        figures.offered,
        figures.in_time,
        figures.late,
        figures.refused,
        f64::from(figures.in_time) / seconds as f64,
    );
}
