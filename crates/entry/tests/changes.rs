//! Planned changes under load, asked for by operators and carried out by real processes.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::changes::{finally, load_model, set_role};
use fleet::load::Load;
use fleet::{Fleet, LIMA, fault};
use serde_json::json;

// Symptom: a stream is cut by a change of role, the engine gets the order twice, or it stays away.
// Sequence: under streams, a role is changed there and back, each asked at another entry.
// Cause: an order that is sent before all entries have confirmed, or that opens nothing at its end.
#[actix_rt::test]
async fn a_change_of_role_under_load_cuts_nothing_and_is_ordered_once() {
    let (fleet, callers) = Fleet::changing(3, 3).await;
    let load = Load::start(&callers, 6);
    load.more(9).await;
    for (count, role) in [(1, "decode"), (2, "mixed")] {
        fleet.ask(count, &set_role("engine-1", role)).await;
        for entry in 0..3 {
            let ends = fleet.concluded(entry, "engine-1", count).await;
            assert!(ends.iter().all(|end| end == "done"), "{ends:?}");
        }
        assert_eq!(fleet.engine_state("engine-1").await["role"], role);
        fleet.assert_obeyed("engine-1", count).await;
    }
    fleet.in_use(&[0, 1, 2], "engine-1").await;
    finally("the engine takes work again", async || {
        let state = fleet.engine_state("engine-1").await;
        let open = state["open"].as_u64() > Some(0);
        if open { Ok(()) } else { Err(state) }
    })
    .await;
    println!("{} streams", load.assert_whole().await);
    fleet.assert_obeyed("engine-1", 2).await;
}

// Symptom: one change that fails stops the others, or is told as done.
// Sequence: four engines are to load a model at once; one of them fails to.
// Cause: a planner that waits for one, or that trusts an answer in place of the reading.
#[actix_rt::test]
async fn of_several_changes_at_once_only_the_one_that_fails_is_undone() {
    let (fleet, callers) = Fleet::changing(4, 2).await;
    fault(&fleet.engines[2], json!({ "fail_orders": 1 })).await;
    let load = Load::start(&callers, 6);
    let engines = ["engine-1", "engine-2", "engine-3", "engine-4"];
    for (index, engine) in engines.iter().enumerate() {
        fleet.ask(index % 2, &load_model(engine, "1")).await;
    }
    for engine in engines {
        let ends = fleet.concluded(1, engine, 1).await;
        let failed = engine == "engine-3";
        assert_eq!(ends, [if failed { "undone" } else { "done" }], "{engine}");
        let models = &fleet.engine_state(engine).await["models"];
        assert_eq!(models.as_array().unwrap().is_empty(), failed, "{models}");
        fleet.in_use(&[0, 1], engine).await;
    }
    load.assert_whole().await;
    for engine in engines {
        fleet.assert_obeyed(engine, 1).await;
    }
}

// Symptom: a change of role cuts streams or hangs when an entry is replaced.
// Sequence: while streams keep an engine from being drained, the holder gets SIGTERM.
// Cause: an entry that leaves takes its confirmations, or its scope, with it.
#[actix_rt::test]
async fn an_entry_is_replaced_in_the_middle_of_a_change() {
    let (mut fleet, mut callers) = Fleet::changing(3, 3).await;
    let holder = fleet.holder(&[0, 1, 2]).await;
    let late = fleet.add_entry();
    fleet.list_entry(late).await;
    fleet.entry_ready(&fleet.entries[late]).await;
    callers.push(fleet.caller(late, LIMA));
    let load = Load::start(&callers, 6);
    load.more(3).await;
    fleet.ask(late, &set_role("engine-2", "decode")).await;
    fleet
        .at_step(holder, "engine-2", &["survey", "closing"])
        .await;
    fleet.entries[holder].signal("TERM");
    let ended = fleet.entries[holder].wait();
    assert!(ended.success(), "{ended}");
    fleet.unlist(&format!("entry-{holder}")).await;
    let ends = fleet.concluded(late, "engine-2", 1).await;
    fleet.in_use(&[late], "engine-2").await;
    println!("{ends:?}, {} streams", load.assert_whole().await);
    let role = fleet.engine_state("engine-2").await["role"].clone();
    match ends[0].as_str() {
        "done" => assert_eq!(role, "decode"),
        end => assert_eq!((end, role), ("undone", json!("mixed"))),
    }
    let begun = usize::from(ends[0] == "done");
    fleet.assert_obeyed("engine-2", begun).await;
}
