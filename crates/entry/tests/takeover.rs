//! Holders of a pool that are killed or stopped in the middle of an order.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::changes::{finally, set_role};
use fleet::load::Load;
use fleet::{Fleet, fault};
use serde_json::{Value, json};

/// Asks for a role of `engine-1` at an entry that is not the holder; gives both.
async fn ordered(fleet: &Fleet) -> (usize, usize) {
    let holder = fleet.holder(&[0, 1]).await;
    let other = 1 - holder;
    fleet.ask(other, &set_role("engine-1", "decode")).await;
    (holder, other)
}

/// Waits until the order that was held up has come to the engine.
async fn arrived(fleet: &Fleet) {
    finally("the held order comes", async || {
        let obeyed = fleet.obeyed("engine-1").await;
        let came = obeyed["judged"].as_u64() > Some(0);
        if came { Ok(()) } else { Err(obeyed) }
    })
    .await;
}

/// Kills the holder and waits until the other has concluded what it left. The verdict must be
/// what the engine shows, and nothing may have been cut, also once an order that was sent has come.
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
    // Entries that left behind nothing but silence are replaced under their id.
    fleet.restart_entry_at_its_address(holder);
    fleet.list_entry(holder).await;
    let ends = fleet.concluded(other, "engine-1", 1).await;
    assert_eq!(ends.len(), 1, "one order, one end: {ends:?}");
    if sent {
        arrived(&fleet).await;
    }
    fleet.in_use(&[0, 1], "engine-1").await;
    load.more(3).await;
    load.assert_whole().await;
    let state = fleet.engine_state("engine-1").await;
    let role = if ends[0] == "done" { "decode" } else { "mixed" };
    assert_eq!(state["role"], role, "{ends:?}: {state}");
    fleet.assert_obeyed("engine-1", begun).await;
    ends[0].clone()
}

// Symptom: an engine that no order was sent to stays closed for ever, or its streams are cut.
// Sequence: the holder is killed after its intent, while others still have streams at the engine.
// Cause: nobody resolves the intent, or the successor sends what it saw no confirmations for.
#[actix_rt::test]
async fn a_holder_is_killed_while_the_engine_is_closed() {
    let (fleet, callers) = Fleet::changing(2, 2).await;
    // Streams take long enough to be there when the holder dies.
    fault(&fleet.engines[0], json!({ "slow": 4.0 })).await;
    let load = Load::start(&callers, 4);
    load.more(2).await;
    let (holder, _) = ordered(&fleet).await;
    fleet
        .at_step(holder, "engine-1", &["survey", "closing", "draining"])
        .await;
    let end = concluded_after_kill(fleet, load, holder, false, 0).await;
    assert_eq!(end, "undone");
}

// Symptom: an engine holds the orders of two holders, or acts on one that was told as undone.
// Sequence: the holder is killed while its order is on its way, held up for longer than the
// successor needs.
// Cause: a successor that concludes without having barred the order.
#[actix_rt::test]
async fn a_holder_is_killed_while_its_order_is_on_its_way() {
    let (fleet, callers) = Fleet::changing(2, 2).await;
    fault(&fleet.engines[0], json!({ "order_delay_ms": 14_000 })).await;
    let load = Load::start(&callers, 4);
    let (holder, _) = ordered(&fleet).await;
    fleet.at_step(holder, "engine-1", &["sending"]).await;
    let end = concluded_after_kill(fleet, load, holder, true, 0).await;
    assert_eq!(end, "undone");
}

// Symptom: a change that the engine carries out is given up, or begun again.
// Sequence: the holder is killed while the engine carries its order out.
// Cause: a successor that judges by anything but the reading of the engine.
#[actix_rt::test]
async fn a_holder_is_killed_while_the_engine_acts() {
    let (mut fleet, _) = Fleet::changing(1, 2).await;
    fleet.add_engine(&["--time-scale", "3"]).await;
    let options = ["--time-scale", "3", "--role-change-ms", "30000"];
    fleet.restart_engine(0, &options);
    fleet.in_use(&[0, 1], "engine-2").await;
    fleet.ready().await;
    let callers: Vec<_> = (0..2).map(|n| fleet.caller(n, fleet::LIMA)).collect();
    let load = Load::start(&callers, 4);
    let (holder, _) = ordered(&fleet).await;
    fleet.at_step(holder, "engine-1", &["running"]).await;
    let end = concluded_after_kill(fleet, load, holder, true, 1).await;
    assert_eq!(end, "done");
}

