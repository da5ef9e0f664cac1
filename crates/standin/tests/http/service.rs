//! Tests of `standin-service` over HTTP and as a process.

use std::process::Command;

use crate::common::{fault, get, send, service, spawn};
use actix_http::Method;
use serde_json::json;

#[actix_rt::test]
async fn executed_call_without_response_is_counted() {
    // The service executes a call and its connection drops, so that the caller's retry executes the
    // call again. Checks of "at most once" rely on both executions being counted.
    let address = service();
    fault(address, json!({ "drop_after": 1 })).await;
    let headers = [("x-request-id", "r1"), ("idempotency-key", "k1")];
    let call = || send(Method::PUT, address, "/pay", &headers, "ten".to_owned());
    assert!(call().await.is_err());
    let second = call().await.unwrap();
    assert_eq!((second.status, second.request_id.as_str()), (200, "r1"));
    assert_eq!(second.json()["times"], 2);
    let counts = get(address, "/standin/executions?repeated=1").await.json();
    assert_eq!(counts["total"], 2);
    assert_eq!(counts["by_request"], json!({ "r1": 2 }));
    assert_eq!(counts["by_key"], json!({ "k1": 2 }));
}

#[actix_rt::test]
async fn call_dropped_before_execution_is_not_counted() {
    let address = service();
    fault(address, json!({ "drop_before": 1 })).await;
    let dropped = send(Method::POST, address, "/pay", &[], "ten".to_owned()).await;
    assert!(dropped.is_err());
    assert_eq!(get(address, "/standin/executions").await.json()["total"], 0);
}

#[actix_rt::test]
async fn crossed_response_has_the_id_of_another_request() {
    let address = service();
    let call = |id| async move {
        let headers = [("x-request-id", id)];
        let reply = send(Method::GET, address, "/x", &headers, String::new()).await;
        reply.unwrap().request_id
    };
    assert_eq!(call("r1").await, "r1");
    fault(address, json!({ "crossed": 1 })).await;
    assert_eq!(call("r2").await, "r1");
    assert_eq!(call("r3").await, "r3");
}

#[actix_rt::test]
async fn process_exits_between_execution_and_response() {
    let (mut child, address) = spawn(env!("CARGO_BIN_EXE_standin-service"));
    fault(address, json!({ "exit_after": 1 })).await;
    let call = send(Method::POST, address, "/pay", &[], "ten".to_owned()).await;
    assert!(call.is_err());
    assert_eq!(child.wait().unwrap().code(), Some(70));
}

#[actix_rt::test]
async fn process_exits_cleanly_on_sigterm() {
    let (mut child, address) = spawn(env!("CARGO_BIN_EXE_standin-service"));
    assert_eq!(get(address, "/x").await.status, 200);
    let killed = Command::new("kill").arg(child.id().to_string()).status();
    assert!(killed.unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
