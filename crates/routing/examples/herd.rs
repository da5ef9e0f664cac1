//! Compares the load balancing policies under load information of different ages.
//!
//! Several routers with independent choosers send to the same engines. An engine is modelled by
//! two counters: a queue of prompt tokens that are processed in sequence, and requests that decode
//! concurrently. It does not simulate a cluster: there are no failures and no network. Prints, per
//! policy, the standard deviation over the engines of the requests and of the queued prefill
//! seconds, averaged over time, and the wait for the first token.
//!
//! `cargo run --release -p routing --example herd`

mod counters;

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;
use counters::{Engine, Event, Job};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use routing::{
    affinity::History,
    choice::{Chooser, Policy, Work},
    ledger::NO_DECAY,
    load::Load,
    members::Members,
    pool::{Config, Speed},
    upstream::{Health, Report, Role, View},
};
use smallvec::smallvec;

const ROUTERS: usize = 8;
const STEP: Duration = Duration::from_millis(5);
const SECONDS: u64 = 120;
const WARM_UP: u64 = 20;
const UTILISATION: f64 = 0.85;

/// Load information available to the routers.
#[derive(Clone, Copy, Debug)]
struct Views {
    name: &'static str,
    /// Age of the reports.
    report_age: Option<Duration>,
    /// Interval between reports.
    report_every: Duration,
    /// Interval between frames of a peer.
    peers_every: Option<Duration>,
}

const VIEWS: [Views; 5] = [
    Views {
        name: "fresh",
        report_age: Some(Duration::ZERO),
        report_every: STEP,
        peers_every: None,
    },
    Views {
        name: "2s",
        report_age: Some(Duration::from_secs(2)),
        report_every: Duration::from_secs(1),
        peers_every: None,
    },
    Views {
        name: "2s+peers",
        report_age: Some(Duration::from_secs(2)),
        report_every: Duration::from_secs(1),
        peers_every: Some(Duration::from_millis(500)),
    },
    Views {
        name: "2s+peers/5",
        report_age: Some(Duration::from_secs(2)),
        report_every: Duration::from_secs(1),
        peers_every: Some(Duration::from_millis(100)),
    },
    Views {
        name: "none",
        report_age: None,
        report_every: Duration::from_secs(1),
        peers_every: None,
    },
];

/// An engine and its past loads, from which delayed reports are made.
#[derive(Default)]
struct EngineHistory {
    engine: Engine,
    past: VecDeque<(Moment, Load)>,
}

struct Entry {
    chooser: Chooser,
    members: Members,
}

#[derive(Default)]
struct Figures {
    requests: f64,
    prefill: f64,
    samples: f64,
    waits: Vec<f64>,
}

struct Trial {
    config: Config,
    views: Views,
    rng: SmallRng,
    now: Moment,
    engines: Vec<EngineHistory>,
    entries: Vec<Entry>,
    history: History,
    figures: Figures,
}

impl Trial {
    fn new(policy: Policy, views: Views, engines: usize, decay_time: Duration) -> Self {
        let config = Config {
            policy,
            decay_time,
            slow_start: Duration::ZERO,
            ..Config::new("pool")
        };
        let mut rng = SmallRng::seed_from_u64(42);
        let entries = (0..ROUTERS)
            .map(|_| {
                let mut members = Members::new();
                members.set(&config, (0..engines).map(view).collect());
                Entry {
                    chooser: Chooser::new(SmallRng::seed_from_u64(rng.random())),
                    members,
                }
            })
            .collect();
        Self {
            config,
            views,
            rng,
            now: Moment::ZERO,
            engines: (0..engines).map(|_| EngineHistory::default()).collect(),
            entries,
            history: History::new(1),
            figures: Figures::default(),
        }
    }

    fn run(mut self) -> Figures {
        let steps = SECONDS * 1_000 / STEP.as_millis() as u64;
        for _ in 0..steps {
            self.deliver_load_info();
            self.arrive();
            self.step_engines();
            self.measure();
            self.now += STEP;
        }
        self.figures
    }

