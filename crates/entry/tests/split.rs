//! Entries that can't reach each other while a change is planned.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use fleet::changes::{finally, set_role};
use fleet::load::Load;
use fleet::relay::Relay;
use fleet::{Fleet, LIMA};
use serde_json::Value;

async fn suspect(fleet: &Fleet, at: usize, peer: usize) {
    finally("the other entry is suspect", async || {
        let status = fleet.status(at).await;
        let peers = status["peers"].as_array().cloned().unwrap_or_default();
        let is = |one: &Value| one["id"] == format!("entry-{peer}") && one["state"] == "suspect";
        if peers.iter().any(is) {
            Ok(())
        } else {
            Err(status["peers"].clone())
        }
    })
    .await;
}

/// Waits until the change is shown to wait for an entry.
async fn waits_for(fleet: &Fleet, holder: usize, entry: usize) {
    finally("the change waits for the entry", async || {
        let order = fleet.at_step(holder, "engine-1", &["closing"]).await;
        let waits = order["waits"].as_str().unwrap_or_default();
        let named = waits.contains(&format!("entry-{entry} "));
        if named { Ok(()) } else { Err(order) }
    })
    .await;
}

// Symptom: a planned change cuts the streams of an entry behind a partition.
// Sequence: two entries lose each other both ways, both still reach the log and the engines and
// serve; a role is to be changed. Then they find each other again.
// Cause: an entry that can't be asked is taken for one that sends nothing.
#[actix_rt::test]
async fn a_change_waits_for_an_entry_behind_a_partition() {
    let mut fleet = Fleet::start(0, 0, 0).await;
    fleet.mesh();
    let cut = Arc::new(AtomicBool::new(false));
    for entry in 0..2 {
        fleet.add_entry();
        let status = fleet.status(entry).await;
        let target = status["peer_address"].as_str().unwrap().parse().unwrap();
        let relay = Relay::start(target, cut.clone()).await;
        let id = format!("entry-{entry}");
        fleet.list(&id, "entry", "", &relay.address).await;
    }
    for _ in 0..2 {
        fleet.add_engine(&["--time-scale", "3"]).await;
    }
    fleet.ready().await;
    let callers: Vec<_> = (0..2).map(|n| fleet.caller(n, LIMA)).collect();
    let load = Load::start(&callers, 4);
    let holder = fleet.holder(&[0, 1]).await;
    cut.store(true, Ordering::SeqCst);
    suspect(&fleet, holder, 1 - holder).await;
    suspect(&fleet, 1 - holder, holder).await;
    fleet.ask(holder, &set_role("engine-1", "decode")).await;
    waits_for(&fleet, holder, 1 - holder).await;
    // Both go on serving, and the change goes on waiting.
    load.more(20).await;
    waits_for(&fleet, holder, 1 - holder).await;
    fleet.assert_obeyed("engine-1", 0).await;
    cut.store(false, Ordering::SeqCst);
    for entry in 0..2 {
        assert_eq!(fleet.concluded(entry, "engine-1", 1).await, ["done"]);
    }
    load.assert_whole().await;
    fleet.assert_obeyed("engine-1", 1).await;
}

// Symptom: a planned change cuts the streams of an entry that is stopped.
// Sequence: an entry is stopped with streams at the engine; a role is to be changed; the entry goes
// on after it was silent for long.
// Cause: as above.
#[actix_rt::test]
async fn a_change_waits_for_an_entry_that_is_stopped() {
    let (fleet, callers) = Fleet::changing(2, 2).await;
    let holder = fleet.holder(&[0, 1]).await;
    let other = 1 - holder;
    let load = Load::start(&callers[other..=other], 4);
    load.more(4).await;
    fleet.entries[other].stop();
    fleet.ask(holder, &set_role("engine-1", "decode")).await;
    suspect(&fleet, holder, other).await;
    waits_for(&fleet, holder, other).await;
    fleet.assert_obeyed("engine-1", 0).await;
    fleet.entries[other].signal("CONT");
    assert_eq!(fleet.concluded(holder, "engine-1", 1).await, ["done"]);
    load.assert_whole().await;
    fleet.assert_obeyed("engine-1", 1).await;
}
