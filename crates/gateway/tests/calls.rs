//! Calls through a real gateway process, with engines that fail in their ways.

mod harness;

use std::time::Duration;

use platform_standin::Engine;
use platform_standin::engine::{Behaviour, ReceivedRequest};
use platform_standin::request::{self, FORGED_HEADERS, PREFILL_ONLY};
use harness::{Gateway, generation, send_call, send_call_within, wait_until};

#[actix_rt::test]
async fn calls_of_every_kind_are_served() {
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
async fn a_connection_serves_one_call_after_the_other() {
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
async fn what_no_route_allows_is_not_found() {
    let (gateway, _app, _pool) = Gateway::start().await;
    assert_eq!(gateway.call("/other/a", "a", &[]).await.status, 404);
    assert_eq!(gateway.call("/safe", "a", &[]).await.status, 404);
}

/// Symptom: proper calls get 404 in the first moments of an instance. Sequence: an instance starts
/// while the store is away; a call comes. Cause: no configuration looked like an empty one.
#[actix_rt::test]
async fn without_a_configuration_a_call_is_told_to_come_back() {
    let gateway = Gateway::start_unconfigured().await;
    let answer = gateway.call("/safe/a", "a", &[]).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    gateway.wait_until_ready(false).await;
}

/// Symptom: a card is charged twice. Sequence: an engine charges it and its answer is lost. Cause: a
/// call without an answer was taken for one that had not run.
#[actix_rt::test]
async fn a_call_that_may_run_once_is_not_sent_again_after_a_lost_answer() {
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
async fn a_call_that_was_not_run_goes_to_another_engine() {
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
async fn a_call_that_may_be_repeated_survives_a_lost_answer() {
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

/// Symptom: a caller repeats a call that has run. Sequence: an engine runs it and answers 503 without
/// saying that it did not. Cause: the status, which promises that it has not run, was passed on.
#[actix_rt::test]
async fn an_engines_failure_never_promises_that_a_call_has_not_run() {
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
async fn when_all_engines_are_full_the_refusal_is_true_and_says_when() {
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

/// Symptom: a caller gets the answer to another call. Sequence: an engine sends an answer that
/// belongs to an earlier request. Cause: the first bytes that came were taken for the answer.
#[actix_rt::test]
async fn an_answer_to_another_call_never_reaches_a_caller() {
    let (gateway, app, pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::AnswerOther);
    pool.set_behaviour(Behaviour::AnswerOther);
    // The engine sends nothing else, so the callers run out of time or get a failure.
    let mut caller = gateway.connect().await;
    let answer = send_call_within(&mut caller, "/once/a", "u1", 300, &[]).await;
    assert_ne!(answer.status, 200);
    assert!(!answer.text().contains("of another"));
}

/// Symptom: a stream has an event twice, lacks one, or joins halves of two. Sequence: an engine ends
/// in the middle of an event; another one goes on. Cause: the half was passed on, or the place to go
/// on was not the last whole event.
#[actix_rt::test]
async fn a_stream_goes_on_at_another_engine_without_a_seam() {
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
    let resumed = other.received();
    assert!(resumed.iter().any(|got| got.last_event_id() == Some("2")));
}

#[actix_rt::test]
async fn a_stream_that_may_not_go_on_ends_without_looking_complete() {
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

/// Symptom: engines work for callers that have left. Sequence: a caller closes while its call is at
/// an engine. Cause: nobody looked at the caller's connection until the answer came.
#[actix_rt::test]
async fn a_callers_leaving_ends_its_call_at_the_engine() {
    let (gateway, app, _pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::Hang);
    let caller = gateway.connect().await;
    let asking = async {
        let mut caller = caller;
        send_call(&mut caller, "/once/a", "u1", &[]).await;
    };
    drop(tokio::time::timeout(Duration::from_millis(300), asking).await);
    app.set_behaviour(Behaviour::Run);
    wait_until(async || gateway.call("/once/a", "u2", &[]).await.status == 200).await;
    assert_eq!(app.run_count("u1"), 1);
}

#[actix_rt::test]
async fn a_prompt_is_read_at_one_engine_and_generated_at_another() {
    let gateway = Gateway::start_unconfigured().await;
    let prefill = Engine::start("prefill-1").await;
    prefill.register(&gateway.store, "pool", "ready", Some("prefill"));
    let (gateway, _app, pool) = gateway.add_engines().await;
    wait_until(async || {
        // Parts that no engine has read, so that there is something to read.
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

/// Symptom: a request ends nowhere in the logs. Sequence: its caller closes the connection while an engine works. Cause: what
/// was done for it was dropped without a word.
#[actix_rt::test]
async fn a_caller_that_leaves_is_told_of() {
    let (gateway, app, _pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::Hang);
    let mut caller = gateway.connect().await;
    let head = platform_standin::request::call("/once/a", "gone-1", 20_000, &[]);
    let body = bytes::Bytes::new();
    {
        let asking = caller.send(head, &body);
        tokio::select! {
            _ = asking => panic!("the engine does not answer"),
            () = wait_until(async || app.run_count("gone-1") == 1) => {}
        }
    }
    drop(caller);
    wait_until(async || gateway.count_log_lines("the caller left id=gone-1") == 1).await;
}

/// Symptom: a call whose caller's time ended cannot be told from one whose answer an engine lost, in the log and by its
/// status. Sequence: an engine works longer than the caller waits. Cause: the attempt's limit and the call's were the same
/// moment, and the attempt's came first.
#[actix_rt::test]
async fn the_end_of_a_callers_time_is_no_lost_answer() {
    let (gateway, app, _pool) = Gateway::start().await;
    app.set_behaviour(Behaviour::Hang);
    for (path, id) in [("/once/a", "late-1"), ("/safe/a", "late-2")] {
        let mut caller = gateway.connect().await;
        let answer = send_call_within(&mut caller, path, id, 400, &[]).await;
        assert_eq!(answer.status, 504);
        // The line is written by a thread of its own, maybe after the answer.
        wait_until(async || gateway.count_log_lines(&format!("out of time id={id}")) == 1).await;
    }
    assert_eq!(gateway.count_log_lines("answer lost"), 0);
}
