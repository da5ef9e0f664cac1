//! Engines that crash, refuse or stop responding during an order.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::changes::{load_model, set_role, wait_until};
use fleet::load::Load;
use fleet::{Fleet, fault};
use serde_json::json;

/// One engine exits during its order, another never finishes its own, and a third gets an order
/// afterwards. Then the first two are restarted without state. A planner must not wait for one
/// engine, and must not report an order as done because it was sent.
#[actix_rt::test]
async fn crashed_and_hanging_engines_do_not_block_other_changes() {
    let (mut fleet, callers) = Fleet::for_changes(4, 2).await;
    fault(&fleet.engines[0], json!({ "exit_orders": 1 })).await;
    fault(&fleet.engines[1], json!({ "stuck_orders": 1 })).await;
    let load = Load::start(&callers, 4);
    fleet
        .request_change(0, &set_role("engine-1", "decode"))
        .await;
    let ended = actix_rt::task::spawn_blocking({
        let mut crashed = fleet.engines.remove(0);
        move || (crashed.wait(), crashed)
    });
    let (status, crashed) = ended.await.unwrap();
    fleet.engines.insert(0, crashed);
    assert_eq!(status.code(), Some(70));
    let holder = fleet.holder(&[0, 1]).await;
    fleet.at_step(holder, "engine-1", &["running"]).await;
    fleet.request_change(1, &load_model("engine-3", "1")).await;
    assert_eq!(fleet.concluded(1, "engine-3", 1).await, ["done"]);
    // The order is still listed, and the engine is still closed at all entries.
    fleet.at_step(holder, "engine-1", &["running"]).await;
    fleet.restart_engine(0, &["--time-scale", "3"]);
    assert_eq!(fleet.concluded(1, "engine-1", 1).await, ["undone"]);
    fleet.wait_live(&[0, 1], "engine-1").await;

    fleet
        .request_change(1, &set_role("engine-2", "decode"))
        .await;
    fleet.at_step(holder, "engine-2", &["running"]).await;
    fleet.request_change(1, &load_model("engine-4", "1")).await;
    assert_eq!(fleet.concluded(0, "engine-4", 1).await, ["done"]);
    fleet.at_step(holder, "engine-2", &["running"]).await;
    fleet.assert_orders_begun("engine-2", 1).await;
    fleet.restart_engine(1, &["--time-scale", "3"]);
    assert_eq!(fleet.concluded(0, "engine-2", 1).await, ["undone"]);
    fleet.wait_live(&[0, 1], "engine-2").await;
    load.wait_for_streams(4).await;
    load.assert_complete().await;
    for (engine, orders) in [
        ("engine-1", 0),
        ("engine-2", 0),
        ("engine-3", 1),
        ("engine-4", 1),
    ] {
        fleet.assert_orders_begun(engine, orders).await;
    }
}

/// The engine knows a newer fencing token than any that the entries can have, and refuses the
/// order. If the outcome were judged by the sending, the order would be reported as done; it must
/// not be sent forever either.
#[actix_rt::test]
async fn an_order_that_the_engine_refuses_is_undone() {
    let (fleet, callers) = Fleet::for_changes(2, 2).await;
    let load = Load::start(&callers, 4);
    let ahead = json!({ "order": 1_000_000, "fence": 1_000_000 });
    let engine = fleet::Caller::new(&fleet.engines[0].address, "");
    let answer = engine.post("/engine/cancel-order", ahead.to_string()).await;
    assert_eq!(answer.unwrap().status, 200);
    fleet
        .request_change(0, &set_role("engine-1", "decode"))
        .await;
    assert_eq!(fleet.concluded(1, "engine-1", 1).await, ["undone"]);
    fleet.wait_live(&[0, 1], "engine-1").await;
    fleet.assert_orders_begun("engine-1", 0).await;
    assert!(fleet.order_counts("engine-1").await["refused"].as_u64() > Some(0));
    assert_eq!(fleet.engine_state("engine-1").await["role"], "mixed");
    load.assert_complete().await;
}

/// An engine is stopped before it gets its order, another one is changed meanwhile, and then the
/// first continues. Silence must not be taken for an answer, and must not block the changes of
/// other engines.
#[actix_rt::test]
async fn unresponsive_engine_blocks_only_its_own_order() {
    let (fleet, _) = Fleet::for_changes(3, 2).await;
    let holder = fleet.holder(&[0, 1]).await;
    fleet.engines[0].stop();
    fleet
        .request_change(0, &set_role("engine-1", "decode"))
        .await;
    let order = fleet
        .at_step(holder, "engine-1", &["survey", "closing", "draining"])
        .await;
    fleet.request_change(1, &load_model("engine-2", "1")).await;
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
    wait_until("the engine has its role", async || {
        let state = fleet.engine_state("engine-1").await;
        if state["role"] == "decode" {
            Ok(())
        } else {
            Err(state)
        }
    })
    .await;
    fleet.assert_orders_begun("engine-1", 1).await;
}
