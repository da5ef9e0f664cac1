//! Planned changes under load, requested by operators and carried out by real processes.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::changes::{load_model, set_role, wait_until};
use fleet::load::Load;
use fleet::{Fleet, LIMA, fault};
use serde_json::json;

/// A role is changed and changed back under load, each time requested at another entry. Streams
/// would be interrupted if the order were sent before all entries have confirmed, and the engine
/// would get no more work if it were not reopened afterwards.
#[actix_rt::test]
async fn role_change_under_load_interrupts_no_stream_and_is_ordered_once() {
    let (fleet, callers) = Fleet::for_changes(3, 3).await;
    let load = Load::start(&callers, 6);
    load.wait_for_streams(9).await;
    for (count, role) in [(1, "decode"), (2, "mixed")] {
        fleet
            .request_change(count, &set_role("engine-1", role))
            .await;
        for entry in 0..3 {
            let ends = fleet.concluded(entry, "engine-1", count).await;
            assert!(ends.iter().all(|end| end == "done"), "{ends:?}");
        }
        assert_eq!(fleet.engine_state("engine-1").await["role"], role);
        fleet.assert_orders_begun("engine-1", count).await;
    }
    fleet.wait_live(&[0, 1, 2], "engine-1").await;
    wait_until("the engine takes work again", async || {
        let state = fleet.engine_state("engine-1").await;
        let open = state["open"].as_u64() > Some(0);
        if open { Ok(()) } else { Err(state) }
    })
    .await;
    println!("{} streams", load.assert_complete().await);
    fleet.assert_orders_begun("engine-1", 2).await;
}

/// Four engines are ordered to load a model at once, and one of them fails. The planner must not
/// let the others wait for it, and must judge by the state read back from the engine instead of its
/// answer.
#[actix_rt::test]
async fn only_the_failed_one_of_several_changes_is_undone() {
    let (fleet, callers) = Fleet::for_changes(4, 2).await;
    fault(&fleet.engines[2], json!({ "fail_orders": 1 })).await;
    let load = Load::start(&callers, 6);
    let engines = ["engine-1", "engine-2", "engine-3", "engine-4"];
    for (index, engine) in engines.iter().enumerate() {
        fleet
            .request_change(index % 2, &load_model(engine, "1"))
            .await;
    }
    for engine in engines {
        let ends = fleet.concluded(1, engine, 1).await;
        let failed = engine == "engine-3";
        assert_eq!(ends, [if failed { "undone" } else { "done" }], "{engine}");
        let models = &fleet.engine_state(engine).await["models"];
        assert_eq!(models.as_array().unwrap().is_empty(), failed, "{models}");
        fleet.wait_live(&[0, 1], engine).await;
    }
    load.assert_complete().await;
    for engine in engines {
        fleet.assert_orders_begun(engine, 1).await;
    }
}

/// The holder gets SIGTERM while streams keep an engine from being drained. Its confirmations and
/// its scope must not be lost with it: the change would hang, or streams would be interrupted.
#[actix_rt::test]
async fn holder_is_replaced_during_a_change() {
    let (mut fleet, mut callers) = Fleet::for_changes(3, 3).await;
    let holder = fleet.holder(&[0, 1, 2]).await;
    let late = fleet.add_entry();
    fleet.list_entry(late).await;
    fleet.entry_ready(&fleet.entries[late]).await;
    callers.push(fleet.caller(late, LIMA));
    let load = Load::start(&callers, 6);
    load.wait_for_streams(3).await;
    fleet
        .request_change(late, &set_role("engine-2", "decode"))
        .await;
    fleet
        .at_step(holder, "engine-2", &["survey", "closing"])
        .await;
    fleet.entries[holder].signal("TERM");
    let ended = fleet.entries[holder].wait();
    assert!(ended.success(), "{ended}");
    fleet.unlist(&format!("entry-{holder}")).await;
    let ends = fleet.concluded(late, "engine-2", 1).await;
    fleet.wait_live(&[late], "engine-2").await;
    println!("{ends:?}, {} streams", load.assert_complete().await);
    let role = fleet.engine_state("engine-2").await["role"].clone();
    match ends[0].as_str() {
        "done" => assert_eq!(role, "decode"),
        end => assert_eq!((end, role), ("undone", json!("mixed"))),
    }
    let begun = usize::from(ends[0] == "done");
    fleet.assert_orders_begun("engine-2", begun).await;
}
