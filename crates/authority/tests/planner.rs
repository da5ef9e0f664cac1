//! Several planned changes of one scope.

#[path = "common/bench.rs"]
mod bench;
mod common;
#[path = "common/engine.rs"]
mod engine;

use authority::change::Step;
use authority::engine::Progress;
use authority::order::{Model, Order, Role, Verdict};
use authority::planner::{Bounds, Input};
use bench::{BOUNDS, Bench, PACE};
use std::collections::BTreeSet;
use std::time::Duration;

fn load(version: &str) -> Order {
    Order::LoadModel(Model {
        model: "verdict".to_owned(),
        adapter: String::new(),
        version: version.to_owned(),
    })
}

#[test]
fn no_more_changes_run_at_once_than_the_bound() {
    let mut bench = Bench::new(true);
    let bounds = Bounds {
        max_concurrent: 1,
        ..BOUNDS
    };
    bench.planner.set_bounds(bounds, PACE);
    for upstream in ["engine-1", "engine-2", "engine-3"] {
        bench.want_role(upstream);
    }
    assert_eq!(bench.state.pending_orders().count(), 1);
    assert_eq!(bench.planner.requested_changes().count(), 2);
}

#[test]
fn enough_upstreams_stay_open() {
    // Symptom: a pool has nobody left to serve it.
    // Sequence: one upstream fails while another is closed and a third is wanted.
    // Cause: the changes would be counted without the failure.
    let mut bench = Bench::new(true);
    bench.want_role("engine-1");
    let serving = ["engine-1", "engine-2"].map(str::to_owned);
    bench.step(Input::Serving(BTreeSet::from(serving)));
    bench.want_role("engine-2");
    bench.pass(5);
    assert!(bench.state.pending_order("engine-2").is_none());
    bench.want_role("engine-3");
    assert!(bench.state.pending_order("engine-3").is_some());
}

#[test]
fn intent_that_may_yet_land_counts_as_closed() {
    // Symptom: more upstreams are closed than may be.
    // Sequence: the answers to two intents are lost, a third is sent, all land.
    // Cause: only folded intents would count.
    let mut bench = Bench::new(true);
    let mut sent = 0;
    for upstream in ["engine-1", "engine-2", "engine-3"] {
        let want = Input::Request {
            upstream: upstream.to_owned(),
            action: Order::SetRole(Role::Decode),
            reason: authority::planner::Reason::Plan,
        };
        let outputs = bench
            .planner
            .step(bench.now, &bench.state, bench.grant, want);
        sent += outputs.len();
    }
    assert_eq!(sent, 2);
}

#[test]
fn weight_store_limit_holds_over_all_scopes() {
    let mut bench = Bench::new(true);
    bench.want("engine-1", load("1"));
    bench.want("engine-2", load("1"));
    for upstream in ["engine-1", "engine-2"] {
        bench.waiting(upstream, &[]);
    }
    bench.pass(10);
    assert_eq!(bench.at("engine-1"), Some(Step::Running));
    assert_eq!(bench.at("engine-2"), Some(Step::Sending));
    bench.engine("engine-1").end(Progress::Done);
    bench.pass(3);
    assert_eq!(bench.at("engine-2"), Some(Step::Running));
}

#[test]
fn engine_that_differs_from_what_was_settled_is_found_and_mended() {
    // Symptom: an engine serves with a role that nobody gave it.
    // Sequence: an order is concluded; the engine restarts, or a copy of an old order acts.
    // Cause: nobody would read the engine back after the outcome.
    let mut bench = Bench::new(false);
    let bounds = Bounds {
        reconcile_interval: Duration::from_secs(10),
        ..BOUNDS
    };
    bench.planner.set_bounds(bounds, PACE);
    bench.want_role("engine-1");
    bench.waiting("engine-1", &[]);
    bench.pass(6);
    bench.engine("engine-1").end(Progress::Done);
    bench.pass(10);
    assert_eq!(bench.concluded, [(2, Verdict::Done)]);
    bench.engine("engine-1").restart();
    bench.pass(10);
    assert_eq!((bench.mismatches, bench.planner.mismatches()), (1, 1));
    let repair = bench.state.pending_order("engine-1").expect("a repair");
    assert_eq!(repair.action, Order::SetRole(Role::Decode));
}

#[test]
fn reading_from_before_a_newer_order_is_no_mismatch() {
    let mut bench = Bench::new(true);
    let before = bench.engine("engine-1").reading.clone();
    bench.want_role("engine-1");
    bench.waiting("engine-1", &[]);
    bench.pass(3);
    bench.engine("engine-1").end(Progress::Done);
    bench.pass(3);
    bench.step(Input::Checked {
        upstream: "engine-1".to_owned(),
        settled: 0,
        reading: before,
    });
    assert_eq!(bench.mismatches, 0);
}

#[test]
fn holder_that_is_replaced_drops_its_changes() {
    let mut bench = Bench::new(true);
    bench.want_role("engine-1");
    assert!(!bench.planner.is_idle());
    bench.grant = None;
    bench.step(Input::Tick);
    assert!(bench.planner.is_idle());
    assert_eq!(bench.at("engine-1"), None);
}
