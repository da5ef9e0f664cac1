//! Role planning.

use std::time::Duration;

use clock::Moment;
use proptest::prelude::*;
use routing::{
    plan::{
        Change, Config, Engine, Input, Kind, Planner, RoleBounds,
        capacity::{Counts, Demand, Frontier, Frontiers, headroom, served_share},
        optimum,
    },
    upstream::Role,
};

const CHANGE_S: usize = 5;

fn frontiers() -> Frontiers {
    let frontier = |prefill, decode, overlap| Frontier {
        prefill,
        decode,
        overlap,
    };
    Frontiers {
        mixed: frontier(15_000.0, 4_400.0, 0.57),
        prefill: frontier(19_000.0, 0.0, 0.5),
        decode: frontier(3_000.0, 4_400.0, 0.5),
    }
}

fn config(kind: Kind, price: f64) -> Config {
    Config {
        kind,
        price,
        change_duration: Duration::from_secs(CHANGE_S as u64),
        max_parallel: 1,
        bounds: [
            RoleBounds { min: 0, max: 0 },
            RoleBounds { min: 1, max: 9 },
            RoleBounds { min: 1, max: 9 },
        ],
        frontiers: frontiers(),
    }
}

fn engines(prefill: usize, decode: usize) -> Vec<Engine> {
    (0..prefill + decode)
        .map(|number| Engine {
            id: format!("engine-{number:02}").into(),
            role: if number < prefill {
                Role::Prefill
            } else {
                Role::Decode
            },
            changing: false,
            eligible: true,
            in_flight: 10 + number as u32,
        })
        .collect()
}

/// Demand with this share of prefill that uses nine tenths of ten engines.
fn demand(share: f64) -> Demand {
    Demand {
        prefill: share * 9.0 * 19_000.0,
        decode: (1.0 - share) * 9.0 * 4_400.0,
    }
}

/// Runs a planner over a trace, applies its proposals, and returns the served share and the
/// changes.
fn run(config: &Config, engines: &mut [Engine], trace: &[Demand]) -> (f64, Vec<Change>) {
    let mut planner = Planner::new(config.clone());
    let mut in_progress: Vec<(usize, Change)> = Vec::new();
    let (mut sum, mut changes) = (0.0, Vec::new());
    for (at, demand) in trace.iter().enumerate() {
        in_progress.retain(|(end, change)| {
            set(engines, change, *end > at);
            *end > at
        });
        let now: Moment = Duration::from_secs(at as u64);
        let input = Input {
            demand: *demand,
            engines,
        };
        for change in planner.step(now, &input) {
            set(engines, &change, true);
            in_progress.push((at + CHANGE_S, change.clone()));
            changes.push(change);
        }
        let available = engines.iter().filter(|engine| engine.eligible);
        let counts = Counts::of(available.map(|engine| engine.role));
        sum += served_share(&config.frontiers, counts, *demand);
    }
    (sum / trace.len() as f64, changes)
}

fn set(engines: &mut [Engine], change: &Change, in_progress: bool) {
    let engine = engines.iter_mut().find(|engine| engine.id == change.engine);
    let engine = engine.expect("planners return known engines");
    engine.role = change.role;
    engine.changing = in_progress;
    engine.eligible = !in_progress;
}

fn shifted(seconds: usize) -> Vec<Demand> {
    let share = |at| if at < seconds / 3 { 0.5 } else { 0.75 };
    (0..seconds).map(|at| demand(share(at))).collect()
}

fn alternating(seconds: usize, period: usize) -> Vec<Demand> {
    let share = |at: usize| {
        if (at / (period / 2)).is_multiple_of(2) {
            0.3
        } else {
            0.7
        }
    };
    (0..seconds).map(|at| demand(share(at))).collect()
}

#[test]
fn matching_roles_are_not_changed() {
    let trace = vec![demand(0.5); 300];
    for kind in [Kind::Static, Kind::Threshold, Kind::Gain] {
        let (served, changes) = run(&config(kind, 0.0), &mut engines(5, 5), &trace);
        assert!(changes.is_empty(), "{kind:?}: {changes:?}");
        assert!(served > 0.9);
    }
}

