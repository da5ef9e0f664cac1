//! A caller against a fake entry that answers by a script: what it sends again, where it resumes,
//! and that every wrong answer is told.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use load::caller::{Caller, RequestResult};
use load::plan::{Class, Plan};
use load::request::{Prompt, Request, RequestSource};
use load::target;
use load::verdict::Verdict;
use load::worker;
use serde_json::json;
use standin::answer::{drop_connection, json as answer_json, with_header, with_type};
use standin::http::{self, Answer, Call, Listen};

/// What the fake has been sent with a call.
#[derive(Debug)]
struct Sent {
    key: Option<String>,
    attempt: Option<String>,
    last_event: Option<String>,
}

/// What the fake has been sent, by call.
type Seen = Arc<Mutex<Vec<Sent>>>;

fn class(yaml: &str) -> Class {
    let plan = format!(
        "{{duration: 1s, classes: [{{name: a, key: k, rate: 1, contract: {{deadline: 5s}}, {yaml}}}]}}"
    );
    let plan = Plan::parse(&plan).expect("the plan of the test is good");
    plan.classes.into_iter().next().expect("it has a class")
}

fn plain() -> Class {
    class("repeatable: false, keyed: true, plain: {path: /a}")
}

fn stream() -> Class {
    class("completion: {model: m, prompt: {median: 5, max: 5}, output: {median: 4, max: 4}}")
}

/// Sends one request to a fake that answers its n-th call with `script(n, request)`.
fn send<F>(class: &Class, script: F) -> (RequestResult, Seen)
where
    F: Fn(usize, &Request) -> Answer + Clone + Send + 'static,
{
    send_slowly(class, move |number, request| {
        (Duration::ZERO, script(number, request))
    })
}

/// The same with the time that each answer takes.
fn send_slowly<F>(class: &Class, script: F) -> (RequestResult, Seen)
where
    F: Fn(usize, &Request) -> (Duration, Answer) + Clone + Send + 'static,
{
    let seen = Seen::default();
    let request = RequestSource::new(class, 0, "t".to_owned(), 1).next_request(Duration::ZERO);
    let (log, sent) = (Arc::clone(&seen), request.clone());
    let handler = move |call: Call| {
        let text = |name| call.header(name).map(str::to_owned);
        let mut log = log.lock().expect("no test panics while it holds the lock");
        log.push(Sent {
            key: text("idempotency-key"),
            attempt: text("idempotency-attempt"),
            last_event: text("last-event-id"),
        });
        let (wait, answer) = script(log.len() - 1, &sent);
        async move {
            actix_rt::time::sleep(wait).await;
            answer
        }
    };
    let done = actix_rt::System::new().block_on(async {
        let listen = Listen {
            listen: ([127, 0, 0, 1], 0).into(),
            workers: 1,
            stop_s: 0,
        };
        let (server, address) = http::start(&listen, handler).expect("a free port");
        actix_rt::spawn(server);
        let targets = target::TargetSet::new(&[format!("http://{address}")]);
        let caller = Caller {
            class,
            targets: &targets,
            start: Instant::now(),
        };
        caller.send(&worker::client(), &request).await
    });
    (done, seen)
}

fn echo(request: &Request) -> Answer {
    let digest = blake3::hash(&request.body).to_hex();
    answer_json(StatusCode::OK, &json!({ "digest": digest.as_str() }))
}

fn refuse(ran: &str) -> Answer {
    let answer = answer_json(StatusCode::SERVICE_UNAVAILABLE, &json!({ "ran": ran }));
    with_header(answer, "retry-after", "0")
}

/// Events `from` up to `to` of the answer that is due, and `[DONE]` behind the last.
fn events(prompt: &Prompt, from: usize, to: usize) -> Answer {
    let due = prompt.expected_text();
    let mut text = String::new();
    for (index, token) in due.split_inclusive(' ').enumerate().take(to).skip(from) {
        let data = json!({ "choices": [{ "text": token }] });
        text.push_str(&format!("id: e{index}\ndata: {data}\n\n"));
    }
    if to == prompt.output as usize {
        text.push_str("data: [DONE]\n\n");
    }
    with_type(StatusCode::OK, "text/event-stream", text)
}

fn prompt(request: &Request) -> &Prompt {
    request.prompt.as_ref().expect("it is a completion")
}

