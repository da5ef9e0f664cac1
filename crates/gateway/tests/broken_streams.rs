//! Streams that their engine breaks off, by the way in which it frames and ends them.

mod harness;

use harness::{Gateway, wait_until};
use platform_standin::configuration::HOST;
use platform_standin::engine::{Behaviour, BodyFraming, EarlyEnd};
use platform_standin::{Ending, Engine, request};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// An answer as it arrives at a caller, to the end of its connection.
struct RawAnswer {
    text: String,
    is_reset: bool,
}

impl RawAnswer {
    /// Whether the body looks complete to a caller of HTTP/1.1.
    fn has_last_chunk(&self) -> bool {
        self.text.ends_with("\r\n0\r\n\r\n")
    }

    /// Whether it breaks off after the second event, as the engine's does.
    fn breaks_off_after_two_events(&self) -> bool {
        !self.has_last_chunk() && self.events() == ["1", "2"]
    }

    /// Ids of the events that arrived, in order.
    fn events(&self) -> Vec<&str> {
        let lines = self.text.lines();
        lines.filter_map(|line| line.strip_prefix("id: ")).collect()
    }
}

/// Sends a generation of parts that no engine has cached, on a connection of its own.
async fn call_raw(gateway: &Gateway, path: &str, version: &str) -> RawAnswer {
    let mut caller = TcpStream::connect(gateway.front)
        .await
        .expect("the gateway listens");
    let id = gateway.fresh_id();
    let mut text = format!("GET {path} {version}\r\nhost: {HOST}\r\nconnection: close\r\n");
    let ids = [("request-id", id.as_str()), ("request-deadline", "20000")];
    let parts = format!("a{id}:80,b{id}:20");
    let sizes = request::generation_headers("100,20", &parts);
    for (name, value) in ids.into_iter().chain(sizes) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let sent = caller.write_all(text.as_bytes()).await;
    sent.expect("a request can be sent");
    let mut answer = Vec::new();
    let is_reset = caller.read_to_end(&mut answer).await.is_err();
    RawAnswer {
        text: String::from_utf8_lossy(&answer).into_owned(),
        is_reset,
    }
}

/// Two engines that end the streams that they begin within the third event, and complete those that
/// they resume. Returns once the gateway knows both.
async fn start_with_two_engines(line_end: &'static str) -> (Gateway, [Engine; 2]) {
    let (gateway, _app, first) = Gateway::start().await;
    let second = Engine::start("pool-2").await;
    second.register(&gateway.store, "pool", "ready", Some("decode"));
    let engines = [first, second];
    for engine in &engines {
        engine.set_line_end(line_end);
        engine.set_behaviour(end_within_event(Ending::Reset));
    }
    wait_until(async || {
        call_raw(&gateway, "/resume/a", "HTTP/1.1").await;
        engines.iter().any(has_resumed)
    })
    .await;
    (gateway, engines)
}

/// Whether an engine resumed a stream after its second event.
fn has_resumed(engine: &Engine) -> bool {
    let requests = engine.received();
    requests.iter().any(|got| got.last_event_id() == Some("2"))
}

/// Ends a stream within its third event.
fn end_within_event(ending: Ending) -> Behaviour {
    Behaviour::EndEarly(EarlyEnd {
        events: 2,
        within_event: true,
        ending,
    })
}

/// Framings and endings of streams that end within an event.
const CASES: [(BodyFraming, Ending); 6] = [
    (BodyFraming::Delimited, Ending::Complete),
    (BodyFraming::Delimited, Ending::Close),
    (BodyFraming::Delimited, Ending::Reset),
    (BodyFraming::UntilClose, Ending::Complete),
    (BodyFraming::UntilClose, Ending::Close),
    (BodyFraming::UntilClose, Ending::Reset),
];

/// The cases in which a caller does not see that its stream has been broken off.
async fn undetected(gateway: &Gateway, pool: &Engine) -> Vec<(BodyFraming, Ending)> {
    let mut undetected = Vec::new();
    for (framing, ending) in CASES {
        pool.set_framing(framing);
        pool.set_behaviour(end_within_event(ending));
        let answer = call_raw(gateway, "/stream/a", "HTTP/1.1").await;
        if !answer.breaks_off_after_two_events() {
            undetected.push((framing, ending));
        }
    }
    undetected
}

