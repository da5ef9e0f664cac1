//! A caller against a fake entry with scripted answers: what it sends again, where it resumes a
//! stream, and that every wrong answer is detected.

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
use standin::http::{self, HttpRequest, HttpResponse, Listen};
use standin::response::{drop_connection, json as answer_json, with_content_type, with_header};

/// Headers of a call to the fake.
#[derive(Debug)]
struct Sent {
    key: Option<String>,
    attempt: Option<String>,
    last_event: Option<String>,
}

/// Headers of all calls to the fake, in order.
type Seen = Arc<Mutex<Vec<Sent>>>;

fn class(yaml: &str) -> Class {
    let plan = format!(
        "{{duration: 1s, classes: [{{name: a, key: k, rate: 1, contract: {{deadline: 5s}}, {yaml}}}]}}"
    );
    let plan = Plan::parse(&plan).expect("the plan of the test is valid");
    plan.classes
        .into_iter()
        .next()
        .expect("the plan has a class")
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
    F: Fn(usize, &Request) -> HttpResponse + Clone + Send + 'static,
{
    send_slowly(class, move |number, request| {
        (Duration::ZERO, script(number, request))
    })
}

/// Like [`send`], with a delay before each answer.
fn send_slowly<F>(class: &Class, script: F) -> (RequestResult, Seen)
where
    F: Fn(usize, &Request) -> (Duration, HttpResponse) + Clone + Send + 'static,
{
    let seen = Seen::default();
    let request = RequestSource::new(class, 0, "t".to_owned(), 1).next_request(Duration::ZERO);
    let (log, sent) = (Arc::clone(&seen), request.clone());
    let handler = move |call: HttpRequest| {
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
    let result = actix_rt::System::new().block_on(async {
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
    (result, seen)
}

fn echo(request: &Request) -> HttpResponse {
    let digest = blake3::hash(&request.body).to_hex();
    answer_json(StatusCode::OK, &json!({ "digest": digest.as_str() }))
}

fn refuse(ran: &str) -> HttpResponse {
    let answer = answer_json(StatusCode::SERVICE_UNAVAILABLE, &json!({ "ran": ran }));
    with_header(answer, "retry-after", "0")
}

/// Events `from..to` of the expected answer, with `[DONE]` after the last one.
fn events(prompt: &Prompt, from: usize, to: usize) -> HttpResponse {
    let expected = prompt.expected_text();
    let mut text = String::new();
    for (index, token) in expected
        .split_inclusive(' ')
        .enumerate()
        .take(to)
        .skip(from)
    {
        let data = json!({ "choices": [{ "text": token }] });
        text.push_str(&format!("id: e{index}\ndata: {data}\n\n"));
    }
    if to == prompt.output as usize {
        text.push_str("data: [DONE]\n\n");
    }
    with_content_type(StatusCode::OK, "text/event-stream", text)
}

fn prompt(request: &Request) -> &Prompt {
    request
        .prompt
        .as_ref()
        .expect("the request is a completion")
}

#[test]
fn retries_use_the_same_idempotency_key() {
    let (result, seen) = send(&plain(), |number, request| match number {
        0 => refuse("no"),
        1 => drop_connection(),
        _ => echo(request),
    });
    assert_eq!(result.outcome.verdict, Verdict::Served);
    assert_eq!(result.outcome.retries, 2);
    assert!(!result.never_ran, "the dropped attempt may have run");
    let seen = seen.lock().unwrap();
    assert!(seen.iter().all(|sent| sent.key.as_deref() == Some("t-0-1")));
}

/// A card must not stay unauthorised although nothing failed. An entry refused the first call as
/// not run, the caller counted the next one as the second attempt, and another entry told it that
/// the first may have run.
#[test]
fn attempt_that_did_not_run_is_not_counted() {
    let (result, seen) = send(&plain(), |number, request| match number {
        0 => refuse("no"),
        1 => drop_connection(),
        _ => echo(request),
    });
    assert_eq!(result.outcome.verdict, Verdict::Served);
    let seen = seen.lock().unwrap();
    let attempts: Vec<_> = seen.iter().map(|sent| sent.attempt.as_deref()).collect();
    assert_eq!(attempts, [Some("1"), Some("1"), Some("2")]);
}

#[test]
fn attempt_timeout_starts_another_attempt() {
    let with_timeout = class(
        "repeatable: false, keyed: true, attempt_timeout: 100ms, retries: 1, plain: {path: /a}",
    );
    let (result, seen) = send_slowly(&with_timeout, |number, request| {
        let wait = if number == 0 { 3 } else { 0 };
        (Duration::from_secs(wait), echo(request))
    });
    assert_eq!(result.outcome.verdict, Verdict::Served);
    assert!(!result.never_ran, "the timed-out attempt may have run");
    assert_eq!(seen.lock().unwrap().len(), 2);
}

#[test]
fn stream_is_resumed_after_its_latest_event() {
    let (result, seen) = send(&stream(), |number, request| match number {
        0 => events(prompt(request), 0, 2),
        1 => events(prompt(request), 2, 3),
        _ => events(prompt(request), 3, 4),
    });
    assert_eq!(result.outcome.verdict, Verdict::Served);
    assert_eq!((result.outcome.resumes, result.outcome.tokens), (2, 4));
    let seen = seen.lock().unwrap();
    let resumed: Vec<_> = seen.iter().map(|sent| sent.last_event.as_deref()).collect();
    assert_eq!(resumed, [None, Some("e1"), Some("e2")]);
}

/// A repeated event must be detected. An entry that resumes a stream starts one event too early if
/// an id stands for the event itself in one place and for the next event in another.
#[test]
fn repeated_event_is_garbled() {
    let (result, _) = send(&stream(), |number, request| match number {
        0 => events(prompt(request), 0, 2),
        _ => events(prompt(request), 1, 4),
    });
    assert_eq!(result.outcome.verdict, Verdict::Garbled);
}

#[test]
fn stream_without_its_end_is_cut() {
    let (result, _) = send(&stream(), |number, request| match number {
        0 => events(prompt(request), 0, 2),
        _ => refuse("no"),
    });
    assert_eq!(result.outcome.verdict, Verdict::Cut);
}

/// Another caller's answer must be detected. An upstream answers late on a connection that should
/// have been closed but was reused for the next request.
#[test]
fn crossed_answer_is_detected_by_id_and_by_content() {
    let (result, _) = send(&plain(), |_, request| {
        with_header(echo(request), "x-request-id", "another")
    });
    assert_eq!(result.outcome.verdict, Verdict::Crossed);
    let (result, _) = send(&plain(), |_, _| {
        answer_json(StatusCode::OK, &json!({ "digest": "another" }))
    });
    assert_eq!(result.outcome.verdict, Verdict::Crossed);
    let (result, _) = send(&stream(), |_, request| {
        let other = Prompt {
            text: "another prompt".to_owned(),
            ..prompt(request).clone()
        };
        events(&other, 0, 4)
    });
    assert_eq!(result.outcome.verdict, Verdict::Crossed);
}

#[test]
fn truncated_answer_is_cut_and_not_crossed() {
    let (result, _) = send(&class("repeatable: false, plain: {path: /a}"), |_, _| {
        with_content_type(StatusCode::OK, "application/json", "{\"digest\": \"")
    });
    assert_eq!(result.outcome.verdict, Verdict::Cut);
}
