//! The administration API on a running entry.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::{Caller, Fleet, LIMA, eventually};
use serde_json::{Value, json};

fn edit(base: u64, operator: &str, name: &str, value: &Value) -> String {
    json!({
        "base_revision": base, "operator": operator, "note": "a test",
        "changes": [{ "kind": "owner", "name": name, "value": value }],
    })
    .to_string()
}

fn keys(key: &str) -> Value {
    json!({ "keys": [blake3::hash(key.as_bytes()).to_hex().to_string()] })
}

#[actix_rt::test]
async fn conflicting_edit_reports_the_accepted_one() {
    let fleet = Fleet::start(0, 1, 2).await;
    let (ana, ben) = (fleet.operator(0), fleet.operator(1));
    let catalogue = ana.get("/admin/v1/catalogue").await.unwrap().json();
    let base = catalogue["revision"].as_u64().unwrap();
    let won = edit(base, "ana", "ate", &keys("ate-key"));
    let won = ana.post("/admin/v1/catalogue/edits", won).await.unwrap();
    assert_eq!(won.status, 200, "{won:?}");
    let lost = edit(base, "ben", "ate", &keys("other-key"));
    let lost = ben.post("/admin/v1/catalogue/edits", lost).await.unwrap();
    assert_eq!(lost.status, 409, "{lost:?}");
    let conflict = &lost.json()["conflicts"][0];
    assert_eq!(conflict["operator"], "ana");
    assert_eq!(conflict["revision"], won.json()["revision"]);
    // The accepted edit is in force at the other entry too, and the rejected one is not.
    for (key, status) in [("ate-key", 200), ("other-key", 401)] {
        let caller = Caller::new(&fleet.entries[1].address, key);
        eventually("the winner's key is in force everywhere", async || {
            caller.get("/v1/models").await.unwrap().status == status
        })
        .await;
    }
    let history = ben.get("/admin/v1/catalogue/history").await.unwrap().json();
    assert_eq!(history["edits"][0]["operator"], "ben");
    assert_eq!(history["edits"][1]["operator"], "ana");
}

#[actix_rt::test]
async fn invalid_edit_is_refused_with_all_findings() {
    let fleet = Fleet::start(0, 1, 1).await;
    let operator = fleet.operator(0);
    let changes = json!([
        { "kind": "entry", "name": "x", "value": {
            "owner": "nobody", "class": "urgent", "pool": "no-pool", "path": "x",
            "repeatable": true, "contract": { "objective": 2 } } },
        { "kind": "pool", "name": "kiosk-api", "value": null },
    ]);
    let edit = json!({ "base_revision": 1, "operator": "ana", "changes": changes });
    let refused = operator
        .post("/admin/v1/catalogue/edits", edit.to_string())
        .await
        .unwrap();
    assert_eq!(refused.status, 422, "{refused:?}");
    assert!(refused.json()["findings"].as_array().unwrap().len() >= 4);
    let checked = operator
        .post(
            "/admin/v1/catalogue/check",
            json!({ "changes": changes }).to_string(),
        )
        .await
        .unwrap();
    assert_eq!(checked.status, 200);
    assert!(checked.json()["findings"].as_array().unwrap().len() >= 4);
    let still = fleet.caller(0, LIMA).post("/kiosk/pay", "1").await.unwrap();
    assert_eq!(still.status, 200);
}

#[actix_rt::test]
async fn api_requires_its_token_and_reports_the_state() {
    let fleet = Fleet::start(1, 1, 1).await;
    let address = fleet.entries[0].named_address("admin").to_owned();
    for key in ["", "wrong", "admin-token2"] {
        let refused = Caller::new(&address, key).get("/admin/v1/status").await;
        assert_eq!(refused.unwrap().status, 401);
    }
    let operator = fleet.operator(0);
    let status = operator.get("/admin/v1/status").await.unwrap().json();
    assert_eq!(status["instance"], "entry-0");
    assert_eq!(status["upstreams"].as_array().unwrap().len(), 2);
    let answer = fleet.caller(0, LIMA).post("/kiosk/pay", "1").await.unwrap();
    assert_eq!(answer.status, 200);
    for path in ["burn", "burn?merged=1"] {
        let path = format!("/admin/v1/{path}");
        let burn = operator.get(&path).await.unwrap().json();
        let lines = burn["lines"].as_array().unwrap();
        let payments = lines
            .iter()
            .find(|line| line["entry"] == "payments")
            .unwrap();
        assert_eq!(payments["counts"]["good"], 1, "{payments}");
    }
    let orders = operator.get("/admin/v1/orders").await.unwrap();
    assert_eq!(orders.status, 200);
    let order = json!({ "upstream": "nobody", "kind": "set_role", "role": "decode" });
    let order = operator.post("/admin/v1/orders", order.to_string()).await;
    assert_eq!(order.unwrap().status, 404);
    let nothing = operator.get("/admin/v1/nothing").await.unwrap();
    assert_eq!(nothing.status, 404);
}

/// An operator drains an engine while streams run there. If the drain reached the router late, new
/// work would still arrive; if it ended the work in progress, streams would be interrupted.
#[actix_rt::test]
async fn drained_engine_gets_no_new_work_and_finishes_its_streams() {
    let fleet = Fleet::start(2, 0, 1).await;
    let caller = fleet.caller(0, LIMA);
    let streams: Vec<_> = (0..12)
        .map(|n| {
            let caller = caller.clone();
            actix_rt::spawn(async move {
                let prompt = format!("before the drain {n}");
                let streamed = caller.stream("kiosk", &prompt, 800, usize::MAX).await;
                (prompt, streamed)
            })
        })
        .collect();
    let engine = Caller::new(&fleet.engines[0].address, "");
    eventually("streams run at the engine", async || {
        engine.get("/engine/report").await.unwrap().json()["running"] != 0
    })
    .await;
    let drain = json!({
        "base_revision": 1, "operator": "ana",
        "changes": [{ "kind": "drain", "name": "engine-1", "value": { "reason": "a test" } }],
    });
    let operator = fleet.operator(0);
    let drained = operator
        .post("/admin/v1/catalogue/edits", drain.to_string())
        .await
        .unwrap();
    assert_eq!(drained.status, 200, "{drained:?}");
    eventually("the entry sees the drain", async || {
        let status = operator.get("/admin/v1/status").await.unwrap().json();
        let upstreams = status["upstreams"].as_array().unwrap();
        upstreams
            .iter()
            .any(|one| one["id"] == "engine-1" && one["state"] == "drained")
    })
    .await;
    for stream in streams {
        let (prompt, streamed) = stream.await.unwrap();
        assert!(streamed.done, "{:?}", streamed.error);
        assert_eq!(streamed.text, standin::engine::expected_text(&prompt, 800));
    }
    eventually("the engine is idle", async || {
        engine.get("/engine/report").await.unwrap().json()["running"] == 0
    })
    .await;
    // From here on, any call sent to the engine would fail.
    fleet::fault(&fleet.engines[0], json!({ "out": "hang" })).await;
    let after: Vec<_> = (0..20)
        .map(|n| {
            let caller = caller.clone();
            let prompt = format!("after {n}");
            actix_rt::spawn(async move { caller.complete("kiosk", &prompt, 100).await })
        })
        .collect();
    for answer in after {
        assert_eq!(answer.await.unwrap().unwrap().status, 200);
    }
}
