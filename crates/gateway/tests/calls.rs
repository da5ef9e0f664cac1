//! Calls through a real gateway process to engines that fail in various ways.

mod harness;

use std::time::Duration;

use harness::{Gateway, generation, send_call, send_call_within, wait_until};
use platform_standin::engine::{Behaviour, BodyFraming, EarlyEnd, ReceivedRequest};
use platform_standin::request::{self, FORGED_HEADERS, PREFILL_ONLY};
use platform_standin::{Ending, Engine};

#[actix_rt::test]
async fn calls_on_routes_of_every_kind_are_served() {
    let (gateway, app, pool) = Gateway::start().await;
    assert_eq!(
        gateway.call("/safe/a", "s1", &[]).await.text(),
        "answer to s1"
    );
    assert_eq!(
        gateway.call("/once/a", "u1", &[]).await.text(),
        "answer to u1"
    );
    let answer = gateway.generate("/stream/a", "g1").await;
    assert_eq!(answer.text().matches("data: g1").count(), 4);
    assert!(answer.signed);
    assert_eq!(app.run_count("u1"), 1);
    assert_eq!(pool.run_count("g1"), 1);
}

#[actix_rt::test]
async fn a_connection_serves_several_calls_in_sequence() {
    let (gateway, _app, _pool) = Gateway::start().await;
    let mut caller = gateway.connect().await;
    for id in ["a", "b", "c"] {
        assert_eq!(
            send_call(&mut caller, "/safe/x", id, &[]).await.text(),
            format!("answer to {id}")
        );
        assert_eq!(
            send_call(&mut caller, "/stream/x", id, &generation())
                .await
                .status,
            200
        );
    }
}

#[actix_rt::test]
async fn a_path_that_no_route_matches_is_not_found() {
    let (gateway, _app, _pool) = Gateway::start().await;
    assert_eq!(gateway.call("/other/a", "a", &[]).await.status, 404);
    assert_eq!(gateway.call("/safe", "a", &[]).await.status, 404);
}

/// An instance starts while the store is down. When a missing configuration counted as an empty
/// one, valid calls got 404 in the instance's first moments.
#[actix_rt::test]
async fn a_call_before_the_first_configuration_gets_503_with_retry_after() {
    let gateway = Gateway::start_unconfigured().await;
    let answer = gateway.call("/safe/a", "a", &[]).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    gateway.wait_until_ready(false).await;
}

/// An engine charges a card and its response is lost. When a call without a response counted as one
/// that had not run, the card was charged twice.
#[actix_rt::test]
async fn a_call_on_an_unsafe_route_is_not_retried_after_a_lost_response() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = Engine::start("app-2").await;
    other.register(&gateway.store, "app", "ready", None);
    app.set_behaviour(Behaviour::CloseUnanswered);
    other.set_behaviour(Behaviour::CloseUnanswered);
    for id in ["u1", "u2", "u3"] {
        let answer = gateway.call("/once/a", id, &[]).await;
        assert_eq!(answer.status, 502);
        assert_eq!(app.run_count(id) + other.run_count(id), 1, "{id}");
    }
}

#[actix_rt::test]
async fn a_call_that_an_engine_refused_goes_to_another_one() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = Engine::start("app-2").await;
    other.register(&gateway.store, "app", "ready", None);
    app.set_behaviour(Behaviour::Full);
    wait_until(async || {
        let id = gateway.fresh_id();
        gateway.call("/once/a", &id, &[]).await.status == 200
    })
    .await;
    let answer = gateway.call("/once/a", "u1", &[]).await;
    assert_eq!(answer.text(), "answer to u1");
    assert_eq!((app.run_count("u1"), other.run_count("u1")), (0, 1));
}

#[actix_rt::test]
async fn a_call_on_a_safe_route_is_retried_after_a_lost_response() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = Engine::start("app-2").await;
    other.register(&gateway.store, "app", "ready", None);
    app.set_behaviour(Behaviour::Full);
    wait_until(async || {
        let id = gateway.fresh_id();
        gateway.call("/safe/a", &id, &[]).await;
        other.run_count(&id) == 1
    })
    .await;
    app.set_behaviour(Behaviour::CloseUnanswered);
    wait_until(async || {
        let id = gateway.fresh_id();
        let answer = gateway.call("/safe/a", &id, &[]).await;
        answer.status == 200 && app.run_count(&id) == 1 && other.run_count(&id) == 1
    })
    .await;
}

