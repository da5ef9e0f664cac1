//! Engines that crash, refuse or fall silent in the middle of an order.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::changes::{finally, load_model, set_role};
use fleet::load::Load;
use fleet::{Fleet, fault};
use serde_json::json;

// Symptom: a crashed engine blocks the changes of others, or its order is told as done.
// Sequence: one engine exits partway through its order, another never ends its own; a third is
// ordered afterwards. Then the two are started again, and know nothing.
// Cause: a planner that waits for one engine, or that trusts what was sent.
#[actix_rt::test]
async fn engines_that_crash_and_hang_are_shown_and_stop_no_others() {
    let (mut fleet, callers) = Fleet::changing(4, 2).await;
    fault(&fleet.engines[0], json!({ "exit_orders": 1 })).await;
    fault(&fleet.engines[1], json!({ "stuck_orders": 1 })).await;
    let load = Load::start(&callers, 4);
    fleet.ask(0, &set_role("engine-1", "decode")).await;
    let ended = actix_rt::task::spawn_blocking({
        let mut crashed = fleet.engines.remove(0);
        move || (crashed.wait(), crashed)
    });
    let (status, crashed) = ended.await.unwrap();
    fleet.engines.insert(0, crashed);
    assert_eq!(status.code(), Some(70));
    let holder = fleet.holder(&[0, 1]).await;
    fleet.at_step(holder, "engine-1", &["running"]).await;
    fleet.ask(1, &load_model("engine-3", "1")).await;
    assert_eq!(fleet.concluded(1, "engine-3", 1).await, ["done"]);
    // Still shown, and closed everywhere.
    fleet.at_step(holder, "engine-1", &["running"]).await;
    fleet.restart_engine(0, &["--time-scale", "3"]);
    assert_eq!(fleet.concluded(1, "engine-1", 1).await, ["undone"]);
    fleet.in_use(&[0, 1], "engine-1").await;

    fleet.ask(1, &set_role("engine-2", "decode")).await;
    fleet.at_step(holder, "engine-2", &["running"]).await;
    fleet.ask(1, &load_model("engine-4", "1")).await;
    assert_eq!(fleet.concluded(0, "engine-4", 1).await, ["done"]);
    fleet.at_step(holder, "engine-2", &["running"]).await;
    fleet.assert_obeyed("engine-2", 1).await;
    fleet.restart_engine(1, &["--time-scale", "3"]);
    assert_eq!(fleet.concluded(0, "engine-2", 1).await, ["undone"]);
    fleet.in_use(&[0, 1], "engine-2").await;
    load.more(4).await;
    load.assert_whole().await;
    for (engine, orders) in [
        ("engine-1", 0),
        ("engine-2", 0),
        ("engine-3", 1),
        ("engine-4", 1),
    ] {
        fleet.assert_obeyed(engine, orders).await;
    }
}

// Symptom: an order that was refused is told as done, or is sent for ever.
// Sequence: an engine knows a newer fence than any that the fleet can have.
// Cause: an outcome that is judged by the sending.
#[actix_rt::test]
async fn an_order_that_the_engine_refuses_is_undone() {
    let (fleet, callers) = Fleet::changing(2, 2).await;
    let load = Load::start(&callers, 4);
    let ahead = json!({ "order": 1_000_000, "fence": 1_000_000 });
    let engine = fleet::Caller::new(&fleet.engines[0].address, "");
    let answer = engine.post("/engine/cancel-order", ahead.to_string()).await;
    assert_eq!(answer.unwrap().status, 200);
    fleet.ask(0, &set_role("engine-1", "decode")).await;
    assert_eq!(fleet.concluded(1, "engine-1", 1).await, ["undone"]);
    fleet.in_use(&[0, 1], "engine-1").await;
    fleet.assert_obeyed("engine-1", 0).await;
    assert!(fleet.obeyed("engine-1").await["refused"].as_u64() > Some(0));
    assert_eq!(fleet.engine_state("engine-1").await["role"], "mixed");
    load.assert_whole().await;
}

// Symptom: an engine that does not answer is taken for changed, or stops the others' changes.
// Sequence: an engine is stopped before it is ordered, another is ordered; the first goes on.
// Cause: silence that is taken for an answer.
#[actix_rt::test]
async fn an_engine_that_never_answers_keeps_its_order_only() {
    let (fleet, _) = Fleet::changing(3, 2).await;
    let holder = fleet.holder(&[0, 1]).await;
    fleet.engines[0].stop();
    fleet.ask(0, &set_role("engine-1", "decode")).await;
    let order = fleet
        .at_step(holder, "engine-1", &["survey", "closing", "draining"])
        .await;
    fleet.ask(1, &load_model("engine-2", "1")).await;
    assert_eq!(fleet.concluded(1, "engine-2", 1).await, ["done"]);
    let still = fleet
        .at_step(holder, "engine-1", &["survey", "closing", "draining"])
        .await;
    assert_eq!(still["order"], order["order"]);
    for entry in 0..2 {
        fleet.upstream_state(entry, "engine-1", "closed").await;
    }
    fleet.engines[0].signal("CONT");
    assert_eq!(fleet.concluded(1, "engine-1", 1).await, ["done"]);
    finally("the engine has its role", async || {
        let state = fleet.engine_state("engine-1").await;
        if state["role"] == "decode" {
            Ok(())
        } else {
            Err(state)
        }
    })
    .await;
    fleet.assert_obeyed("engine-1", 1).await;
}
