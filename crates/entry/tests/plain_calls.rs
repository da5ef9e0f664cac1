//! Calls to plain services under failures run at most once, and are reported as not run only if
//! that is true.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::{Fleet, LIMA, fault};
use serde_json::json;

/// The service executes the call and crashes, or closes the connection, before it answers. If the
/// entry sent the call again or reported it as not run, a card could be charged twice.
#[actix_rt::test]
async fn call_may_have_run_if_the_service_crashes_after_executing_it() {
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

/// A service is gone but still listed. If a failure to connect were treated like a broken call, the
/// call would be refused or reported as unknown although a healthy service is available.
#[actix_rt::test]
async fn call_that_was_not_sent_goes_to_another_service() {
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

/// The connection drops after the execution. A repeatable call must be retried, unlike one that may
/// not be repeated.
#[actix_rt::test]
async fn repeatable_call_is_retried() {
    let fleet = Fleet::start(0, 2, 1).await;
    fault(&fleet.services[0], json!({ "drop_after": 1 })).await;
    let caller = fleet.caller(0, LIMA);
    for n in 0..6 {
        let answer = caller.post("/kiosk/status", format!("ping {n}")).await;
        assert_eq!(answer.unwrap().status, 200);
    }
}

/// The service answers with the id of the previous call. Unless the id is compared, a caller would
/// read the answer to another call.
#[actix_rt::test]
async fn answer_to_another_call_is_dropped() {
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

/// Two callers give their calls the same id, and the service answers the second with the id of the
/// first. Callers' ids are not unique, so that they alone cannot match answers to calls.
#[actix_rt::test]
async fn equal_caller_ids_do_not_hide_a_mismatched_answer() {
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

/// The caller disconnects while the service works on the call. If the call were dropped with the
/// connection, the charge would be lost, or run again by the caller's retry.
#[actix_rt::test]
async fn non_repeatable_call_outlives_its_callers_connection() {
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