// Symptom: an order that was carried out has no outcome, or a second order follows it.
// Sequence: the log refuses the outcome; the holder is killed; the log comes back.
// Cause: an outcome that was known to one process only.
#[actix_rt::test]
async fn a_holder_is_killed_before_the_outcome() {
    let (fleet, callers) = Fleet::changing(2, 2).await;
    let load = Load::start(&callers, 4);
    let (holder, _) = ordered(&fleet).await;
    fleet.at_step(holder, "engine-1", &["running"]).await;
    fleet.log(json!({ "append": "refuse" })).await;
    finally("the engine has changed", async || {
        let state = fleet.engine_state("engine-1").await;
        let done = state["order"]["state"] == "done";
        if done { Ok(()) } else { Err(state) }
    })
    .await;
    let end = concluded_after_kill(fleet, load, holder, true, 1).await;
    assert_eq!(end, "done");
}

/// Stops the holder while its order is on its way, lets the successor conclude it, and lets the
/// order arrive and the holder go on.
async fn stopped_past_its_lease(options: &[&str]) -> Fleet {
    let (mut fleet, _) = Fleet::changing(2, 2).await;
    let mut all = vec!["--time-scale", "3"];
    all.extend(options);
    fleet.restart_engine(0, &all);
    fleet.ready().await;
    fault(&fleet.engines[0], json!({ "order_delay_ms": 25_000 })).await;
    let (holder, other) = ordered(&fleet).await;
    fleet.at_step(holder, "engine-1", &["sending"]).await;
    fleet.entries[holder].stop();
    let callers = [fleet.caller(other, fleet::LIMA)];
    let load = Load::start(&callers, 3);
    assert_eq!(fleet.concluded(other, "engine-1", 1).await, ["undone"]);
    assert_eq!(fleet.holder(&[other]).await, other);
    fleet.in_use(&[other], "engine-1").await;
    load.more(3).await;
    // Further orders come at once, and none of them is the one that was barred.
    fault(&fleet.engines[0], json!({ "order_delay_ms": 0 })).await;
    fleet.entries[holder].signal("CONT");
    finally("the old holder knows its successor", async || {
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
    fleet.in_use(&[0, 1], "engine-1").await;
    load.more(3).await;
    // A new holder sends nothing to an engine that ignores fences before its quarantine is over, so
    // there the holder is stopped with the order ready and not sent.
    if !options.contains(&"--ignore-fence") {
        arrived(&fleet).await;
    }
    load.more(3).await;
    load.assert_whole().await;
    fleet
}

// Symptom: an order of a process that lost its authority changes an engine.
// Sequence: as in `stopped_past_its_lease`; the engine checks fences.
// Cause: an order that was not barred before its successor concluded it.
#[actix_rt::test]
async fn a_late_order_has_no_effect_at_an_engine_that_checks_fences() {
    let fleet = stopped_past_its_lease(&[]).await;
    fleet.assert_obeyed("engine-1", 0).await;
    // Whatever else the old holder might have sent has a token below the cancellation's.
    let mut stray = set_role("engine-1", "prefill");
    stray["order"] = json!(1);
    stray["fence"] = json!(1);
    assert_eq!(fleet.stray_order("engine-1", &stray).await, 409);
    assert_eq!(fleet.obeyed("engine-1").await["refused"], 1);
    fleet.assert_obeyed("engine-1", 0).await;
    assert_eq!(fleet.engine_state("engine-1").await["role"], "mixed");
}

// Symptom: as above, at an engine that ignores fences.
// Sequence: as above; then the case that the documents leave open: the engine restarts, so that it
// knows no cancellation any more, and a late order comes.
// Cause: the first is the barring's; the second can't be prevented, and must be noticed and mended.
#[actix_rt::test]
async fn a_late_order_at_an_engine_that_ignores_fences_is_noticed_and_mended() {
    let mut fleet = stopped_past_its_lease(&["--ignore-fence"]).await;
    fleet.assert_obeyed("engine-1", 0).await;
    // A concluded order settles what the engine should be.
    fleet.ask(0, &set_role("engine-1", "prefill")).await;
    fleet.concluded(0, "engine-1", 2).await;
    let options = ["--ignore-fence", "--time-scale", "3", "--role", "prefill"];
    fleet.restart_engine(0, &options);
    let mut stray = set_role("engine-1", "decode");
    stray["order"] = json!(1);
    stray["fence"] = json!(1);
    assert_eq!(fleet.stray_order("engine-1", &stray).await, 202);
    let ends = fleet.concluded(0, "engine-1", 3).await;
    assert_eq!(ends[0], "done");
    assert_eq!(fleet.engine_state("engine-1").await["role"], "prefill");
    let holder = fleet.holder(&[0, 1]).await;
    assert_eq!(fleet.status(holder).await["mismatches"], 1);
    fleet.in_use(&[0, 1], "engine-1").await;
}
