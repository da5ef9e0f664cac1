//! Which error the client returns for each failure of the log.

use assert_matches::assert_matches;
use std::time::Duration;

use crate::fake::{FakeServer, Reply, ok};
use bytes::Bytes;
use platform::{AppendError, Event, LogClient, Options, ReadError, Tail};

fn log_client(base_url: String) -> LogClient {
    LogClient::new(&Options {
        append_timeout: Duration::from_millis(200),
        ..Options::new(base_url)
    })
}

async fn append_error(reply: Reply) -> AppendError {
    let server = FakeServer::start(vec![reply]).await;
    let report = log_client(server.base_url())
        .append(Bytes::from_static(b"x"))
        .await;
    *report.expect_err("the append fails").current_context()
}

#[actix_rt::test]
async fn append_returns_the_offset() {
    let server = FakeServer::start(vec![ok(r#"{"offset": 17}"#)]).await;
    let offset = log_client(server.base_url())
        .append(Bytes::from_static(b"x"))
        .await;
    assert_eq!(offset.unwrap(), 17);
    assert_eq!(server.requests(), ["POST /log/append HTTP/1.1"]);
}

#[actix_rt::test]
async fn refused_connection_is_a_refusal() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let report = log_client(base_url).append(Bytes::from_static(b"x")).await;
    assert_matches!(
        report.unwrap_err().current_context(),
        AppendError::Refused { retry_after: None }
    );
}

#[actix_rt::test]
async fn statuses_429_and_503_are_refusals() {
    let too_many_requests =
        Reply::Response("429 Too Many Requests", "retry-after: 3\r\n", String::new());
    assert_eq!(
        append_error(too_many_requests).await,
        AppendError::Refused {
            retry_after: Some(Duration::from_secs(3))
        }
    );
    let unavailable = Reply::Response("503 Service Unavailable", "", String::new());
    assert_eq!(
        append_error(unavailable).await,
        AppendError::Refused { retry_after: None }
    );
}

// Symptom: a record is in the log twice although its writer was told that it was not appended.
// Sequence: the log appends, then the connection closes before the response.
// Cause: awc reports the closed connection as a connect error.
#[actix_rt::test]
async fn connection_closed_after_the_request_is_unknown() {
    assert_eq!(append_error(Reply::Close).await, AppendError::Unknown);
}

#[actix_rt::test]
async fn silence_and_other_statuses_are_unknown() {
    assert_eq!(append_error(Reply::NoResponse).await, AppendError::Unknown);
    assert_eq!(append_error(ok("{")).await, AppendError::Unknown);
    let server_error = Reply::Response("500 Internal Server Error", "", String::new());
    assert_eq!(append_error(server_error).await, AppendError::Unknown);
    let redirect = Reply::Response("307 Temporary Redirect", "location: /x\r\n", String::new());
    assert_eq!(append_error(redirect).await, AppendError::Unknown);
}

#[actix_rt::test]
async fn read_past_retention_returns_the_bounds() {
    let gone = Reply::Response("410 Gone", "", r#"{"first": 9, "next": 18}"#.to_owned());
    let server = FakeServer::start(vec![gone]).await;
    let report = log_client(server.base_url())
        .read(1, 10, Duration::ZERO)
        .await;
    assert_matches!(
        report.unwrap_err().current_context(),
        ReadError::Gone { first: 9, next: 18 }
    );
}

// Symptom: one entry folds a different state from all others.
// Sequence: the log's response skips a record.
// Cause: the reader doesn't check that offsets are consecutive.
#[actix_rt::test]
async fn read_with_a_gap_is_malformed() {
    let gap =
        r#"{"first":1,"next":4,"records":[{"offset":1,"data":"YQ=="},{"offset":3,"data":"Yg=="}]}"#;
    let server = FakeServer::start(vec![ok(gap)]).await;
    let report = log_client(server.base_url())
        .read(1, 10, Duration::ZERO)
        .await;
    assert_matches!(report.unwrap_err().current_context(), ReadError::Malformed);
}

#[actix_rt::test]
async fn tail_resumes_in_order_after_an_outage() {
    let unavailable = Reply::Response("503 Service Unavailable", "", String::new());
    let server = FakeServer::start(vec![
        ok(r#"{"first":1,"next":2,"records":[{"offset":1,"data":"YQ=="}]}"#),
        unavailable,
        ok(r#"{"first":1,"next":3,"records":[{"offset":2,"data":"Yg=="}]}"#),
        Reply::Response("410 Gone", "", r#"{"first": 9, "next": 18}"#.to_owned()),
    ])
    .await;
    let log = log_client(server.base_url());
    let mut tail = Tail::spawn(
        log,
        1,
        Duration::ZERO,
        Box::new(|| 0.0),
        Box::new(|| Duration::ZERO),
    );
    let mut events = Vec::new();
    while let Some(event) = tail.next().await {
        events.push(match event {
            Event::Chunk { chunk, .. } => format!("chunk {}", chunk.records[0].offset),
            Event::Unavailable => "down".to_owned(),
            Event::Gone { first, .. } => format!("gone {first}"),
        });
    }
    assert_eq!(events, ["chunk 1", "down", "chunk 2", "gone 9"]);
    let requests = server.requests();
    assert!(requests[2].contains("from=2&"), "{requests:?}");
}
