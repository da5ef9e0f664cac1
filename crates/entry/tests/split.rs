//! Entries that cannot reach each other during a planned change.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use fleet::changes::{set_role, wait_until};
use fleet::load::Load;
use fleet::relay::Relay;
use fleet::{Fleet, LIMA};
use serde_json::Value;

async fn wait_suspect(fleet: &Fleet, at: usize, peer: usize) {
    wait_until("the other entry is suspect", async || {
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

/// Waits until the status reports that the change waits for an entry.
async fn wait_blocked_by(fleet: &Fleet, holder: usize, entry: usize) {
    wait_until("the change waits for the entry", async || {
        let order = fleet.at_step(holder, "engine-1", &["closing"]).await;
        let waits = order["waits"].as_str().unwrap_or_default();
        let named = waits.contains(&format!("entry-{entry} "));
        if named { Ok(()) } else { Err(order) }
    })
    .await;
}

/// Two entries lose contact with each other while both still reach the log and the engines; a role
/// change is requested, and then the partition heals. If an unreachable entry were assumed to send
/// nothing, the change would interrupt its streams.
#[actix_rt::test]
async fn change_waits_for_an_entry_behind_a_partition() {
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
    wait_suspect(&fleet, holder, 1 - holder).await;
    wait_suspect(&fleet, 1 - holder, holder).await;
    fleet
        .request_change(holder, &set_role("engine-1", "decode"))
        .await;
    wait_blocked_by(&fleet, holder, 1 - holder).await;
    // Both entries continue to serve, and the change keeps waiting.
    load.wait_for_streams(20).await;
    wait_blocked_by(&fleet, holder, 1 - holder).await;
    fleet.assert_orders_begun("engine-1", 0).await;
    cut.store(false, Ordering::SeqCst);
    for entry in 0..2 {
        assert_eq!(fleet.concluded(entry, "engine-1", 1).await, ["done"]);
    }
    load.assert_complete().await;
    fleet.assert_orders_begun("engine-1", 1).await;
}

/// An entry with streams at the engine is stopped, a role change is requested, and the entry
/// continues after a long silence. If the stopped entry were assumed to send nothing, the change
/// would interrupt its streams.
#[actix_rt::test]
async fn change_waits_for_a_stopped_entry() {
    let (fleet, callers) = Fleet::for_changes(2, 2).await;
    let holder = fleet.holder(&[0, 1]).await;
    let other = 1 - holder;
    let load = Load::start(&callers[other..=other], 4);
    load.wait_for_streams(4).await;
    fleet.entries[other].stop();
    fleet
        .request_change(holder, &set_role("engine-1", "decode"))
        .await;
    wait_suspect(&fleet, holder, other).await;
    wait_blocked_by(&fleet, holder, other).await;
    fleet.assert_orders_begun("engine-1", 0).await;
    fleet.entries[other].signal("CONT");
    assert_eq!(fleet.concluded(holder, "engine-1", 1).await, ["done"]);
    load.assert_complete().await;
    fleet.assert_orders_begun("engine-1", 1).await;
}
