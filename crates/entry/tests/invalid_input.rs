//! Invalid input gets a typed error at once and does not affect other callers.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;

use fleet::{Caller, Fleet, LIMA};

fn assert_problem(answer: &fleet::caller::Answer, status: u16, kind: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    let problem = answer.json();
    assert_eq!(problem["type"], format!("urn:tarragon:problem:{kind}"));
    assert_eq!(problem["status"], status);
    assert_eq!(problem["ran"], "no");
    assert_eq!(problem["request_id"], answer.header("x-request-id"));
    assert_eq!(answer.header("content-type"), "application/problem+json");
}

#[actix_rt::test]
async fn each_kind_of_invalid_request_has_its_error() {
    let mut fleet = Fleet::platform();
    fleet.publish(&fleet::catalogue::usual()).await;
    fleet.add_engine(&["--time-scale", "10"]).await;
    fleet.add_service(&[]).await;
    fleet.settings = vec!["limits.body=2KiB".into(), "limits.head=2KiB".into()];
    fleet.add_entry();
    fleet.ready().await;
    let caller = fleet.caller(0, LIMA);
    let wrong = fleet.caller(0, "nobodys-key");
    let none = fleet.caller(0, "");

    let get = async |caller: &Caller, path: &str| caller.get(path).await.unwrap();
    let post = async |path: &str, body: &str| caller.post(path, body).await.unwrap();
    assert_problem(&get(&caller, "/nothing/here").await, 404, "not-found");
    assert_problem(&get(&wrong, "/v1/models").await, 401, "unauthenticated");
    assert_problem(&get(&none, "/kiosk/pay").await, 401, "unauthenticated");
    assert_problem(
        &get(&caller, "/v1/completions").await,
        405,
        "method-not-allowed",
    );
    assert_problem(&get(&caller, "/kiosk/pay/../x").await, 400, "bad-request");
    assert_problem(
        &post("/v1/completions", "{\"model\": ").await,
        400,
        "bad-request",
    );
    assert_problem(&post("/v1/completions", "{}").await, 400, "bad-request");
    let unknown = r#"{"model":"verdicts","prompt":"x"}"#;
    assert_problem(
        &post("/v1/completions", unknown).await,
        404,
        "unknown-model",
    );
    assert_problem(
        &post("/kiosk/pay", &"x".repeat(4096)).await,
        413,
        "too-large",
    );
    let deadline = caller
        .request("POST", "/kiosk/pay")
        .insert_header(("x-deadline-ms", "soon"));
    let deadline = caller.send(deadline, b"1".to_vec()).await.unwrap();
    assert_problem(&deadline, 400, "bad-request");
    let head = caller
        .request("GET", "/v1/models")
        .insert_header(("x-long", "x".repeat(3000)));
    let head = caller.send(head, Vec::new()).await.unwrap();
    assert_problem(&head, 431, "head-too-large");

    assert!(fleet.executions().await.by_body.is_empty());
    let answer = post("/kiosk/pay", "good").await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Callers open connections and send a head or a body byte by byte, or not at all. Without time
/// limits for incomplete requests, a few of them would exhaust the entry.
#[actix_rt::test]
async fn slow_callers_time_out() {
    let mut fleet = Fleet::platform();
    fleet.publish(&fleet::catalogue::usual()).await;
    fleet.add_service(&[]).await;
    fleet.settings = vec![
        "limits.head_time=1s".into(),
        "limits.body_time=300ms".into(),
    ];
    fleet.add_entry();
    fleet.ready().await;
    let address = fleet.entries[0].address.clone();
    let slow = |text: &'static str| {
        let address = address.clone();
        std::thread::spawn(move || {
            let mut connection = TcpStream::connect(address).unwrap();
            connection.write_all(text.as_bytes()).unwrap();
            let mut answer = String::new();
            let _ = connection.read_to_string(&mut answer);
            answer
        })
    };
    let heads: Vec<_> = (0..20).map(|_| slow("GET /v1/mod")).collect();
    let body = slow(
        "POST /kiosk/pay HTTP/1.1\r\nhost: x\r\nauthorization: Bearer lima-key\r\n\
         content-length: 10\r\nconnection: close\r\n\r\nabc",
    );
    let caller = fleet.caller(0, LIMA);
    let answer = caller.post("/kiosk/pay", "quick").await.unwrap();
    assert_eq!(answer.status, 200);
    actix_rt::task::spawn_blocking(move || {
        for head in heads {
            let answer = head.join().unwrap();
            assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        }
        let answer = body.join().unwrap();
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(answer.contains("urn:tarragon:problem:too-slow"), "{answer}");
    })
    .await
    .unwrap();
}

#[test]
fn check_prints_all_findings_and_exits_with_status_2() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("bad.yaml");
    std::fs::write(&path, "instance:\n  idd: x\nlease:\n  term: 3\n").unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_tarragon-entry"))
        .args(["check", path.to_str().unwrap()])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for part in ["did you mean instance.id?", "line 4", "platform.log"] {
        assert!(text.contains(part), "{part} in {text}");
    }
}