/// Guards against passing half an event on, framed as the end of a complete stream.
#[actix_rt::test]
async fn streams_that_end_within_an_event_are_not_framed_as_complete() {
    let (gateway, _app, pool) = Gateway::start().await;
    assert_eq!(undetected(&gateway, &pool).await, []);
}

/// Guards against ending a stream that another engine could resume.
#[actix_rt::test]
async fn streams_that_end_within_an_event_resume_at_another_engine() {
    let (gateway, engines) = start_with_two_engines("\n").await;
    for (framing, ending) in CASES {
        for engine in &engines {
            engine.set_framing(framing);
            engine.set_behaviour(end_within_event(ending));
        }
        let answer = call_raw(&gateway, "/resume/a", "HTTP/1.1").await;
        assert!(answer.has_last_chunk(), "{framing:?} {ending:?}");
        assert_eq!(
            answer.events(),
            ["1", "2", "3", "4"],
            "{framing:?} {ending:?}"
        );
    }
}

/// Guards against completing a broken stream at the instance that forwards it.
#[actix_rt::test]
async fn broken_streams_are_not_framed_as_complete_by_an_instance_that_forwards_them() {
    let (isolated, _other, pool) = Gateway::start_with_forwarding().await;
    assert_eq!(undetected(&isolated, &pool).await, []);
}

/// Guards against holding a stream with CR LF lines back to its end, where it cannot be resumed.
#[actix_rt::test]
async fn a_stream_with_carriage_returns_resumes_after_its_last_whole_event() {
    let (gateway, _engines) = start_with_two_engines("\r\n").await;
    let answer = call_raw(&gateway, "/resume/a", "HTTP/1.1").await;
    assert!(answer.has_last_chunk());
    assert_eq!(answer.events(), ["1", "2", "3", "4"]);
}

/// Guards against chunks to a caller that knows none, and against a broken stream that looks complete
/// to it since both end with the connection.
#[actix_rt::test]
async fn only_complete_streams_end_in_an_orderly_way_for_callers_of_http_1_0() {
    let (gateway, _app, pool) = Gateway::start().await;
    for (framing, ending) in CASES {
        pool.set_framing(framing);
        pool.set_behaviour(Behaviour::Run);
        let answer = call_raw(&gateway, "/stream/a", "HTTP/1.0").await;
        assert!(!answer.is_reset, "{framing:?} {ending:?}");
        assert!(
            !answer.text.contains("transfer-encoding"),
            "{}",
            answer.text
        );
        assert_eq!(answer.events(), ["1", "2", "3", "4"]);
        assert!(answer.text.ends_with("4\n\n"), "{}", answer.text);
        pool.set_behaviour(end_within_event(ending));
        let answer = call_raw(&gateway, "/stream/a", "HTTP/1.0").await;
        assert!(answer.is_reset, "{framing:?} {ending:?}");
    }
}

/// Ends with its first event, between two events.
const END_AFTER_EVENT: Behaviour = Behaviour::EndEarly(EarlyEnd {
    events: 1,
    within_event: false,
    ending: Ending::Stop,
});

/// Guards against taking the end of an engine between two events for that of its stream.
#[actix_rt::test]
async fn a_stream_without_length_whose_engine_ends_between_events_is_not_complete() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_framing(BodyFraming::UntilClose);
    pool.set_behaviour(END_AFTER_EVENT);
    let answer = call_raw(&gateway, "/stream/a", "HTTP/1.1").await;
    assert_eq!(answer.events(), ["1"]);
    assert!(!answer.has_last_chunk(), "{}", answer.text);
}

/// Guards against ending a stream that another engine could resume.
#[actix_rt::test]
async fn a_stream_without_length_whose_engine_ends_between_events_resumes() {
    let (gateway, engines) = start_with_two_engines("\n").await;
    for engine in &engines {
        engine.set_framing(BodyFraming::UntilClose);
        engine.set_behaviour(END_AFTER_EVENT);
    }
    let answer = call_raw(&gateway, "/resume/a", "HTTP/1.1").await;
    assert_eq!(answer.events(), ["1", "2", "3", "4"]);
    assert!(answer.has_last_chunk(), "{}", answer.text);
}

/// Guards against breaking streams off that their engines completed.
#[actix_rt::test]
async fn a_stream_without_length_of_an_engine_that_lives_is_complete() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_framing(BodyFraming::UntilClose);
    let answer = call_raw(&gateway, "/stream/a", "HTTP/1.1").await;
    assert_eq!(answer.events(), ["1", "2", "3", "4"]);
    assert!(answer.has_last_chunk(), "{}", answer.text);
}

