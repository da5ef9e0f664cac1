//! Holders of a pool that are killed or stopped during an order.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::changes::{set_role, wait_until};
use fleet::load::Load;
use fleet::{Fleet, fault};
use serde_json::{Value, json};

/// Requests a role change of `engine-1` at an entry that is not the holder; returns the holder and
/// that entry.
async fn request_role(fleet: &Fleet) -> (usize, usize) {
    let holder = fleet.holder(&[0, 1]).await;
    let other = 1 - holder;
    fleet
        .request_change(other, &set_role("engine-1", "decode"))
        .await;
    (holder, other)
}

/// Waits until the delayed order has reached the engine.
async fn wait_for_delayed_order(fleet: &Fleet) {
    wait_until("the delayed order arrives", async || {
        let order_counts = fleet.order_counts("engine-1").await;
        let came = order_counts["judged"].as_u64() > Some(0);
        if came { Ok(()) } else { Err(order_counts) }
    })
    .await;
}

/// Kills the holder and waits until the other entry has concluded its order. The verdict must match
/// the engine's state, and no stream may be interrupted, even after a delayed order has arrived.
async fn concluded_after_kill(
    mut fleet: Fleet,
    load: Load,
    holder: usize,
    sent: bool,
    begun: usize,
) -> String {
    let other = 1 - holder;
    fleet.entries[holder].signal("KILL");
    fleet.entries[holder].wait();
    fleet.log(json!({ "append": "none" })).await;
    // An entry that was killed without leaving is replaced under its id.
    fleet.restart_entry_at_its_address(holder);
    fleet.list_entry(holder).await;
    let ends = fleet.concluded(other, "engine-1", 1).await;
    assert_eq!(ends.len(), 1, "one order has one outcome: {ends:?}");
    if sent {
        wait_for_delayed_order(&fleet).await;
    }
    fleet.wait_live(&[0, 1], "engine-1").await;
    load.wait_for_streams(3).await;
    load.assert_complete().await;
    let state = fleet.engine_state("engine-1").await;
    let role = if ends[0] == "done" { "decode" } else { "mixed" };
    assert_eq!(state["role"], role, "{ends:?}: {state}");
    fleet.assert_orders_begun("engine-1", begun).await;
    ends[0].clone()
}

/// The holder is killed after its intent, while other entries still have streams at the engine. If
/// nobody resolved the intent, the engine would stay closed; if the successor sent the order
/// without confirmations, streams would be interrupted.
#[actix_rt::test]
async fn holder_is_killed_while_the_engine_is_closed() {
    let (fleet, callers) = Fleet::for_changes(2, 2).await;
    // Streams last long enough to be open when the holder is killed.
    fault(&fleet.engines[0], json!({ "slow": 4.0 })).await;
    let load = Load::start(&callers, 4);
    load.wait_for_streams(2).await;
    let (holder, _) = request_role(&fleet).await;
    fleet
        .at_step(holder, "engine-1", &["survey", "closing", "draining"])
        .await;
    let end = concluded_after_kill(fleet, load, holder, false, 0).await;
    assert_eq!(end, "undone");
}

/// The holder is killed while its order is in flight, delayed for longer than the successor needs.
/// If the successor concluded the order without barring it, the engine could act on an order that
/// was reported as undone, or hold the orders of two holders.
#[actix_rt::test]
async fn holder_is_killed_while_its_order_is_in_flight() {
    let (fleet, callers) = Fleet::for_changes(2, 2).await;
    fault(&fleet.engines[0], json!({ "order_delay_ms": 14_000 })).await;
    let load = Load::start(&callers, 4);
    let (holder, _) = request_role(&fleet).await;
    fleet.at_step(holder, "engine-1", &["sending"]).await;
    let end = concluded_after_kill(fleet, load, holder, true, 0).await;
    assert_eq!(end, "undone");
}

/// The holder is killed while the engine carries out its order. The successor must judge by the
/// state read from the engine, and neither give up the change nor start it again.
#[actix_rt::test]
async fn holder_is_killed_while_the_engine_carries_out_its_order() {
    let (mut fleet, _) = Fleet::for_changes(1, 2).await;
    fleet.add_engine(&["--time-scale", "3"]).await;
    let options = ["--time-scale", "3", "--role-change-ms", "30000"];
    fleet.restart_engine(0, &options);
    fleet.wait_live(&[0, 1], "engine-2").await;
    fleet.ready().await;
    let callers: Vec<_> = (0..2).map(|n| fleet.caller(n, fleet::LIMA)).collect();
    let load = Load::start(&callers, 4);
    let (holder, _) = request_role(&fleet).await;
    fleet.at_step(holder, "engine-1", &["running"]).await;
    let end = concluded_after_kill(fleet, load, holder, true, 1).await;
    assert_eq!(end, "done");
}