/// An engine runs a call and answers 503 without saying that it did not run it. When that status,
/// which promises that the call has not run, was passed on, the caller repeated a call that had
/// run.
#[actix_rt::test]
async fn an_engine_error_is_not_passed_on_as_a_promise_that_the_call_has_not_run() {
    let (gateway, app, pool) = Gateway::start().await;
    for status in [429, 503, 408] {
        app.set_behaviour(Behaviour::Fail(status));
        pool.set_behaviour(Behaviour::Fail(status));
        assert_eq!(gateway.call("/once/a", "u1", &[]).await.status, 502);
        assert_eq!(gateway.generate("/stream/a", "g1").await.status, 502);
    }
    app.set_behaviour(Behaviour::Fail(500));
    let answer = gateway.call("/once/a", "u2", &[]).await;
    assert_eq!(answer.status, 500);
    assert!(answer.signed);
}

#[actix_rt::test]
async fn calls_refused_by_all_engines_get_retry_after_and_do_not_run() {
    let (gateway, app, pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::Full);
    pool.set_behaviour(Behaviour::Full);
    for answer in [
        gateway.call("/once/a", "u1", &[]).await,
        gateway.generate("/stream/a", "g1").await,
    ] {
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.is_some());
    }
    assert_eq!(app.run_count("u1") + pool.run_count("g1"), 0);
}

/// An engine sends a response that belongs to an earlier request. When the first bytes that came
/// counted as the response, a caller got the answer to another call.
#[actix_rt::test]
async fn a_response_to_another_call_never_reaches_a_caller() {
    let (gateway, app, pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::AnswerOther);
    pool.set_behaviour(Behaviour::AnswerOther);
    // The engine sends nothing else, so callers run out of time or get an error.
    let mut caller = gateway.connect().await;
    let answer = send_call_within(&mut caller, "/once/a", "u1", 300, &[]).await;
    assert_ne!(answer.status, 200);
    assert!(!answer.text().contains("of another"));
}

/// An engine ends in the middle of an event and another one resumes the stream. When the partial
/// event was passed on, or the stream resumed at a place other than after the last whole event, an
/// event was repeated, lost or joined with half of another.
#[actix_rt::test]
async fn a_resumed_stream_has_every_event_exactly_once() {
    let (gateway, _app, pool) = Gateway::start().await;
    let other = Engine::start("pool-2").await;
    other.register(&gateway.store, "pool", "ready", Some("decode"));
    pool.set_behaviour(Behaviour::CutAfter(2));
    wait_until(async || {
        let id = gateway.fresh_id();
        let answer = gateway.generate("/resume/a", &id).await;
        let Ok(body) = &answer.body else { return false };
        let text = std::str::from_utf8(body).unwrap();
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        assert_eq!(ids, ["1", "2", "3", "4"]);
        pool.run_count(&id) == 1 && other.run_count(&id) == 1
    })
    .await;
    let requests = other.received();
    assert!(requests.iter().any(|got| got.last_event_id() == Some("2")));
}

#[actix_rt::test]
async fn a_stream_that_is_not_resumable_ends_incomplete() {
    let (gateway, _app, pool) = Gateway::start().await;
    let other = Engine::start("pool-2").await;
    other.register(&gateway.store, "pool", "ready", Some("decode"));
    pool.set_behaviour(Behaviour::CutAfter(2));
    other.set_behaviour(Behaviour::CutAfter(2));
    let answer = gateway.generate("/stream/a", "g1").await;
    assert_eq!(answer.status, 200);
    assert!(answer.body.is_err());
    assert_eq!(pool.run_count("g1") + other.run_count("g1"), 1);
}

/// A caller disconnects while its call is at an engine. When the caller's connection was not
/// watched until the response came, engines worked for callers that had left.
#[actix_rt::test]
async fn a_callers_disconnect_cancels_its_call_at_the_engine() {
    let (gateway, app, _pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::Hang);
    let caller = gateway.connect().await;
    let request = async {
        let mut caller = caller;
        send_call(&mut caller, "/once/a", "u1", &[]).await;
    };
    drop(tokio::time::timeout(Duration::from_millis(300), request).await);
    app.set_behaviour(Behaviour::Run);
    wait_until(async || gateway.call("/once/a", "u2", &[]).await.status == 200).await;
    assert_eq!(app.run_count("u1"), 1);
}