/// Guards against a complete stream without events for a caller whose engine ends before its first one.
#[actix_rt::test]
async fn a_connection_that_ends_before_the_first_event_is_no_complete_stream() {
    let (isolated, other, pool) = Gateway::start_with_forwarding().await;
    pool.set_framing(BodyFraming::UntilClose);
    pool.set_behaviour(Behaviour::EndEarly(EarlyEnd {
        events: 0,
        within_event: false,
        ending: Ending::Close,
    }));
    for gateway in [isolated, other] {
        let answer = gateway.generate("/stream/a", &gateway.fresh_id()).await;
        assert_eq!(answer.status, 502);
    }
}

/// Guards against events that come twice, or whose ids go back, where an engine begins a stream anew that it
/// should resume.
#[actix_rt::test]
async fn a_stream_whose_ids_go_back_breaks_off_before_them() {
    let (gateway, engines) = start_with_two_engines("\n").await;
    for (framing, ending) in CASES {
        for engine in &engines {
            engine.set_framing(framing);
            engine.set_behaviour(Behaviour::BeginAnew(EarlyEnd {
                events: 2,
                within_event: true,
                ending,
            }));
        }
        let answer = call_raw(&gateway, "/resume/a", "HTTP/1.1").await;
        assert!(answer.breaks_off_after_two_events(), "{}", answer.text);
    }
}

/// Guards against sending events once more whose ids, without which nothing can go on after them, are missing.
#[actix_rt::test]
async fn a_stream_without_ids_is_not_begun_again_after_its_first_event() {
    let (gateway, engines) = start_with_two_engines("\n").await;
    engines.iter().for_each(Engine::omit_ids);
    let answer = call_raw(&gateway, "/resume/a", "HTTP/1.1").await;
    assert_eq!(answer.text.matches("data: ").count(), 2, "{}", answer.text);
    assert!(!answer.has_last_chunk());
}

/// Resumes a stream after its last event, and sends another call on the same connection. Returns what
/// arrives, to the end of the connection.
async fn resume_and_call(gateway: &Gateway, resumes: &str) -> String {
    let mut caller = TcpStream::connect(gateway.front)
        .await
        .expect("the gateway listens");
    let (first, second) = (gateway.fresh_id(), gateway.fresh_id());
    let sizes = request::generation_headers("100,20", "aa:80,bb:20");
    let resumed = [("last-event-id", "4"), ("resumes", resumes)];
    let mut resume = format!("GET /resume/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {first}\r\n");
    for (name, value) in sizes.into_iter().chain(resumed) {
        resume.push_str(&format!("{name}: {value}\r\n"));
    }
    resume.push_str("\r\n");
    let call = format!(
        "GET /safe/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {second}\r\nconnection: close\r\n\r\n"
    );
    let mut text = String::new();
    for request in [resume, call] {
        let sent = caller.write_all(request.as_bytes()).await;
        sent.expect("a request can be sent");
        while !text.contains("\r\n\r\n") {
            let mut bytes = [0; 4_096];
            let read = caller.read(&mut bytes).await;
            let read = read.expect("the connection is open");
            assert_ne!(read, 0, "the connection ended after {text:?}");
            text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        }
    }
    let rest = caller.read_to_string(&mut text).await;
    rest.expect("the connection closes in an orderly way");
    text
}

/// Guards against the end of a body behind a response that has none, which precedes the next response on
/// its connection.
#[actix_rt::test]
async fn a_resumed_stream_with_nothing_left_is_followed_by_the_next_response() {
    let (isolated, other, pool) = Gateway::start_with_forwarding().await;
    pool.set_behaviour(Behaviour::NothingLeft);
    for gateway in [isolated, other] {
        let begun = gateway.fresh_id();
        let whole = gateway.generate("/resume/a", &begun).await;
        assert_eq!(whole.status, 200);
        let text = resume_and_call(&gateway, &begun).await;
        let (first, rest) = text.split_once("\r\n\r\n").expect("a whole head");
        assert!(first.starts_with("HTTP/1.1 204 "), "{text}");
        assert!(rest.starts_with("HTTP/1.1 200 "), "{text}");
    }
}
