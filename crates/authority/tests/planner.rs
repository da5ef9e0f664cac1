//! Concurrent changes of one scope.

mod common;
#[path = "common/engine.rs"]
mod engine;
#[path = "common/harness.rs"]
mod harness;

use authority::change::Step;
use authority::engine::Progress;
use authority::order::{Model, Order, Role, Verdict};
use authority::planner::{Bounds, Input};
use harness::{BOUNDS, Harness, TIMING};
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
fn concurrent_changes_stay_within_the_bound() {
    let mut harness = Harness::new(true);
    let bounds = Bounds {
        max_concurrent: 1,
        ..BOUNDS
    };
    harness.planner.set_bounds(bounds, TIMING);
    for upstream in ["engine-1", "engine-2", "engine-3"] {
        harness.request_role(upstream);
    }
    assert_eq!(harness.state.pending_orders().count(), 1);
    assert_eq!(harness.planner.requested_changes().count(), 2);
}

#[test]
fn enough_upstreams_stay_open() {
    // One upstream fails while another is closed and a change of the third is requested. The failed
    // upstream must not count as open, or the pool would have no upstream left.
    let mut harness = Harness::new(true);
    harness.request_role("engine-1");
    let serving = ["engine-1", "engine-2"].map(str::to_owned);
    harness.step(Input::Serving(BTreeSet::from(serving)));
    harness.request_role("engine-2");
    harness.advance(5);
    assert!(harness.state.pending_order("engine-2").is_none());
    harness.request_role("engine-3");
    assert!(harness.state.pending_order("engine-3").is_some());
}

#[test]
fn unconfirmed_intent_counts_as_closed() {
    // The answers to two intents are lost. If only folded intents counted, a third would be sent,
    // and all three could be logged and close too many upstreams.
    let mut harness = Harness::new(true);
    let mut sent = 0;
    for upstream in ["engine-1", "engine-2", "engine-3"] {
        let request = Input::Request {
            upstream: upstream.to_owned(),
            action: Order::SetRole(Role::Decode),
            reason: authority::planner::Reason::Plan,
        };
        let outputs = harness
            .planner
            .step(harness.now, &harness.state, harness.grant, request);
        sent += outputs.len();
    }
    assert_eq!(sent, 2);
}

#[test]
fn weight_store_limit_covers_all_pending_orders() {
    let mut harness = Harness::new(true);
    harness.request("engine-1", load("1"));
    harness.request("engine-2", load("1"));
    for upstream in ["engine-1", "engine-2"] {
        harness.set_blockers(upstream, &[]);
    }
    harness.advance(10);
    assert_eq!(harness.step_of("engine-1"), Some(Step::Running));
    assert_eq!(harness.step_of("engine-2"), Some(Step::Sending));
    harness.engine("engine-1").finish(Progress::Done);
    harness.advance(3);
    assert_eq!(harness.step_of("engine-2"), Some(Step::Running));
}

#[test]
fn engine_that_differs_from_its_settled_state_is_repaired() {
    // After the outcome, the engine restarts or executes a copy of an old order. Without further
    // readings it would keep serving in a role that was not ordered.
    let mut harness = Harness::new(false);
    let bounds = Bounds {
        reconcile_interval: Duration::from_secs(10),
        ..BOUNDS
    };
    harness.planner.set_bounds(bounds, TIMING);
    harness.request_role("engine-1");
    harness.set_blockers("engine-1", &[]);
    harness.advance(6);
    harness.engine("engine-1").finish(Progress::Done);
    harness.advance(10);
    assert_eq!(harness.concluded, [(2, Verdict::Done)]);
    harness.engine("engine-1").restart();
    harness.advance(10);
    assert_eq!((harness.mismatches, harness.planner.mismatches()), (1, 1));
    let repair = harness.state.pending_order("engine-1").expect("a repair");
    assert_eq!(repair.action, Order::SetRole(Role::Decode));
}

#[test]
fn reading_older_than_the_newest_order_is_no_mismatch() {
    let mut harness = Harness::new(true);
    let before = harness.engine("engine-1").reading.clone();
    harness.request_role("engine-1");
    harness.set_blockers("engine-1", &[]);
    harness.advance(3);
    harness.engine("engine-1").finish(Progress::Done);
    harness.advance(3);
    harness.step(Input::Checked {
        upstream: "engine-1".to_owned(),
        settled: 0,
        reading: before,
    });
    assert_eq!(harness.mismatches, 0);
}

#[test]
fn replaced_holder_drops_its_changes() {
    let mut harness = Harness::new(true);
    harness.request_role("engine-1");
    assert!(!harness.planner.is_idle());
    harness.grant = None;
    harness.step(Input::Tick);
    assert!(harness.planner.is_idle());
    assert_eq!(harness.step_of("engine-1"), None);
}