#[actix_rt::test]
async fn a_prompt_is_prefilled_at_one_engine_and_decoded_at_another() {
    let gateway = Gateway::start_unconfigured().await;
    let prefill = Engine::start("prefill-1").await;
    prefill.register(&gateway.store, "pool", "ready", Some("prefill"));
    let (gateway, _app, pool) = gateway.add_engines().await;
    wait_until(async || {
        // Parts that no engine has cached, so that there is something to prefill.
        let id = gateway.fresh_id();
        let prefix = format!("aa{id}:40000,bb{id}:10000");
        let mut headers = request::generation_headers("50000,20", &prefix).to_vec();
        headers.extend(FORGED_HEADERS);
        headers.push(PREFILL_ONLY);
        gateway.call("/stream/a", &id, &headers).await;
        !prefill.received().is_empty()
    })
    .await;
    let read = &prefill.received()[0];
    let generated = pool.received().into_iter().find(|got| got.id == read.id);
    let source = format!("{}/h{}", prefill.address, read.id);
    let generated = generated.expect("the call was generated");
    assert_eq!(generated.kv_source(), Some(source.as_str()));
    assert!(!generated.is_prefill_only());
    assert!(
        !pool
            .received()
            .iter()
            .any(ReceivedRequest::has_forged_header)
    );
}

/// A caller disconnects while an engine works. When its call was dropped without a log line, the
/// request's end appeared nowhere in the logs.
#[actix_rt::test]
async fn a_callers_disconnect_is_logged() {
    let (gateway, app, _pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::Hang);
    let mut caller = gateway.connect().await;
    let head = platform_standin::request::call("/once/a", "gone-1", 20_000, &[]);
    let body = bytes::Bytes::new();
    {
        let request = caller.send(head, &body);
        tokio::select! {
            _ = request => panic!("the engine does not answer"),
            () = wait_until(async || app.run_count("gone-1") == 1) => {}
        }
    }
    drop(caller);
    wait_until(async || gateway.count_log_lines("the caller left id=gone-1") == 1).await;
}

/// An engine works longer than the caller waits. When the attempt's time-out and the call's
/// deadline were the same moment, the attempt's fired first, and the log and the status showed a
/// lost response instead.
#[actix_rt::test]
async fn a_callers_deadline_is_not_logged_as_a_lost_response() {
    let (gateway, app, _pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::Hang);
    for (path, id) in [("/once/a", "late-1"), ("/safe/a", "late-2")] {
        let mut caller = gateway.connect().await;
        let answer = send_call_within(&mut caller, path, id, 400, &[]).await;
        assert_eq!(answer.status, 504);
        // A thread writes the line, possibly after the response.
        wait_until(async || gateway.count_log_lines(&format!("out of time id={id}")) == 1).await;
    }
    assert_eq!(gateway.count_log_lines("answer lost"), 0);
}

/// Guards against taking a reset within an answer without a length for the end of the answer.
#[actix_rt::test]
async fn answers_without_a_length_are_whole_unless_reset() {
    let (gateway, app, _pool) = Gateway::start().await;
    app.set_framing(BodyFraming::UntilClose);
    for path in ["/once/a", "/safe/a"] {
        let id = gateway.fresh_id();
        let answer = gateway.call(path, &id, &[]).await;
        assert_eq!(answer.text(), format!("answer to {id}"));
    }
    app.set_behaviour(Behaviour::EndEarly(EarlyEnd {
        events: 0,
        within_event: false,
        ending: Ending::Reset,
    }));
    for path in ["/once/a", "/safe/a"] {
        let answer = gateway.call(path, &gateway.fresh_id(), &[]).await;
        assert_eq!(answer.status, 502);
    }
}

/// Guards against a caller that waits for a year, or longer than numbers can say, closing its route to all
/// others for a minute.
#[actix_rt::test]
async fn others_are_answered_after_a_caller_that_waits_for_a_year() {
    let (gateway, _app, _pool) = Gateway::start().await;
    for patient in [31_535_999_975, u64::MAX] {
        for deadline in [patient, 1_500, 600] {
            let mut caller = gateway.connect().await;
            let id = gateway.fresh_id();
            let answer = send_call_within(&mut caller, "/once/a", &id, deadline, &[]).await;
            assert_eq!(answer.status, 200, "{deadline} after {patient}");
        }
    }
}

/// Guards against an engine's answer being lost because it says that its connection is kept for longer than
/// clocks can say.
#[actix_rt::test]
async fn calls_are_answered_where_an_engine_keeps_its_connection_for_ever() {
    let (gateway, app, _pool) = Gateway::start().await;
    app.announce_keep_alive("timeout=18446744073709551615");
    // The sum with the gateway's own clock overflows after two seconds.
    for _ in 0..60 {
        let id = gateway.fresh_id();
        let answer = gateway.call("/once/a", &id, &[]).await;
        assert_eq!(answer.text(), format!("answer to {id}"));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(app.request_count("/once/"), 60);
}