    fn due(&self, every: Duration) -> bool {
        self.now.as_millis().is_multiple_of(every.as_millis())
    }

    /// Delivers reports and frames. All routers get the same report at the same time, the worst
    /// case for herding.
    fn deliver_load_info(&mut self) {
        let now = self.now;
        if let Some(age) = self.views.report_age {
            let due = self.due(self.views.report_every);
            for (number, engine) in self.engines.iter_mut().enumerate() {
                engine.past.push_back((now, engine.engine.load()));
                while engine.past.len() > 1 && engine.past[1].0 + age <= now {
                    engine.past.pop_front();
                }
                if !due || now < age {
                    continue;
                }
                let (at, load) = engine.past[0];
                for entry in &mut self.entries {
                    entry.members.apply_report(&id(number), report(at, load));
                }
            }
        }
        if self.views.peers_every.is_some_and(|every| self.due(every)) {
            for (own, entry) in self.entries.iter_mut().enumerate() {
                let loads: Vec<Load> = self
                    .engines
                    .iter()
                    .map(|engine| engine.engine.load() - engine.engine.load_of(own))
                    .collect();
                let by_id = |id: &str| {
                    let number: usize = id[7..].parse().expect("ids end in a number");
                    loads[number]
                };
                entry.members.set_peer_load(now, by_id);
            }
        }
        if self.due(Duration::from_millis(100)) {
            for entry in &mut self.entries {
                entry.members.refresh_statistics(now);
            }
        }
    }