#[test]
fn a_lasting_shift_changes_roles() {
    let mut fleet = engines(5, 5);
    let (served, changes) = run(&config(Kind::Gain, 0.2), &mut fleet, &shifted(300));
    let (fixed, _) = run(
        &config(Kind::Static, 0.2),
        &mut engines(5, 5),
        &shifted(300),
    );
    assert!(served > fixed + 0.1, "{served} against {fixed}");
    assert!((1..=4).contains(&changes.len()), "{changes:?}");
    assert!(changes.iter().all(|change| change.role == Role::Prefill));
    // The decode engine with the fewest requests in flight is changed first.
    assert_eq!(&*changes[0].engine, "engine-05");
}

#[test]
fn fluctuations_faster_than_a_change_are_ignored() {
    // Guards against role changes that chase a fluctuating mix. Each change is right when ordered
    // and wrong when complete if the mix alternates every four seconds and a change takes five;
    // goodput then falls below that of static roles.
    let trace = alternating(600, 8);
    let (served, changes) = run(&config(Kind::Gain, 0.2), &mut engines(5, 5), &trace);
    let (fixed, _) = run(&config(Kind::Static, 0.2), &mut engines(5, 5), &trace);
    assert!(changes.len() <= 3, "{}", changes.len());
    assert!(served > fixed - 0.01, "{served} against {fixed}");
}

#[test]
fn a_higher_price_leads_to_fewer_changes() {
    let trace = alternating(900, 120);
    let count = |price| {
        let config = config(Kind::Gain, price);
        run(&config, &mut engines(5, 5), &trace).1.len()
    };
    let counts = [count(0.0), count(2.0), count(10.0), count(1_000.0)];
    assert!(counts.is_sorted_by(|a, b| a >= b), "{counts:?}");
    assert_eq!(counts[3], 0);
}

#[test]
fn bounds_and_ineligible_engines_are_respected() {
    let mut config = config(Kind::Gain, 0.0);
    config.bounds[Role::Decode as usize].min = 4;
    let trace = vec![demand(0.95); 120];
    let mut fleet = engines(5, 5);
    fleet[6].eligible = false;
    let (_, changes) = run(&config, &mut fleet, &trace);
    assert_eq!(changes.len(), 1);
    assert_ne!(&*changes[0].engine, "engine-06");
}

#[test]
fn no_planner_exceeds_the_offline_optimum() {
    for trace in [shifted(200), alternating(200, 60), alternating(200, 20)] {
        let start = Counts::new([0, 5, 5]);
        let best = optimum::solve(&config(Kind::Gain, 0.0), start, &trace);
        for (kind, price) in [
            (Kind::Static, 0.0),
            (Kind::Threshold, 0.0),
            (Kind::Gain, 0.0),
        ] {
            let (served, _) = run(&config(kind, price), &mut engines(5, 5), &trace);
            assert!(served <= best.served + 1e-9, "{kind:?}: {served} {best:?}");
        }
    }
}

proptest! {
    #[test]
    fn headroom_is_inverse_to_demand(
        counts in prop::array::uniform3(0_u32..20),
        prefill in 1.0_f64..1e6,
        decode in 1.0_f64..1e6,
        factor in 0.1_f64..10.0,
    ) {
        let counts = Counts::new(counts);
        let one = headroom(&frontiers(), counts, Demand { prefill, decode });
        let scaled = Demand { prefill: prefill * factor, decode: decode * factor };
        let other = headroom(&frontiers(), counts, scaled);
        prop_assert!((one - other * factor).abs() <= 1e-9 * one.max(1.0));
    }

    #[test]
    fn another_engine_never_lowers_the_headroom(
        counts in prop::array::uniform3(0_u32..20),
        prefill in 0.0_f64..1e6,
        decode in 1.0_f64..1e6,
        role in 0_usize..3,
    ) {
        let demand = Demand { prefill, decode };
        let role = [Role::Mixed, Role::Prefill, Role::Decode][role];
        let before = headroom(&frontiers(), Counts::new(counts), demand);
        let after = headroom(&frontiers(), Counts::new(counts).with(role, 1), demand);
        prop_assert!(after >= before - 1e-9);
    }
}
