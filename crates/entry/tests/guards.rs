//! What is certain about failed calls, and when a caller's absence is believed.

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

// Symptom: a card is charged twice, and the first call was told as "not run".
// Sequence: the service executes the call and dies before it answers.
// Cause: the client tells this end of the connection like a failure to connect.
#[test]
fn a_connection_that_closed_before_the_answer_may_have_run() {
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

// Symptom: a stream that was resumed at another entry ends in the middle.
// Sequence: this process is stopped, its caller resumes elsewhere, the process goes on.
// Cause: it finds its caller gone and cancels the stream at the engine.
#[test]
fn after_a_pause_a_callers_absence_is_not_believed() {
    let millis = Duration::from_millis;
    let pulse = PauseDetector::new(millis(0));
    assert!(!pulse.tick(millis(100)));
    assert!(pulse.has_no_recent_pause(millis(150)));
    assert!(!pulse.has_no_recent_pause(millis(5_000)));
    assert!(pulse.tick(millis(5_000)));
    assert!(!pulse.has_no_recent_pause(millis(5_001)));
    for beat in 51..=160 {
        assert!(!pulse.tick(millis(beat * 100)));
    }
    assert!(pulse.has_no_recent_pause(millis(16_050)));
}

#[test]
fn a_phase_never_goes_back() {
    let life = Lifecycle::new();
    life.advance(Phase::Finishing);
    life.advance(Phase::Leaving);
    assert_eq!(life.phase(), Phase::Finishing);
}

#[test]
fn a_callers_key_and_connection_headers_stay_here() {
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
fn the_shortest_deadline_counts() {
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
fn paths_with_dots_are_refused() {
    for bad in ["/pay/../x", "/pay/./x", "/pay/%2e%2E/x", "/..", "/a/.%2e"] {
        assert!(path::check(bad).is_err(), "{bad}");
    }
    for good in ["/", "/pay/a.b", "/pay/...", "/pay/.hidden"] {
        assert!(path::check(good).is_ok(), "{good}");
    }
}

#[test]
fn only_the_models_name_changes_on_the_way_to_the_engine() {
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
fn the_operators_page_lists_all_metrics() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATORS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let table = entry::metrics::markdown_table("tarragon");
    assert!(page.contains(&table), "the section Metrics wants:\n{table}");
}

#[test]
fn overrides_of_the_policy_are_checked() {
    let given = |key: &str, value: &str| [(key.to_owned(), value.to_owned())].into();
    assert!(Overrides::try_from(&given("choice", "drill")).is_ok());
    assert!(Overrides::try_from(&given("choice", "best")).is_err());
    assert!(Overrides::try_from(&given("transfer", "false")).is_ok());
    assert!(Overrides::try_from(&given("choise", "drill")).is_err());
}

#[test]
fn the_table_of_metrics_is_in_the_order_of_its_enum() {
    for (index, (metric, _, _, _)) in TABLE.iter().enumerate() {
        assert_eq!(*metric as usize, index);
    }
}
