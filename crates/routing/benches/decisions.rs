//! Micro-benchmarks of the decisions on the path of each request, and of role planning.
//!
//! `cargo bench -p routing`

use std::time::Duration;

use clock::Moment;
use divan::{Bencher, black_box};
use rand::{SeedableRng, rngs::SmallRng};
use routing::{
    affinity::History,
    choice::{Chooser, Policy, Work},
    class::Class,
    decision::{Decision, Progress},
    limit::{Config as LimitConfig, Limits, Quota, Usage},
    load::Load,
    members::Members,
    plan::{
        Config as PlanConfig, Engine, Input, Kind, Planner, RoleBounds,
        capacity::{Demand, Frontier, Frontiers},
    },
    pool::Config,
    request::{Prefix, Request, Subject},
    router::{Router, Settings},
    upstream::{Health, Report, Role, View},
};
use smallvec::smallvec;

const SIZES: [usize; 3] = [18, 67, 1_400];

const NOW: Moment = Duration::from_secs(100);

const DEFAULT: Policy = Policy::Affinity {
    samples: 4,
    memory: 0,
};

fn main() {
    divan::main();
}

fn view(number: usize) -> View {
    View {
        id: format!("engine-{number:04}").into(),
        one_way_latency: Duration::from_micros(500),
        role: Role::Mixed,
        models: smallvec!["verdict@3".into()],
        open: true,
        health: Health::Up,
        up_since: Moment::ZERO,
    }
}

fn members(config: &Config, count: usize) -> Members {
    let mut members = Members::new();
    members.set(config, (0..count).map(view).collect());
    for number in 0..count {
        let report = Report {
            at: NOW - Duration::from_secs(1),
            load: Load::of(number as u32 % 7 * 300, 200),
            waiting: 0,
            kv_used: 0.5,
            prefill_rate: 10_000.0,
            decode_slots: 32,
            draining: false,
        };
        members.apply_report(&format!("engine-{number:04}"), report);
    }
    members.refresh_statistics(NOW);
    members
}

fn prefixes(seed: u64) -> Vec<Prefix> {
    (1..=8_u32)
        .map(|block| Prefix {
            hash: (seed + u64::from(block)).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            tokens: block * 128,
        })
        .collect()
}

fn choose(bencher: Bencher<'_, '_>, policy: Policy, count: usize, prefixes: &[Prefix]) {
    let config = Config {
        policy,
        ..Config::new("pool")
    };
    let members = members(&config, count);
    let mut history = History::new(32_768);
    history.record(&self::prefixes(1), &members.at(3).view.id);
    let mut chooser = Chooser::new(SmallRng::seed_from_u64(1));
    let model = "verdict@3".into();
    let work = Work {
        model: Some(&model),
        prompt: 1_100,
        output: 200,
        prefixes,
        roles: &[Role::Mixed],
        excluded: &[],
    };
    bencher.bench_local(|| {
        black_box(chooser.choose(black_box(NOW), &config, &members, &history, &work))
    });
}

#[divan::bench(args = SIZES)]
fn choice(bencher: Bencher<'_, '_>, count: usize) {
    choose(bencher, DEFAULT, count, &[]);
}

#[divan::bench(args = SIZES)]
fn choice_with_known_prefix(bencher: Bencher<'_, '_>, count: usize) {
    choose(bencher, DEFAULT, count, &prefixes(1));
}

#[divan::bench(args = SIZES)]
fn choice_with_unseen_prefix(bencher: Bencher<'_, '_>, count: usize) {
    choose(bencher, DEFAULT, count, &prefixes(77));
}

#[divan::bench(args = SIZES)]
fn choice_drill(bencher: Bencher<'_, '_>, count: usize) {
    let drill = Policy::Drill {
        samples: 2,
        memory: 1,
    };
    choose(bencher, drill, count, &[]);
}

#[divan::bench(args = SIZES)]
fn choice_full_scan(bencher: Bencher<'_, '_>, count: usize) {
    choose(bencher, Policy::FullScan, count, &[]);
}

