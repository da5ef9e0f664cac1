//! Upstreams that are drained, leave or are withdrawn under load.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::changes::finally;
use fleet::load::Load;
use fleet::{Caller, Fleet};
use serde_json::{Value, json};

async fn jobs(fleet: &Fleet, engine: &str) -> u64 {
    fleet.obeyed(engine).await["jobs"].as_u64().unwrap()
}

/// Waits until all entries show this state of an engine and it has nothing open; then, while
/// callers go on, no further work may come there.
async fn assert_left_alone(fleet: &Fleet, load: &Load, engine: &str, state: &str) {
    for entry in 0..fleet.entries.len() {
        fleet.upstream_state(entry, engine, state).await;
    }
    finally("the engine is empty", async || {
        let state = fleet.engine_state(engine).await;
        if state["open"] == 0 {
            Ok(())
        } else {
            Err(state)
        }
    })
    .await;
    let before = jobs(fleet, engine).await;
    load.more(30).await;
    assert_eq!(jobs(fleet, engine).await, before, "new work at {engine}");
}

async fn edit(fleet: &Fleet, engine: &str, value: Value) {
    let operator = fleet.operator(0);
    let catalogue = operator.get("/admin/v1/catalogue").await.unwrap().json();
    let edit = json!({
        "base_revision": catalogue["revision"], "operator": "ana",
        "changes": [{ "kind": "drain", "name": engine, "value": value }],
    });
    let answer = operator.post("/admin/v1/catalogue/edits", edit.to_string());
    assert_eq!(answer.await.unwrap().status, 200);
}

// Symptom: streams are cut by a drain, or one entry goes on sending there, or for ever none does.
// Sequence: an operator drains an engine under the load of several entries, and ends the drain.
// Cause: a drain that is known to the entry only at which it was made.
#[actix_rt::test]
async fn a_drain_is_kept_by_all_entries_and_ends_for_all() {
    let (fleet, callers) = Fleet::changing(3, 3).await;
    let load = Load::start(&callers, 6);
    load.more(6).await;
    edit(&fleet, "engine-1", json!({ "reason": "a trial" })).await;
    assert_left_alone(&fleet, &load, "engine-1", "drained").await;
    edit(&fleet, "engine-1", Value::Null).await;
    fleet.in_use(&[0, 1, 2], "engine-1").await;
    let before = jobs(&fleet, "engine-1").await;
    finally("work comes again", async || {
        let now = jobs(&fleet, "engine-1").await;
        if now > before {
            Ok(())
        } else {
            Err(json!(now))
        }
    })
    .await;
    load.assert_whole().await;
    fleet.assert_obeyed("engine-1", 0).await;
}

// Symptom: work arrives at an engine that the platform takes away, or its streams break.
// Sequence: an engine is marked as leaving under load, is empty and is withdrawn.
// Cause: the list is read by one entry only, or a leaving upstream counts as a live one.
#[actix_rt::test]
async fn a_leaving_engine_gets_no_new_work_and_goes_unnoticed() {
    let (mut fleet, callers) = Fleet::changing(3, 3).await;
    let load = Load::start(&callers, 6);
    load.more(6).await;
    let platform = Caller::new(&fleet.platform.address, "");
    let left = platform
        .post("/instances/engine-3/leave", "")
        .await
        .unwrap();
    assert!(left.status < 300, "{left:?}");
    assert_left_alone(&fleet, &load, "engine-3", "leaving").await;
    fleet.unlist("engine-3").await;
    fleet.engines[2].signal("TERM");
    assert!(fleet.engines[2].wait().success());
    load.more(10).await;
    load.assert_whole().await;
}
