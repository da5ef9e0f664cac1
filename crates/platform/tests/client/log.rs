//! What the client says is certain about each failure of the log.

use assert_matches::assert_matches;
use std::time::Duration;

use crate::fake::{Fake, Reply, ok};
use bytes::Bytes;
use platform::{AppendError, Event, LogClient, Options, ReadError, Tail};

fn log_at(base: String) -> LogClient {
    LogClient::new(&Options {
        append_timeout: Duration::from_millis(200),
        ..Options::new(base)
    })
}

async fn append_against(reply: Reply) -> AppendError {
    let fake = Fake::start(vec![reply]).await;
    let report = log_at(fake.base()).append(Bytes::from_static(b"x")).await;
    *report.expect_err("the script fails").current_context()
}

#[actix_rt::test]
async fn append_gives_the_offset() {
    let fake = Fake::start(vec![ok(r#"{"offset": 17}"#)]).await;
    let offset = log_at(fake.base()).append(Bytes::from_static(b"x")).await;
    assert_eq!(offset.unwrap(), 17);
    assert_eq!(fake.requests(), ["POST /log/append HTTP/1.1"]);
}

#[actix_rt::test]
async fn refused_connection_is_certain() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let report = log_at(base).append(Bytes::from_static(b"x")).await;
    assert_matches!(
        report.unwrap_err().current_context(),
        AppendError::Refused { retry_after: None }
    );
}

#[actix_rt::test]
async fn refusals_of_the_log_are_certain() {
    let slow_down = Reply::Answer("429 Too Many Requests", "retry-after: 3\r\n", String::new());
    assert_eq!(
        append_against(slow_down).await,
        AppendError::Refused {
            retry_after: Some(Duration::from_secs(3))
        }
    );
    let out = Reply::Answer("503 Service Unavailable", "", String::new());
    assert_eq!(
        append_against(out).await,
        AppendError::Refused { retry_after: None }
    );
}

// Symptom: a record stands twice although its writer was told that it was not taken.
// Sequence: the log appends, then the connection closes before the answer.
// Cause: awc reports the closed connection as a failure to connect.
#[actix_rt::test]
async fn connection_closed_after_the_request_is_unknown() {
    assert_eq!(append_against(Reply::Close).await, AppendError::Unknown);
}

#[actix_rt::test]
async fn silence_and_other_statuses_are_unknown() {
    assert_eq!(append_against(Reply::Silence).await, AppendError::Unknown);
    assert_eq!(append_against(ok("{")).await, AppendError::Unknown);
    let failed = Reply::Answer("500 Internal Server Error", "", String::new());
    assert_eq!(append_against(failed).await, AppendError::Unknown);
    let elsewhere = Reply::Answer("307 Temporary Redirect", "location: /x\r\n", String::new());
    assert_eq!(append_against(elsewhere).await, AppendError::Unknown);
}

#[actix_rt::test]
async fn read_past_retention_tells_the_bounds() {
    let gone = Reply::Answer("410 Gone", "", r#"{"first": 9, "next": 18}"#.to_owned());
    let fake = Fake::start(vec![gone]).await;
    let report = log_at(fake.base()).read(1, 10, Duration::ZERO).await;
    assert_matches!(
        report.unwrap_err().current_context(),
        ReadError::Gone { first: 9, next: 18 }
    );
}

// Symptom: one entry folds another state than all others.
// Sequence: the log's answer skips a record.
// Cause: a reader that trusts the order of the answer.
#[actix_rt::test]
async fn read_with_a_gap_is_thrown_away() {
    let gap =
        r#"{"first":1,"next":4,"records":[{"offset":1,"data":"YQ=="},{"offset":3,"data":"Yg=="}]}"#;
    let fake = Fake::start(vec![ok(gap)]).await;
    let report = log_at(fake.base()).read(1, 10, Duration::ZERO).await;
    assert_matches!(report.unwrap_err().current_context(), ReadError::Malformed);
}

#[actix_rt::test]
async fn tail_goes_on_in_order_after_an_outage() {
    let out = Reply::Answer("503 Service Unavailable", "", String::new());
    let fake = Fake::start(vec![
        ok(r#"{"first":1,"next":2,"records":[{"offset":1,"data":"YQ=="}]}"#),
        out,
        ok(r#"{"first":1,"next":3,"records":[{"offset":2,"data":"Yg=="}]}"#),
        Reply::Answer("410 Gone", "", r#"{"first": 9, "next": 18}"#.to_owned()),
    ])
    .await;
    let log = log_at(fake.base());
    let mut tail = Tail::spawn(
        log,
        1,
        Duration::ZERO,
        Box::new(|| 0.0),
        Box::new(|| Duration::ZERO),
    );
    let mut seen = Vec::new();
    while let Some(event) = tail.next().await {
        seen.push(match event {
            Event::Chunk { chunk, .. } => format!("chunk {}", chunk.records[0].offset),
            Event::Unavailable => "down".to_owned(),
            Event::Gone { first, .. } => format!("gone {first}"),
        });
    }
    assert_eq!(seen, ["chunk 1", "down", "chunk 2", "gone 9"]);
    let asked = fake.requests();
    assert!(asked[2].contains("from=2&"), "{asked:?}");
}