/// The log refuses the outcome, the holder is killed, and the log comes back. If only the killed
/// process knew the outcome, the order would stay without one, or a second order would follow.
#[actix_rt::test]
async fn holder_is_killed_before_logging_the_outcome() {
    let (fleet, callers) = Fleet::for_changes(2, 2).await;
    let load = Load::start(&callers, 4);
    let (holder, _) = request_role(&fleet).await;
    fleet.at_step(holder, "engine-1", &["running"]).await;
    fleet.log(json!({ "append": "refuse" })).await;
    wait_until("the engine has changed", async || {
        let state = fleet.engine_state("engine-1").await;
        let done = state["order"]["state"] == "done";
        if done { Ok(()) } else { Err(state) }
    })
    .await;
    let end = concluded_after_kill(fleet, load, holder, true, 1).await;
    assert_eq!(end, "done");
}

/// Stops the holder while its order is in flight, lets the successor conclude the order, and then
/// lets the order arrive and the holder continue. Also returns the successor: the old holder may
/// have restored a snapshot, which does not list concluded orders.
async fn stopped_past_its_lease(options: &[&str]) -> (Fleet, usize) {
    let (mut fleet, _) = Fleet::for_changes(2, 2).await;
    let mut all = vec!["--time-scale", "3"];
    all.extend(options);
    fleet.restart_engine(0, &all);
    fleet.ready().await;
    fault(&fleet.engines[0], json!({ "order_delay_ms": 25_000 })).await;
    let (holder, other) = request_role(&fleet).await;
    fleet.at_step(holder, "engine-1", &["sending"]).await;
    fleet.entries[holder].stop();
    let callers = [fleet.caller(other, fleet::LIMA)];
    let load = Load::start(&callers, 3);
    assert_eq!(fleet.concluded(other, "engine-1", 1).await, ["undone"]);
    assert_eq!(fleet.holder(&[other]).await, other);
    fleet.wait_live(&[other], "engine-1").await;
    load.wait_for_streams(3).await;
    // Later orders are not delayed, and none of them is the barred one.
    fault(&fleet.engines[0], json!({ "order_delay_ms": 0 })).await;
    fleet.entries[holder].signal("CONT");
    wait_until("the old holder knows its successor", async || {
        let status = fleet.status(holder).await;
        let scopes = status["scopes"].as_array().cloned().unwrap_or_default();
        let lost = |scope: &Value| scope["scope"] == "llm-pool" && scope["own"] == false;
        if scopes.iter().any(lost) {
            Ok(())
        } else {
            Err(status["scopes"].clone())
        }
    })
    .await;
    fleet.wait_live(&[0, 1], "engine-1").await;
    load.wait_for_streams(3).await;
    // A new holder sends nothing to an engine that ignores fencing tokens until its quarantine is
    // over, so in that case the holder is stopped before it has sent the order.
    if !options.contains(&"--ignore-fence") {
        wait_for_delayed_order(&fleet).await;
    }
    load.wait_for_streams(3).await;
    load.assert_complete().await;
    (fleet, other)
}

/// As in `stopped_past_its_lease`, with an engine that checks fencing tokens: an order of a process
/// that has lost its authority must not change the engine, because its successor barred it before
/// concluding it.
#[actix_rt::test]
async fn a_late_order_has_no_effect_at_an_engine_that_checks_fences() {
    let (fleet, _) = stopped_past_its_lease(&[]).await;
    fleet.assert_orders_begun("engine-1", 0).await;
    // Any other order of the old holder has a lower fencing token than the cancellation.
    let mut stray = set_role("engine-1", "prefill");
    stray["order"] = json!(1);
    stray["fence"] = json!(1);
    assert_eq!(fleet.stray_order("engine-1", &stray).await, 409);
    assert_eq!(fleet.order_counts("engine-1").await["refused"], 1);
    fleet.assert_orders_begun("engine-1", 0).await;
    assert_eq!(fleet.engine_state("engine-1").await["role"], "mixed");
}

/// As above, at an engine that ignores fencing tokens. Then the case that the documents leave open:
/// the engine restarts, so that it has lost the cancellation, and a late order arrives. Barring
/// prevents the first case; the second cannot be prevented and must be detected and repaired.
#[actix_rt::test]
async fn late_order_at_an_engine_that_ignores_fences_is_detected_and_repaired() {
    let (mut fleet, successor) = stopped_past_its_lease(&["--ignore-fence"]).await;
    fleet.assert_orders_begun("engine-1", 0).await;
    // A concluded order sets the engine's desired state.
    fleet
        .request_change(0, &set_role("engine-1", "prefill"))
        .await;
    fleet.concluded(successor, "engine-1", 2).await;
    let options = ["--ignore-fence", "--time-scale", "3", "--role", "prefill"];
    fleet.restart_engine(0, &options);
    let mut stray = set_role("engine-1", "decode");
    stray["order"] = json!(1);
    stray["fence"] = json!(1);
    assert_eq!(fleet.stray_order("engine-1", &stray).await, 202);
    let ends = fleet.concluded(successor, "engine-1", 3).await;
    assert_eq!(ends[0], "done");
    assert_eq!(fleet.engine_state("engine-1").await["role"], "prefill");
    let holder = fleet.holder(&[0, 1]).await;
    assert_eq!(fleet.status(holder).await["mismatches"], 1);
    fleet.wait_live(&[0, 1], "engine-1").await;
}
