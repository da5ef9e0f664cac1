//! Unit tests: classification of failed calls, pauses, phases, headers, deadlines, paths, prompts,
//! metrics and policy overrides.

use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use entry::completion_params::engine_body;
use entry::front::prompt::Prompt;
use entry::front::{deadline, headers, path};
use entry::metrics::TABLE;
use entry::policy::Overrides;
use entry::process::pause_detector::PauseDetector;
use entry::process::phase::{Lifecycle, Phase};
use entry::upstream::failure::Failure;
use routing::decision::Execution;

/// A service executes a call and crashes before it answers. The HTTP client reports this like a
/// failure to connect; if it counted as not run, a card could be charged twice.
#[test]
fn call_may_have_run_if_the_connection_closed_before_the_answer() {
    let closed = SendRequestError::Connect(ConnectError::Disconnected);
    assert_eq!(
        Failure::from_client_error(&closed).ran(),
        Execution::Unknown
    );
    let refused = std::io::Error::from(std::io::ErrorKind::ConnectionRefused);
    let refused = SendRequestError::Connect(ConnectError::Io(refused));
    assert_eq!(
        Failure::from_client_error(&refused).ran(),
        Execution::NotRun
    );
    assert_eq!(
        Failure::from_client_error(&SendRequestError::Timeout).ran(),
        Execution::Unknown
    );
}

/// The process is stopped, its caller resumes the stream at another entry, and the process
/// continues. If it trusted that its caller is gone, it would cancel the stream at the engine.
#[test]
fn pause_is_detected_and_remembered() {
    let millis = Duration::from_millis;
    let detector = PauseDetector::new(millis(0));
    assert!(!detector.tick(millis(100)));
    assert!(detector.has_no_recent_pause(millis(150)));
    assert!(!detector.has_no_recent_pause(millis(5_000)));
    assert!(detector.tick(millis(5_000)));
    assert!(!detector.has_no_recent_pause(millis(5_001)));
    for beat in 51..=160 {
        assert!(!detector.tick(millis(beat * 100)));
    }
    assert!(detector.has_no_recent_pause(millis(16_050)));
}

#[test]
fn phase_never_goes_back() {
    let life = Lifecycle::new();
    life.advance(Phase::Finishing);
    life.advance(Phase::Leaving);
    assert_eq!(life.phase(), Phase::Finishing);
}

#[test]
fn key_and_hop_by_hop_headers_are_not_forwarded() {
    let mut map = HeaderMap::new();
    for (name, value) in [
        ("authorization", "Bearer k"),
        ("connection", "x-hop, close"),
        ("x-hop", "1"),
        ("host", "a"),
        ("x-stream-id", "mine"),
        ("x-kv-handle", "mine"),
        ("idempotency-key", "k1"),
        ("accept", "*/*"),
    ] {
        map.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    let mut kept: Vec<&str> = headers::to_upstream(&map)
        .map(|(name, _)| name.as_str())
        .collect();
    kept.sort_unstable();
    assert_eq!(kept, ["accept", "idempotency-key"]);
}

#[test]
fn shortest_deadline_applies() {
    let mut map = HeaderMap::new();
    let of = |map: &HeaderMap| {
        deadline::resolve(
            map,
            Duration::from_secs(5),
            Duration::from_secs(2),
            Duration::from_secs(60),
        )
    };
    assert_eq!(of(&map).unwrap(), Duration::from_secs(7));
    map.insert(headers::DEADLINE, HeaderValue::from_static("500"));
    assert_eq!(of(&map).unwrap(), Duration::from_millis(5_500));
    map.insert(headers::DEADLINE, HeaderValue::from_static("9000"));
    assert_eq!(of(&map).unwrap(), Duration::from_secs(7));
    map.insert(headers::DEADLINE, HeaderValue::from_static("soon"));
    assert!(of(&map).is_err());
}

#[test]
fn paths_with_dot_segments_are_refused() {
    for bad in ["/pay/../x", "/pay/./x", "/pay/%2e%2E/x", "/..", "/a/.%2e"] {
        assert!(path::check(bad).is_err(), "{bad}");
    }
    for good in ["/", "/pay/a.b", "/pay/...", "/pay/.hidden"] {
        assert!(path::check(good).is_ok(), "{good}");
    }
}

#[test]
fn only_the_model_name_changes_in_the_engine_body() {
    let body = Bytes::from_static(br#"{"x": 1, "model" : "kiosk", "prompt":"hi", "stream":true}"#);
    let prompt = Prompt::read(&body).unwrap();
    assert!(prompt.stream);
    assert_eq!(prompt.model, "kiosk");
    let sent = engine_body(&body, &prompt, "llm@3+lima");
    assert_eq!(
        sent,
        &br#"{"x": 1, "model" : "llm@3+lima", "prompt":"hi", "stream":true}"#[..]
    );
    for broken in [
        "",
        "{}",
        "[1]",
        r#"{"model":"m"}"#,
        r#"{"model":1,"prompt":""}"#,
    ] {
        assert!(Prompt::read(broken.as_bytes()).is_err(), "{broken}");
    }
}

#[test]
fn operators_page_lists_all_metrics() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATORS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let table = entry::metrics::markdown_table("tarragon");
    assert!(page.contains(&table), "the section Metrics wants:\n{table}");
}

#[test]
fn policy_overrides_are_checked() {
    let given = |key: &str, value: &str| [(key.to_owned(), value.to_owned())].into();
    assert!(Overrides::try_from(&given("choice", "drill")).is_ok());
    assert!(Overrides::try_from(&given("choice", "best")).is_err());
    assert!(Overrides::try_from(&given("transfer", "false")).is_ok());
    assert!(Overrides::try_from(&given("choise", "drill")).is_err());
}

#[test]
fn metrics_table_is_in_the_order_of_its_enum() {
    for (index, (metric, _, _, _)) in TABLE.iter().enumerate() {
        assert_eq!(*metric as usize, index);
    }
}
