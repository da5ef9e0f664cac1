//! Calls to plain services under failure: at most once, and "not run" only when that is true.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::{Fleet, LIMA, fault};
use serde_json::json;

// Symptom: a card is charged twice, or a charged one is told as "not run".
// Sequence: the service executes the call and dies, or drops the connection, before it answers.
// Cause: the entry sent the call again, or took the closed connection for one that never was.
#[actix_rt::test]
async fn a_service_that_dies_after_executing_leaves_the_call_unknown() {
    let fleet = Fleet::start(0, 2, 1).await;
    let caller = fleet.caller(0, LIMA);
    for service in &fleet.services {
        fault(service, json!({ "drop_after": 1 })).await;
    }
    for n in 0..4 {
        let body = format!("charge {n}");
        let answer = caller.post("/kiosk/pay", body.clone()).await.unwrap();
        let executed = fleet.executions().await.of(&body);
        assert!(executed <= 1, "doubled");
        match answer.status {
            200 => assert_eq!(executed, 1),
            status => assert_eq!((status, answer.ran().as_str()), (502, "unknown")),
        }
    }
    fault(&fleet.services[0], json!({ "exit_after": 1 })).await;
    fault(&fleet.services[1], json!({ "exit_after": 1 })).await;
    let answer = caller.post("/kiosk/pay", "last charge").await.unwrap();
    assert_eq!((answer.status, answer.ran().as_str()), (502, "unknown"));
}

// Symptom: a call is refused although a healthy service stands by, or told as unknown although
// nothing of it left.
// Sequence: a service is gone, the list still has it.
// Cause: a failure to connect was treated like a broken call.
#[actix_rt::test]
async fn a_call_that_never_left_goes_to_another_service() {
    let mut fleet = Fleet::start(0, 2, 1).await;
    fleet.services[0].kill();
    let caller = fleet.caller(0, LIMA);
    for n in 0..10 {
        let body = format!("charge {n}");
        let answer = caller.post("/kiosk/pay", body.clone()).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(fleet.executions().await.of(&body), 1);
    }
    fleet.services[1].kill();
    let answer = caller.post("/kiosk/pay", "nobody").await.unwrap();
    assert_eq!(answer.ran(), "no", "{answer:?}");
}

// Symptom: a repeatable call fails although another try would do.
// Sequence: the connection drops after the execution.
// Cause: repeatable calls were treated like those that are not.
#[actix_rt::test]
async fn a_repeatable_call_is_tried_again() {
    let fleet = Fleet::start(0, 2, 1).await;
    fault(&fleet.services[0], json!({ "drop_after": 1 })).await;
    let caller = fleet.caller(0, LIMA);
    for n in 0..6 {
        let answer = caller.post("/kiosk/status", format!("ping {n}")).await;
        assert_eq!(answer.unwrap().status, 200);
    }
}

// Symptom: a caller reads the answer to somebody else's call.
// Sequence: the service answers with the id of the call before.
// Cause: the id in the answer was not compared.
#[actix_rt::test]
async fn a_crossed_answer_is_dropped() {
    let fleet = Fleet::start(0, 1, 1).await;
    let caller = fleet.caller(0, LIMA);
    for n in 0..6 {
        fault(&fleet.services[0], json!({ "crossed": 1 })).await;
        let body = format!("charge {n}");
        let answer = caller.post("/kiosk/pay", body.clone()).await.unwrap();
        assert_eq!((answer.status, answer.ran().as_str()), (502, "unknown"));
        assert_eq!(fleet.executions().await.of(&body), 1);
    }
    let answer = caller.post("/kiosk/pay", "clean").await.unwrap();
    assert_eq!(
        answer.json()["digest"],
        blake3::hash(b"clean").to_hex().as_str()
    );
}

// Symptom: a caller reads the answer to another caller's call, and the ids match.
// Sequence: two callers give their calls the same id; the service answers the second with the id of
// the first.
// Cause: the callers' ids were taken for unique.
#[actix_rt::test]
async fn equal_ids_of_callers_do_not_hide_a_crossed_answer() {
    let fleet = Fleet::start(0, 1, 1).await;
    let caller = fleet.caller(0, LIMA);
    let call = async |body: &str| {
        let request = caller
            .request("POST", "/kiosk/pay")
            .insert_header(("x-request-id", "1"));
        caller
            .send(request, body.as_bytes().to_vec())
            .await
            .unwrap()
    };
    let first = call("mine").await;
    assert_eq!((first.status, first.header("x-request-id")), (200, "1"));
    fault(&fleet.services[0], json!({ "crossed": 1 })).await;
    let crossed = call("yours").await;
    assert_eq!((crossed.status, crossed.ran().as_str()), (502, "unknown"));
}

// Symptom: a charge is lost, or run twice by the caller's second try, because its connection broke.
// Sequence: the caller goes away while the service works on the call.
// Cause: the call was dropped with the caller's connection.
#[actix_rt::test]
async fn a_call_that_may_not_be_repeated_outlives_its_caller() {
    let fleet = Fleet::start(0, 1, 1).await;
    fault(&fleet.services[0], json!({ "delay_ms": 300 })).await;
    let caller = fleet.caller(0, LIMA);
    let request = caller
        .request("POST", "/kiosk/pay")
        .insert_header(("idempotency-key", "k-1"))
        .send_body("left alone");
    let gone = actix_rt::time::timeout(std::time::Duration::from_millis(100), request).await;
    assert!(gone.is_err());
    fleet::eventually("the entry holds the answer", async || {
        let again = caller.keyed("/kiosk/pay", "k-1", None, "left alone").await;
        again.unwrap().status == 200
    })
    .await;
    assert_eq!(fleet.executions().await.of("left alone"), 1);
}