fn request() -> Request {
    Request {
        pool: "pool".into(),
        subjects: smallvec!["lima".into()],
        class: Class::Interactive,
        priority: 2,
        model: Some("verdict@3".into()),
        prompt_tokens: 1_100,
        output_tokens: 200,
        prefixes: prefixes(1).into(),
        streamed: true,
        deadline: NOW + Duration::from_secs(60),
        repeatable: true,
    }
}

fn router(count: usize) -> Router {
    let mut router = Router::new(Settings::default(), "entry-1", 1);
    router.set_pools(Moment::ZERO, vec![Config::new("pool")]);
    router.set_upstreams(Moment::ZERO, "pool", (0..count).map(view).collect());
    router
}

/// A request from admission to completion, with a first token and one batch of tokens.
#[divan::bench(args = SIZES)]
fn admission_to_end(bencher: Bencher<'_, '_>, count: usize) {
    let mut router = router(count);
    let request = request();
    bencher.bench_local(|| {
        let Decision::Send(assignment) = router.admit(NOW, request.clone()) else {
            return;
        };
        router.progress(NOW, assignment.attempt, Progress::Prefilled);
        router.progress(NOW, assignment.attempt, Progress::Tokens(200));
        black_box(router.finished(NOW, assignment.attempt));
    });
}

/// A request that is queued in a full pool and then cancelled.
#[divan::bench]
fn admission_to_queue(bencher: Bencher<'_, '_>) {
    let mut router = router(18);
    let request = request();
    while let Decision::Send(_) = router.admit(NOW, request.clone()) {}
    bencher.bench_local(|| match router.admit(NOW, request.clone()) {
        Decision::Wait(ticket) => router.cancel(ticket),
        other => drop(black_box(other)),
    });
}

#[divan::bench]
fn limit_check(bencher: Bencher<'_, '_>) {
    let subject: Subject = "lima".into();
    let mut limits = Limits::new(LimitConfig::default(), "entry-1");
    limits.set_quotas(
        Moment::ZERO,
        vec![Quota {
            subject: subject.clone(),
            requests: Some(1e12),
            tokens: Some(1e15),
            concurrent: Some(1_000),
        }],
    );
    limits.set_peers((2..=8).map(|peer| format!("entry-{peer}").into()));
    let subjects = [subject];
    bencher.bench_local(|| {
        black_box(limits.try_acquire(NOW, &subjects, 1_300)).ok();
        limits.release(&subjects, Usage::none(1_300));
    });
}

/// Planning for 18 engines with 15 minutes of history.
#[divan::bench]
fn plan(bencher: Bencher<'_, '_>) {
    let engines: Vec<Engine> = (0..18)
        .map(|number| Engine {
            id: format!("engine-{number:02}").into(),
            role: if number < 9 {
                Role::Prefill
            } else {
                Role::Decode
            },
            changing: false,
            eligible: true,
            in_flight: number,
        })
        .collect();
    let frontier = |prefill, decode| Frontier {
        prefill,
        decode,
        overlap: 0.57,
    };
    let span = RoleBounds { min: 0, max: 18 };
    let mut planner = Planner::new(PlanConfig {
        kind: Kind::Gain,
        price: 1e9,
        change_duration: Duration::from_secs(5),
        max_parallel: 1,
        bounds: [span, span, span],
        frontiers: Frontiers {
            mixed: frontier(15_200.0, 4_440.0),
            prefill: frontier(19_200.0, 900.0),
            decode: frontier(10_900.0, 4_440.0),
        },
    });
    let mut second = 0;
    let mut step = || {
        second += 1;
        let swing = 0.5 + 0.3 * (second as f64 / 20.0).sin();
        let input = Input {
            demand: Demand {
                prefill: swing * 300_000.0,
                decode: (1.0 - swing) * 80_000.0,
            },
            engines: &engines,
        };
        planner.step(Duration::from_secs(second), &input)
    };
    for _ in 0..900 {
        step();
    }
    bencher.bench_local(step);
}
