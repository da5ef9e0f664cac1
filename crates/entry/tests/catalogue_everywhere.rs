//! All entries converge on one accepted catalogue, despite crashes and outages of the log.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use fleet::caller::Answer;
use fleet::changes::wait_until;
use fleet::{Caller, Fleet, LIMA, catalogue};
use futures_util::future::join;
use serde_json::{Value, json};

fn edit(base: u64, operator: &str, key: &str) -> String {
    let digest = blake3::hash(key.as_bytes()).to_hex().to_string();
    json!({
        "base_revision": base, "operator": operator,
        "changes": [{ "kind": "owner", "name": "ate", "value": { "keys": [digest] } }],
    })
    .to_string()
}

async fn submit(operator: &Caller, body: String) -> Answer {
    let path = "/admin/v1/catalogue/edits";
    operator.post(path, body).await.unwrap()
}

/// The revision at an entry that is ready; `None` if it is not.
async fn revision(operator: &Caller, caller: &Caller) -> Option<u64> {
    let ready = caller.get("/readyz").await.ok()?;
    let catalogue = operator.get("/admin/v1/catalogue").await.ok()?.json();
    catalogue["revision"]
        .as_u64()
        .filter(|_| ready.status == 200)
}

async fn wait_in_force(fleet: &Fleet, entries: &[usize], key: &str) {
    for entry in entries {
        let caller = fleet.caller(*entry, key);
        wait_until(&format!("{key} is known at {entry}"), async || match caller
            .get("/v1/models")
            .await
        {
            Ok(answer) if answer.status == 200 => Ok(()),
            answer => Err(json!(format!("{answer:?}"))),
        })
        .await;
    }
}

/// Twenty times, two operators send conflicting edits with the same base to two entries at once. If
/// an entry accepted an edit before the log had ordered it, both operators could be told that they
/// won, or the entries could differ.
#[actix_rt::test]
async fn one_of_two_concurrent_edits_wins_at_all_entries() {
    let fleet = Fleet::meshed(0, 1, 3).await;
    let (ana, ben) = (fleet.operator(0), fleet.operator(1));
    let mut base = 1;
    let mut wins = [0, 0];
    for round in 0..20 {
        let keys = [format!("ana-{round}"), format!("ben-{round}")];
        let sent = join(
            submit(&ana, edit(base, "ana", &keys[0])),
            submit(&ben, edit(base, "ben", &keys[1])),
        );
        let answers: [Answer; 2] = sent.await.into();
        let winner = usize::from(answers[0].status != 200);
        let (won, lost) = (&answers[winner], &answers[1 - winner]);
        assert_eq!((won.status, lost.status), (200, 409), "{answers:?}");
        let conflict = &lost.json()["conflicts"][0];
        assert_eq!(conflict["operator"], ["ana", "ben"][winner]);
        assert_eq!(conflict["revision"], won.json()["revision"]);
        wait_in_force(&fleet, &[0, 1, 2], &keys[winner]).await;
        for entry in 0..3 {
            let loser = fleet.caller(entry, &keys[1 - winner]);
            assert_eq!(loser.get("/v1/models").await.unwrap().status, 401);
        }
        base = won.json()["revision"].as_u64().unwrap();
        wins[winner] += 1;
    }
    println!("wins {wins:?}");
}

/// Polls an entry. While the entry is ready, its revision may only increase, also across restarts.
async fn watch(
    operator: Caller,
    caller: Caller,
    stopped: Rc<Cell<bool>>,
    seen: Rc<RefCell<Vec<u64>>>,
) {
    while !stopped.get() {
        if let Some(revision) = revision(&operator, &caller).await {
            let newest = seen.borrow().last().copied().unwrap_or(0);
            assert!(revision >= newest, "{revision} after {newest}");
            if revision > newest {
                seen.borrow_mut().push(revision);
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Edits continue while an entry is killed and restarted, while the log is unavailable and an entry
/// starts without it, and while an entry starts after the log has dropped its first records. A
/// catalogue from a peer or a snapshot may be empty or older than the one served before, and must
/// not be served.
#[actix_rt::test]
async fn no_entry_serves_an_older_catalogue() {
    let options = ["--append-rate", "0", "--retention-count", "120"];
    let mut fleet = Fleet::platform_with(&options);
    fleet.publish(&catalogue::usual()).await;
    fleet.add_service(&[]).await;
    fleet.mesh();
    for _ in 0..3 {
        let index = fleet.add_entry();
        fleet.list_entry(index).await;
    }
    fleet.ready().await;
    let stopped = Rc::new(Cell::new(false));
    let seen: Vec<_> = (0..2).map(|_| Rc::new(RefCell::new(Vec::new()))).collect();
    // The two entries that keep running keep their addresses.
    let watchers: Vec<_> = (0..2)
        .map(|entry| {
            let (operator, caller) = (fleet.operator(entry), fleet.caller(entry, LIMA));
            actix_rt::spawn(watch(
                operator,
                caller,
                stopped.clone(),
                seen[entry].clone(),
            ))
        })
        .collect();
    let mut base = 1;
    let mut number = 0;
    let mut submit_edits = async |fleet: &Fleet, count: u64| {
        for _ in 0..count {
            number += 1;
            let body = edit(base, "ana", &format!("key-{number}"));
            let answer = submit(&fleet.operator(0), body).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            base = answer.json()["revision"].as_u64().unwrap();
        }
        (base, format!("key-{number}"))
    };
    let (before, _) = submit_edits(&fleet, 10).await;
    fleet.entries[2].kill();
    fleet
        .log(json!({ "append": "refuse", "read": "refuse" }))
        .await;
    fleet.restart_entry_at_its_address(2);
    fleet.list_entry(2).await;
    fleet.entry_ready(&fleet.entries[2]).await;
    let restarted = revision(&fleet.operator(2), &fleet.caller(2, LIMA)).await;
    assert!(restarted >= Some(before), "{restarted:?} after {before}");
    fleet.log(json!({ "append": "none", "read": "none" })).await;
    let (_, key) = submit_edits(&fleet, 10).await;
    wait_in_force(&fleet, &[0, 1, 2], &key).await;
    // The log drops the first edits; the catalogue in force then follows from a snapshot.
    let mut first = 1;
    while first < 130 {
        let _ = submit_edits(&fleet, 10).await;
        first = fleet.status(0).await["log"]["first"].as_u64().unwrap();
        sleep(Duration::from_millis(200)).await;
    }
    let (newest, key) = submit_edits(&fleet, 1).await;
    let late = fleet.add_entry();
    fleet.list_entry(late).await;
    fleet.entry_ready(&fleet.entries[late]).await;
    let late_revision = revision(&fleet.operator(late), &fleet.caller(late, LIMA)).await;
    assert!(
        late_revision >= Some(newest),
        "{late_revision:?} before {newest}"
    );
    wait_in_force(&fleet, &[0, 1, 2, late], &key).await;
    let all: Vec<Value> = {
        let mut all = Vec::new();
        for entry in 0..=late {
            let catalogue = fleet.operator(entry).get("/admin/v1/catalogue").await;
            all.push(catalogue.unwrap().json());
        }
        all
    };
    assert!(all.iter().all(|one| *one == all[0]));
    stopped.set(true);
    for watcher in watchers {
        watcher.await.unwrap();
    }
    let counts: Vec<_> = seen.iter().map(|seen| seen.borrow().len()).collect();
    println!("revisions seen {counts:?}, log begins at {first}");
    for entry in 0..=late {
        let status = fleet.status(entry).await;
        assert_eq!(status["log"]["snapshots_different"], 0);
    }
}