    fn arrive(&mut self) {
        let per_second = UTILISATION * self.engines.len() as f64 * self.config.speed.prefill_rate
            / mean_prompt();
        let mut expected = per_second * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0) * 0.5)
                || self.rng.random_bool(expected.min(1.0) * 0.5)
            {
                self.send();
            }
            expected -= 1.0;
        }
    }

    fn send(&mut self) {
        let router = self.rng.random_range(0..ROUTERS);
        let prompt = prompt(&mut self.rng).round();
        let output = self.rng.random_range(20.0_f64..300.0).round();
        let work = Work {
            model: None,
            prompt: prompt as u32,
            output: output as u32,
            prefixes: &[],
            roles: &[Role::Mixed],
            excluded: &[],
        };
        let entry = &mut self.entries[router];
        let pick = entry
            .chooser
            .choose(self.now, &self.config, &entry.members, &self.history, &work)
            .expect("all engines take work");
        let load = Load::of(prompt as u32, output as u32);
        self.update_ledger(router, pick.position, |now, ledger| ledger.add(now, load));
        let job = Job::new(0, router, 0, load, self.now);
        self.engines[pick.position].engine.push(job);
    }

    fn update_ledger(
        &mut self,
        router: usize,
        position: usize,
        change: impl FnOnce(Moment, &mut routing::ledger::Ledger),
    ) {
        let members = &mut self.entries[router].members;
        let member = members.get_mut(&id(position)).expect("it is a member");
        change(self.now, &mut member.ledger);
    }

    fn step_engines(&mut self) {
        // Slots are unlimited, since they are not compared here.
        let speed = Speed {
            slots: u32::MAX,
            ..self.config.speed
        };
        for number in 0..self.engines.len() {
            for event in self.engines[number].engine.step(speed, STEP) {
                self.handle_event(number, &event);
            }
        }
    }

    fn handle_event(&mut self, number: usize, event: &Event) {
        let (job, load) = match event {
            Event::Prefilled(job) => {
                self.record_wait(job);
                let prefill = Load {
                    prefill: job.prompt,
                    ..Load::default()
                };
                (job, prefill)
            }
            Event::Finished(job) => {
                let rest = Load {
                    requests: 1.0,
                    prefill: 0.0,
                    decode: job.output,
                };
                (job, rest)
            }
        };
        self.update_ledger(job.router, number, |now, ledger| ledger.remove(now, load));
    }

    fn record_wait(&mut self, job: &Job) {
        if self.now.as_secs() >= WARM_UP {
            let wait = (self.now - job.sent).as_secs_f64();
            let own = job.prompt / self.config.speed.prefill_rate;
            self.figures.waits.push((wait - own).max(0.0));
        }
    }

    fn measure(&mut self) {
        if self.now.as_secs() < WARM_UP {
            return;
        }
        let loads: Vec<Load> = self
            .engines
            .iter()
            .map(|engine| engine.engine.load())
            .collect();
        let rate = self.config.speed.prefill_rate;
        self.figures.requests += deviation(loads.iter().map(|load| load.requests));
        self.figures.prefill += deviation(loads.iter().map(|load| load.prefill / rate));
        self.figures.samples += 1.0;
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

fn report(at: Moment, load: Load) -> Report {
    Report {
        at,
        load,
        waiting: 0,
        kv_used: 0.0,
        prefill_rate: 0.0,
        decode_slots: 0,
        draining: false,
    }
}

/// Prompt length from 100 to 8,000 tokens, log-uniform.
fn prompt(rng: &mut SmallRng) -> f64 {
    100.0 * 80.0_f64.powf(rng.random())
}

fn mean_prompt() -> f64 {
    7_900.0 / 80.0_f64.ln()
}

fn deviation(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = values.clone().count() as f64;
    let mean = values.clone().sum::<f64>() / count;
    (values.map(|value| (value - mean).powi(2)).sum::<f64>() / count).sqrt()
}

fn percentile(waits: &mut [f64], share: f64) -> f64 {
    waits.sort_by(f64::total_cmp);
    let last = waits.len() - 1;
    waits[(last as f64 * share) as usize]
}

fn policies() -> Vec<(&'static str, Policy, Duration)> {
    let drill = |samples, memory| Policy::Drill { samples, memory };
    let affinity = |samples, memory| Policy::Affinity { samples, memory };
    let default = Config::new("pool").decay_time;
    let second = Duration::from_secs(1);
    vec![
        ("round-robin", Policy::RoundRobin, default),
        ("random", Policy::Random, default),
        ("least-outstanding", Policy::LeastOutstanding, default),
        ("two-choices", Policy::TwoChoices, default),
        ("drill(2,1)", drill(2, 1), default),
        ("drill(4,1)", drill(4, 1), default),
        ("full-scan", Policy::FullScan, default),
        ("affinity(2,1)", affinity(2, 1), default),
        ("affinity(4,1)", affinity(4, 1), default),
        ("affinity(4,0)", affinity(4, 0), default),
        ("affinity(8,0)", affinity(8, 0), default),
        ("affinity(4,0) 1 s", affinity(4, 0), second),
        ("affinity(4,0) never", affinity(4, 0), NO_DECAY),
    ]
}

fn main() {
    for engines in [18, 67] {
        println!("{engines} engines, {ROUTERS} routers, load {UTILISATION}");
        println!(
            "{:<21} {:>10} {:>12} {:>12} {:>10} {:>10} {:>8}",
            "policy", "views", "sd requests", "sd prefill s", "p50 s", "p99 s", "/fresh"
        );
        for (name, policy, decay_time) in policies() {
            let mut fresh = 0.0;
            for views in VIEWS {
                let mut figures = Trial::new(policy, views, engines, decay_time).run();
                let requests = figures.requests / figures.samples;
                let prefill = figures.prefill / figures.samples;
                if views.name == "fresh" {
                    fresh = requests;
                }
                println!(
                    "{:<21} {:>10} {:>12.2} {:>12.3} {:>10.3} {:>10.3} {:>8.2}",
                    name,
                    views.name,
                    requests,
                    prefill,
                    percentile(&mut figures.waits, 0.5),
                    percentile(&mut figures.waits, 0.99),
                    requests / fresh,
                );
            }
        }
    }
}