#[test]
fn a_call_goes_again_with_the_same_key() {
    let (done, seen) = send(&plain(), |number, request| match number {
        0 => refuse("no"),
        1 => drop_connection(),
        _ => echo(request),
    });
    assert_eq!(done.outcome.verdict, Verdict::Served);
    assert_eq!(done.outcome.retries, 2);
    assert!(!done.never_ran, "the dropped one may have run");
    let seen = seen.lock().unwrap();
    assert!(seen.iter().all(|sent| sent.key.as_deref() == Some("t-0-1")));
}

/// Symptom: a card is not authorised though nothing failed. Sequence: an entry refuses the first
/// call with "not run", the caller sends it again as the second attempt, and another entry tells it
/// that the first may have run. Cause: a call that certainly did not run was counted.
#[test]
fn an_attempt_that_did_not_run_is_not_counted() {
    let (done, seen) = send(&plain(), |number, request| match number {
        0 => refuse("no"),
        1 => drop_connection(),
        _ => echo(request),
    });
    assert_eq!(done.outcome.verdict, Verdict::Served);
    let seen = seen.lock().unwrap();
    let attempts: Vec<_> = seen.iter().map(|sent| sent.attempt.as_deref()).collect();
    assert_eq!(attempts, [Some("1"), Some("1"), Some("2")]);
}

#[test]
fn a_silent_entry_is_given_up_for_another_attempt() {
    let impatient = class(
        "repeatable: false, keyed: true, attempt_timeout: 100ms, retries: 1, plain: {path: /a}",
    );
    let (done, seen) = send_slowly(&impatient, |number, request| {
        let wait = if number == 0 { 3 } else { 0 };
        (Duration::from_secs(wait), echo(request))
    });
    assert_eq!(done.outcome.verdict, Verdict::Served);
    assert!(!done.never_ran, "the silent one may have run");
    assert_eq!(seen.lock().unwrap().len(), 2);
}

#[test]
fn a_stream_is_resumed_after_its_newest_event() {
    let (done, seen) = send(&stream(), |number, request| match number {
        0 => events(prompt(request), 0, 2),
        1 => events(prompt(request), 2, 3),
        _ => events(prompt(request), 3, 4),
    });
    assert_eq!(done.outcome.verdict, Verdict::Served);
    assert_eq!((done.outcome.resumes, done.outcome.tokens), (2, 4));
    let seen = seen.lock().unwrap();
    let resumed: Vec<_> = seen.iter().map(|sent| sent.last_event.as_deref()).collect();
    assert_eq!(resumed, [None, Some("e1"), Some("e2")]);
}

/// Symptom: a caller gets an event twice. Sequence: a stream breaks, the entry that resumes it
/// starts one event too early. Cause: the id given out stands for the event itself in one place and
/// for the next one in another.
#[test]
fn an_event_that_comes_twice_is_told() {
    let (done, _) = send(&stream(), |number, request| match number {
        0 => events(prompt(request), 0, 2),
        _ => events(prompt(request), 1, 4),
    });
    assert_eq!(done.outcome.verdict, Verdict::Garbled);
}

#[test]
fn a_missing_end_is_told() {
    let (done, _) = send(&stream(), |number, request| match number {
        0 => events(prompt(request), 0, 2),
        _ => refuse("no"),
    });
    assert_eq!(done.outcome.verdict, Verdict::Cut);
}

/// Symptom: a caller gets another caller's answer. Sequence: an upstream answers late on a
/// connection that was given to the next request. Cause: the connection was not closed.
#[test]
fn a_crossed_answer_is_told_by_its_id_and_by_its_content() {
    let (done, _) = send(&plain(), |_, request| {
        with_header(echo(request), "x-request-id", "another")
    });
    assert_eq!(done.outcome.verdict, Verdict::Crossed);
    let (done, _) = send(&plain(), |_, _| {
        answer_json(StatusCode::OK, &json!({ "digest": "another" }))
    });
    assert_eq!(done.outcome.verdict, Verdict::Crossed);
    let (done, _) = send(&stream(), |_, request| {
        let other = Prompt {
            text: "another prompt".to_owned(),
            ..prompt(request).clone()
        };
        events(&other, 0, 4)
    });
    assert_eq!(done.outcome.verdict, Verdict::Crossed);
}

#[test]
fn a_whole_answer_that_breaks_off_is_cut_and_not_crossed() {
    let (done, _) = send(&class("repeatable: false, plain: {path: /a}"), |_, _| {
        with_type(StatusCode::OK, "application/json", "{\"digest\": \"")
    });
    assert_eq!(done.outcome.verdict, Verdict::Cut);
}
