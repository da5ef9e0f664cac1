//! Compares the role planners on demand traces, using the planner's own capacity model.
//!
//! It does not simulate a cluster: an engine is its capacity frontier, demand is a rate, and a
//! change takes an engine out of service for some seconds. Prints, per trace and planner, the
//! share of demand served in time and the number of role changes.
//!
//! `cargo run --release -p routing --example roles`

use std::time::Duration;

use clock::Moment;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use routing::{
    plan::{
        Change, Config, Engine, Input, Kind, Planner, RoleBounds,
        capacity::{Counts, Demand, Frontier, Frontiers, headroom, served_share},
        optimum,
    },
    upstream::Role,
};

const ENGINES: u32 = 18;
const SECONDS: usize = 900;

/// Demand as a share of the capacity with the best roles at each time.
const LOAD: f64 = 0.9;

/// Weight of the newest second in the smoothed demand.
const SMOOTHING: f64 = 0.3;

/// Share of prefill in the work at a given second.
type Trace = fn(usize, &mut SmallRng) -> f64;

const TRACES: [(&str, Trace); 9] = [
    ("constant", |_, _| 0.5),
    ("step", |at, _| if at < 300 { 0.3 } else { 0.7 }),
    ("ramp", |at, _| 0.25 + 0.5 * at as f64 / SECONDS as f64),
    ("period 300 s", |at, _| wave(at, 300.0)),
    ("period 120 s", |at, _| wave(at, 120.0)),
    ("period 30 s", |at, _| wave(at, 30.0)),
    ("period 8 s", |at, _| wave(at, 8.0)),
    ("120 s + noise", |at, rng| {
        wave(at, 120.0) + rng.random_range(-0.15..0.15)
    }),
    ("noise", |_, rng| 0.5 + rng.random_range(-0.25..0.25)),
];

fn wave(at: usize, period: f64) -> f64 {
    0.5 + 0.25 * (at as f64 / period * std::f64::consts::TAU).sin()
}

/// Capacity of `standin-engine` with its default options.
fn frontiers() -> Frontiers {
    Frontiers {
        mixed: Frontier {
            prefill: 15_200.0,
            decode: 4_440.0,
            overlap: 0.57,
        },
        prefill: Frontier {
            prefill: 19_200.0,
            decode: 900.0,
            overlap: 0.5,
        },
        decode: Frontier {
            prefill: 10_900.0,
            decode: 4_440.0,
            overlap: 0.57,
        },
    }
}

/// Engines specialised in one kind of work, for which roles matter most.
fn strict() -> Frontiers {
    Frontiers {
        mixed: Frontier {
            prefill: 10_000.0,
            decode: 2_500.0,
            overlap: 0.5,
        },
        prefill: Frontier {
            prefill: 19_200.0,
            decode: 0.0,
            overlap: 0.5,
        },
        decode: Frontier {
            prefill: 3_000.0,
            decode: 4_440.0,
            overlap: 0.5,
        },
    }
}

fn config(kind: Kind, price: f64, parallel: usize, frontiers: Frontiers) -> Config {
    let none = RoleBounds { min: 0, max: 0 };
    let some = RoleBounds { min: 2, max: 16 };
    Config {
        kind,
        price,
        change_duration: Duration::from_secs(5),
        max_parallel: parallel,
        bounds: [none, some, some],
        frontiers,
    }
}

fn best_headroom(config: &Config, demand: Demand) -> f64 {
    let splits = (2..=16).map(|prefill| Counts::new([0, prefill, ENGINES - prefill]));
    splits
        .map(|counts| headroom(&config.frontiers, counts, demand))
        .fold(0.0, f64::max)
}

fn demands(config: &Config, trace: Trace) -> Vec<Demand> {
    let mut rng = SmallRng::seed_from_u64(5);
    (0..SECONDS)
        .map(|at| {
            let share = trace(at, &mut rng);
            let raw = Demand {
                prefill: share * config.frontiers.prefill.prefill,
                decode: (1.0 - share) * config.frontiers.decode.decode,
            };
            let factor = LOAD * best_headroom(config, raw);
            Demand {
                prefill: raw.prefill * factor,
                decode: raw.decode * factor,
            }
        })
        .collect()
}

fn start() -> Vec<Engine> {
    (0..ENGINES)
        .map(|number| Engine {
            id: format!("engine-{number:02}").into(),
            role: if number < 9 {
                Role::Prefill
            } else {
                Role::Decode
            },
            changing: false,
            eligible: true,
            in_flight: 0,
        })
        .collect()
}

/// Runs a planner over a trace and returns the served share and the number of changes.
fn run(config: &Config, trace: &[Demand]) -> (f64, u32) {
    let mut planner = Planner::new(config.clone());
    let mut engines = start();
    let mut in_progress: Vec<(usize, Change)> = Vec::new();
    let mut smoothed = trace[0];
    let (mut sum, mut changes) = (0.0, 0);
    for (at, demand) in trace.iter().enumerate() {
        smoothed.prefill += SMOOTHING * (demand.prefill - smoothed.prefill);
        smoothed.decode += SMOOTHING * (demand.decode - smoothed.decode);
        in_progress.retain(|(end, change)| {
            let over = *end <= at;
            set(&mut engines, change, !over);
            !over
        });
        let input = Input {
            demand: smoothed,
            engines: &engines,
        };
        let now: Moment = Duration::from_secs(at as u64);
        for change in planner.step(now, &input) {
            set(&mut engines, &change, true);
            changes += 1;
            in_progress.push((at + config.change_duration.as_secs() as usize, change));
        }
        let available = engines.iter().filter(|engine| engine.eligible);
        let counts = Counts::of(available.map(|engine| engine.role));
        sum += served_share(&config.frontiers, counts, *demand);
    }
    (sum / trace.len() as f64, changes)
}

/// Sets an engine's new role; the engine is out of service while the change is in progress.
fn set(engines: &mut [Engine], change: &Change, in_progress: bool) {
    let engine = engines.iter_mut().find(|engine| engine.id == change.engine);
    let engine = engine.expect("planners return known engines");
    engine.role = change.role;
    engine.changing = in_progress;
    engine.eligible = !in_progress;
}

fn main() {
    for (name, frontiers) in [
        ("stand-in's frontiers", frontiers()),
        ("strict roles", strict()),
    ] {
        println!("{name}: {ENGINES} engines, load {LOAD} of the best roles of the moment");
        println!(
            "{:<14} {:>13} {:>13} {:>13} {:>13} {:>13} {:>13} {:>13}",
            "trace", "static", "threshold", "gain 0.2 x3", "gain 0.2", "gain 5", "gain 20", "bound"
        );
        for (trace_name, trace) in TRACES {
            let plain = config(Kind::Static, 0.0, 1, frontiers);
            let trace = demands(&plain, trace);
            print!("{trace_name:<14}");
            for (kind, price, parallel) in [
                (Kind::Static, 0.0, 1),
                (Kind::Threshold, 0.0, 1),
                (Kind::Gain, 0.2, 3),
                (Kind::Gain, 0.2, 1),
                (Kind::Gain, 5.0, 1),
                (Kind::Gain, 20.0, 1),
            ] {
                let config = config(kind, price, parallel, frontiers);
                let (served, changes) = run(&config, &trace);
                print!(" {:>13}", format!("{served:.3} / {changes}"));
            }
            let start = Counts::of(start().iter().map(|engine| engine.role));
            let best = optimum::solve(&plain, start, &trace);
            println!(" {:>13}", format!("{:.3} / {}", best.served, best.changes));
        }
    }
}
