//! Upstreams that are drained, leave or are removed under load.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::changes::wait_until;
use fleet::load::Load;
use fleet::{Caller, Fleet};
use serde_json::{Value, json};

async fn jobs(fleet: &Fleet, engine: &str) -> u64 {
    fleet.order_counts(engine).await["jobs"].as_u64().unwrap()
}

/// Waits until all entries report this state of an engine and it is idle, and checks that it then
/// gets no new work under load.
async fn assert_no_new_work(fleet: &Fleet, load: &Load, engine: &str, state: &str) {
    for entry in 0..fleet.entries.len() {
        fleet.upstream_state(entry, engine, state).await;
    }
    wait_until("the engine is idle", async || {
        let state = fleet.engine_state(engine).await;
        if state["open"] == 0 {
            Ok(())
        } else {
            Err(state)
        }
    })
    .await;
    let before = jobs(fleet, engine).await;
    load.wait_for_streams(30).await;
    assert_eq!(jobs(fleet, engine).await, before, "new work at {engine}");
}

async fn edit_drain(fleet: &Fleet, engine: &str, value: Value) {
    let operator = fleet.operator(0);
    let catalogue = operator.get("/admin/v1/catalogue").await.unwrap().json();
    let edit = json!({
        "base_revision": catalogue["revision"], "operator": "ana",
        "changes": [{ "kind": "drain", "name": engine, "value": value }],
    });
    let answer = operator.post("/admin/v1/catalogue/edits", edit.to_string());
    assert_eq!(answer.await.unwrap().status, 200);
}

/// An operator drains an engine under load from several entries, and later ends the drain. A drain
/// known only to the entry that accepted it would let the other entries send work there.
#[actix_rt::test]
async fn drain_starts_and_ends_at_all_entries() {
    let (fleet, callers) = Fleet::for_changes(3, 3).await;
    let load = Load::start(&callers, 6);
    load.wait_for_streams(6).await;
    edit_drain(&fleet, "engine-1", json!({ "reason": "a trial" })).await;
    assert_no_new_work(&fleet, &load, "engine-1", "drained").await;
    edit_drain(&fleet, "engine-1", Value::Null).await;
    fleet.wait_live(&[0, 1, 2], "engine-1").await;
    let before = jobs(&fleet, "engine-1").await;
    wait_until("work arrives again", async || {
        let now = jobs(&fleet, "engine-1").await;
        if now > before {
            Ok(())
        } else {
            Err(json!(now))
        }
    })
    .await;
    load.assert_complete().await;
    fleet.assert_orders_begun("engine-1", 0).await;
}

/// An engine is marked as leaving under load, becomes idle and is removed. Work would still arrive
/// there, and streams would break, if only one entry read the list or a leaving upstream counted as
/// live.
#[actix_rt::test]
async fn leaving_engine_gets_no_new_work_and_interrupts_no_stream() {
    let (mut fleet, callers) = Fleet::for_changes(3, 3).await;
    let load = Load::start(&callers, 6);
    load.wait_for_streams(6).await;
    let platform = Caller::new(&fleet.platform.address, "");
    let left = platform
        .post("/instances/engine-3/leave", "")
        .await
        .unwrap();
    assert!(left.status < 300, "{left:?}");
    assert_no_new_work(&fleet, &load, "engine-3", "leaving").await;
    fleet.unlist("engine-3").await;
    fleet.engines[2].signal("TERM");
    assert!(fleet.engines[2].wait().success());
    load.wait_for_streams(10).await;
    load.assert_complete().await;
}
