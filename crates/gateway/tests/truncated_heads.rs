//! Engines that stop within the heads of their answers, by the kind of call and the way to the engine.

mod harness;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use harness::{Gateway, wait_until};
use platform_standin::configuration::HOST;
use platform_standin::engine::{self, Behaviour};
use platform_standin::raw::{ID, RawAnswer};
use platform_standin::{Cut, Ending, Engine, request};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Time that the decode engine takes to prefill a prompt, so that it is prefilled elsewhere.
const PREFILL_TIME: Duration = Duration::from_millis(60);

/// Size of a body of which an engine has read nothing when it answers: more than its kernel takes.
const EARLY_BODY_BYTES: usize = 300_000;
/// A link that carries whatever loopback does, so that no body is too much for it.
const LOOPBACK_LINK_MBPS: u32 = 1_000_000;

/// Calls after one whose prefill was lost, so that its engine gets prompts again.
const SOUND_CALLS: usize = 6;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Safe,
    Unsafe,
    Stream,
    Resumable,
}

const KINDS: [Kind; 4] = [Kind::Safe, Kind::Unsafe, Kind::Stream, Kind::Resumable];

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Safe => "/safe/",
            Self::Unsafe => "/once/",
            Self::Stream => "/stream/",
            Self::Resumable => "/resume/",
        }
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// The request with this id and body.
    fn request(self, id: &str, body: &str) -> String {
        let method = if body.is_empty() { "GET" } else { "POST" };
        let mut text = format!(
            "{method} {}{id} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\nrequest-deadline: 20000\r\ncontent-length: {}\r\n",
            self.path(),
            body.len()
        );
        if self.is_stream() {
            let parts = format!("a{id}:40000,b{id}:10000");
            for (name, value) in request::generation_headers("50000,20", &parts) {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        text + "\r\n" + body
    }

    /// The headers by which an engine frames a body.
    fn framing(self) -> &'static str {
        match self.is_stream() {
            true => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            false => "Content-Type: text/plain\r\nContent-Length: 15\r\n",
        }
    }
}

/// An answer as a caller sees it.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: String,
    /// Whether it looks complete to a caller of HTTP/1.1.
    is_complete: bool,
}

impl Answer {
    /// What a connection has received, to its end if it `is_over`, once that is a whole answer or all
    /// that comes.
    fn parse(text: &str, is_over: bool) -> Option<Self> {
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            assert!(is_over || text.len() < 16_384, "a head without end");
            return is_over.then(|| Self {
                status: 0,
                body: text.to_owned(),
                is_complete: false,
            });
        };
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
        let head = head.to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let is_complete = match length {
            Some(length) => {
                let length: usize = length.parse().expect("a length is a number");
                assert!(body.len() <= length, "bytes behind an answer: {text}");
                body.len() == length
            }
            None => body.ends_with("0\r\n\r\n"),
        };
        (is_complete || is_over).then(|| Self {
            status: status.expect("an answer has a status"),
            body: body.to_owned(),
            is_complete,
        })
    }

    /// Whether it is the whole answer of an engine that runs the call with this id.
    fn is_whole(&self, kind: Kind, id: &str) -> bool {
        let is_own = match kind.is_stream() {
            true => {
                let lines = self.body.lines();
                let data: Vec<&str> = lines
                    .filter_map(|line| line.strip_prefix("data: "))
                    .collect();
                data == [1, 2, 3, 4].map(|event| format!("{id} {event}"))
            }
            false => self.body == format!("answer to {id}"),
        };
        self.status == 200 && self.is_complete && is_own
    }

    /// Whether it neither passes for a complete success nor holds bytes of the head that was cut.
    fn is_failure(&self) -> bool {
        let is_success = (200..300).contains(&self.status);
        let has_head = self.body.contains("HTTP/1.") || self.body.contains("SIG");
        let looks_whole = is_success && self.is_complete;
        !(has_head || looks_whole)
    }
}

/// Sends a request and reads its answer.
async fn exchange(caller: &mut TcpStream, request: &str) -> Answer {
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("the gateway reads requests");
    let mut received = Vec::new();
    loop {
        let read = caller.read_buf(&mut received).await;
        let is_over = matches!(read, Ok(0) | Err(_));
        if let Some(answer) = Answer::parse(&String::from_utf8_lossy(&received), is_over) {
            return answer;
        }
    }
}

async fn connect(gateway: &Gateway) -> TcpStream {
    TcpStream::connect(gateway.front)
        .await
        .expect("the gateway listens")
}

/// A caller whose connection is kept as long as its answers are complete.
struct Caller<'a> {
    gateway: &'a Gateway,
    connection: TcpStream,
}

impl<'a> Caller<'a> {
    async fn new(gateway: &'a Gateway) -> Self {
        let connection = connect(gateway).await;
        Self {
            gateway,
            connection,
        }
    }

    async fn call(&mut self, kind: Kind, id: &str, body: &str) -> Answer {
        let answer = exchange(&mut self.connection, &kind.request(id, body)).await;
        if !answer.is_complete {
            self.connection = connect(self.gateway).await;
        }
        answer
    }
}

/// A whole head, and where it may be cut.
fn heads(kind: Kind) -> Vec<String> {
    let framing = kind.framing();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {ID}\r\nresponse-signature: SIG.42\r\n{framing}\r\n"
    );
    let folded = head.replace(": ", ":\r\n ");
    let interim = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n{head}"
    );
    let line_feeds = head.replace('\r', "");
    vec![head, interim, line_feeds, folded]
}

/// The parts of a head that end before, within and behind each name, value and line end.
fn cuts(head: &str) -> Vec<String> {
    let is_boundary = |c: char| matches!(c, ':' | ' ' | '\r' | '\n');
    let near = |at: usize| {
        let before = &head[at.saturating_sub(2)..at];
        before.contains(is_boundary) || head[at..].starts_with(is_boundary)
    };
    let cuts = (1..head.len()).filter(|at| near(*at));
    cuts.map(|at| head[..at].to_owned()).collect()
}

/// How a connection ends behind an answer that is cut.
const ENDINGS: [Ending; 2] = [Ending::Close, Ending::Reset];

fn raw(text: &str, piece_bytes: usize, ending: Ending) -> Behaviour {
    Behaviour::Raw(RawAnswer {
        text: text.to_owned(),
        piece_bytes,
        ending,
    })
}

/// Plays an answer to a call on a connection that its engine has kept, and on a new one, each followed by
/// another call of the same caller. Returns what is wrong.
async fn play(
    caller: &mut Caller<'_>,
    kind: Kind,
    engine: &Engine,
    behaviour: &Behaviour,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for connection in ["kept", "new"] {
        engine.set_behaviour(behaviour.clone());
        let id = caller.gateway.fresh_id();
        let answer = caller.call(kind, &id, "").await;
        if answer.status != 502 || !answer.is_failure() {
            wrong.push(format!("{kind:?} {connection} {behaviour:?}: {answer:?}"));
        }
        if engine.run_count(&id) != 1 {
            let runs = engine.run_count(&id);
            wrong.push(format!("{kind:?} {connection} {behaviour:?}: {runs} runs"));
        }
    }
    engine.set_behaviour(Behaviour::Run);
    let id = caller.gateway.fresh_id();
    let answer = caller.call(kind, &id, "").await;
    if !answer.is_whole(kind, &id) {
        wrong.push(format!("{kind:?} after {behaviour:?}: {answer:?}"));
    }
    wrong
}

/// Plays one in `step` cuts of all heads, with each ending, to calls of one kind. Returns what is wrong.
async fn play_cuts(gateway: &Gateway, kind: Kind, engine: &Engine, step: usize) -> Vec<String> {
    let mut caller = Caller::new(gateway).await;
    let mut wrong = Vec::new();
    for head in heads(kind) {
        for cut in cuts(&head).into_iter().step_by(step) {
            for ending in ENDINGS {
                let behaviour = raw(&cut, cut.len(), ending);
                wrong.extend(play(&mut caller, kind, engine, &behaviour).await);
            }
        }
    }
    wrong
}

/// Guards against passing on as a complete success what an engine that stopped within its head has sent.
#[actix_rt::test]
async fn answers_cut_within_their_head_fail() {
    let (gateway, app, pool) = Gateway::start().await;
    for kind in KINDS {
        let engine = if kind.is_stream() { &pool } else { &app };
        assert_eq!(play_cuts(&gateway, kind, engine, 1).await, [""; 0]);
    }
}

/// A gateway that reaches no engine, another one that reaches them, and an engine for plain calls and one
/// for streams.
async fn start_with_forwarding() -> (Gateway, Gateway, [Engine; 2]) {
    let (isolated, app, pool) = Gateway::start().await;
    let other = isolated.start_another();
    other.wait_until_ready(true).await;
    for engine in [&app, &pool] {
        engine.cut_off(&[isolated.ip()], Cut::Silent);
    }
    let line = "no engine can be reached from here";
    wait_until(async || {
        isolated.call("/safe/a", &isolated.fresh_id(), &[]).await;
        isolated.generate("/stream/a", &isolated.fresh_id()).await;
        isolated.count_log_lines(line) == 2
    })
    .await;
    (isolated, other, [app, pool])
}

/// Guards against the same at an instance that passes answers on to another one.
#[actix_rt::test]
async fn answers_cut_within_their_head_fail_through_another_instance() {
    let (isolated, other, [app, pool]) = start_with_forwarding().await;
    let sent = "sent for another instance";
    for kind in KINDS {
        let engine = if kind.is_stream() { &pool } else { &app };
        let before = other.count_log_lines(sent);
        assert_eq!(play_cuts(&isolated, kind, engine, 3).await, [""; 0]);
        assert!(
            other.count_log_lines(sent) > before,
            "{kind:?} went another way"
        );
    }
}

/// Guards against taking a head for whole where it ends between two reads, and against cutting one that
/// arrives slowly.
#[actix_rt::test]
async fn heads_that_arrive_byte_by_byte_are_read_to_their_end() {
    let (gateway, app, _pool) = Gateway::start().await;
    let mut caller = Caller::new(&gateway).await;
    for head in heads(Kind::Unsafe).into_iter().take(3) {
        for cut in cuts(&head).into_iter().step_by(12) {
            let behaviour = raw(&cut, 1, Ending::Close);
            let wrong = play(&mut caller, Kind::Unsafe, &app, &behaviour).await;
            assert_eq!(wrong, [""; 0]);
        }
        app.set_behaviour(raw(&format!("{head}fifteen bytes..."), 1, Ending::Complete));
        let answer = caller.call(Kind::Unsafe, &gateway.fresh_id(), "").await;
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "fifteen bytes.."),
            "{head}"
        );
    }
}

/// Guards against the loss of a call, or a mixed answer, where another engine could still serve it.
#[actix_rt::test]
async fn calls_that_may_be_repeated_are_whole_or_fail_beside_a_sound_engine() {
    let (gateway, app, pool) = Gateway::start().await;
    let (other_app, other_pool) = (Engine::start("app-2").await, Engine::start("pool-2").await);
    other_app.register(&gateway.store, "app", "ready", None);
    other_pool.register(&gateway.store, "pool", "ready", Some("decode"));
    wait_until(async || {
        gateway
            .metrics_page()
            .await
            .contains("tarragon_engines 4\n")
    })
    .await;
    for (kind, engine) in [(Kind::Safe, &app), (Kind::Resumable, &pool)] {
        let mut caller = Caller::new(&gateway).await;
        let mut cut_calls = 0;
        for head in heads(kind) {
            for cut in cuts(&head).into_iter().step_by(5) {
                engine.set_behaviour(raw(&cut, cut.len(), Ending::Close));
                let id = gateway.fresh_id();
                let answer = caller.call(kind, &id, "").await;
                assert!(answer.is_whole(kind, &id), "{cut:?} {answer:?}");
                cut_calls += engine.run_count(&id);
            }
        }
        assert!(cut_calls > 0, "no answer was cut");
    }
}

/// A gateway, an engine that only prefills, and one that decodes, once prompts are prefilled at the first.
async fn start_with_prefill() -> (Gateway, Engine, Engine) {
    let gateway = Gateway::start_unconfigured().await;
    let prefill = Engine::start("prefill-1").await;
    prefill.register(&gateway.store, "pool", "ready", Some("prefill"));
    let (gateway, _app, pool) = gateway.add_engines().await;
    pool.set_prefill_time(PREFILL_TIME);
    wait_until_prefilled(&gateway, &prefill).await;
    (gateway, prefill, pool)
}

/// Sends streams until the prompt of one is prefilled at the engine.
async fn wait_until_prefilled(gateway: &Gateway, prefill: &Engine) {
    let mut caller = Caller::new(gateway).await;
    wait_until(async || {
        let id = gateway.fresh_id();
        caller.call(Kind::Stream, &id, "").await;
        prefill.received().iter().any(|got| got.id == id)
    })
    .await;
}

/// Guards against decoding with a KV cache whose handle was read from an answer that had not ended.
#[actix_rt::test]
async fn prompts_whose_prefill_is_cut_are_read_by_the_engine_that_decodes() {
    let (gateway, prefill, pool) = start_with_prefill().await;
    let mut caller = Caller::new(&gateway).await;
    let body = "{\"kv_handle\": \"h12345\", \"tokens\": 1, \"version\": 1}";
    let mut cut_calls = 0;
    for framing in [format!("Content-Length: {}\r\n", body.len()), String::new()] {
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {ID}\r\n{framing}\r\n");
        for cut in cuts(&(head + body)).into_iter().step_by(3) {
            for ending in ENDINGS {
                prefill.set_behaviour(raw(&cut, cut.len(), ending));
                let id = gateway.fresh_id();
                let answer = caller.call(Kind::Stream, &id, "").await;
                assert!(answer.is_whole(Kind::Stream, &id), "{cut:?} {answer:?}");
                let received = pool.received();
                let run = received.iter().find(|got| got.id == id);
                let run = run.expect("the call was decoded");
                assert_eq!(run.kv_source(), None, "{cut:?}");
                cut_calls += usize::from(prefill.received().iter().any(|got| got.id == id));
                prefill.set_behaviour(Behaviour::Run);
                for _ in 0..SOUND_CALLS {
                    caller.call(Kind::Stream, &gateway.fresh_id(), "").await;
                }
            }
        }
    }
    assert!(cut_calls > 20, "{cut_calls} answers were cut");
}

/// Guards against the same where the engine that decodes with another one's KV cache stops.
#[actix_rt::test]
async fn streams_cut_within_their_head_after_a_prefill_fail() {
    let (gateway, prefill, pool) = start_with_prefill().await;
    let wrong = play_cuts(&gateway, Kind::Stream, &pool, 10).await;
    assert_eq!(wrong, [""; 0]);
    let taken_over = pool
        .received()
        .into_iter()
        .filter(|got| got.kv_source().is_some());
    assert!(taken_over.count() > 20);
    assert!(prefill.received().len() > 20);
}

/// An engine that answers before it has read the body of a request.
struct EarlyEngine {
    address: SocketAddr,
    /// The answer's bytes, and how the connection ends after them.
    answer: Rc<RefCell<(String, Ending)>>,
}

impl EarlyEngine {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let answer = Rc::new(RefCell::new((String::new(), Ending::Close)));
        let shared = answer.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(answer_early(stream, shared.clone()));
            }
        });
        Self { address, answer }
    }
}

async fn answer_early(mut stream: TcpStream, answer: Rc<RefCell<(String, Ending)>>) {
    let mut head = Vec::new();
    while !String::from_utf8_lossy(&head).contains("\r\n\r\n") {
        if matches!(stream.read_buf(&mut head).await, Ok(0) | Err(_)) {
            return;
        }
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("request-id: "));
    let (text, ending) = answer.borrow().clone();
    let text = text.replace(ID, id.unwrap_or_default());
    // The gateway may have gone.
    drop(stream.write_all(text.as_bytes()).await);
    // With unread bytes in its buffer, a socket that is dropped resets its connection.
    if ending == Ending::Close {
        drop(stream.shutdown().await);
        drop(stream.read_to_end(&mut Vec::new()).await);
    }
}

/// Guards against the same where the rest of the request is still being sent.
#[actix_rt::test]
async fn early_answers_cut_within_their_head_fail() {
    let first = Gateway::start_unconfigured().await;
    let gateway = first.start_another_at(first.store.address, LOOPBACK_LINK_MBPS);
    let engine = EarlyEngine::start().await;
    engine::register(
        &gateway.store,
        "app-1",
        engine.address,
        "app",
        "ready",
        None,
    );
    gateway.configure(1, "app");
    gateway.wait_until_ready(true).await;
    let body = "x".repeat(EARLY_BODY_BYTES);
    let whole =
        format!("HTTP/1.1 200 OK\r\nRequest-Id: {ID}\r\nresponse-signature: SIG.42\r\n\r\nwhole");
    let mut caller = Caller::new(&gateway).await;
    for head in heads(Kind::Unsafe) {
        for cut in cuts(&head).into_iter().step_by(5) {
            for ending in ENDINGS {
                *engine.answer.borrow_mut() = (cut.clone(), ending);
                let answer = caller.call(Kind::Unsafe, &gateway.fresh_id(), &body).await;
                assert_eq!(answer.status, 502, "{cut:?}");
                *engine.answer.borrow_mut() = (whole.clone(), Ending::Close);
                let answer = caller.call(Kind::Unsafe, &gateway.fresh_id(), &body).await;
                assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
            }
        }
    }
}

/// Guards against taking what a killed instance has passed on for whole.
#[actix_rt::test]
async fn answers_whose_forwarding_instance_is_killed_fail() {
    let event = "id: 1\ndata: x\n\n";
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    for (kind, kept) in [
        (Kind::Unsafe, 40),
        (Kind::Unsafe, usize::MAX),
        (Kind::Stream, 40),
        (Kind::Stream, usize::MAX),
    ] {
        let (isolated, other, [app, pool]) = start_with_forwarding().await;
        let engine = if kind.is_stream() { &pool } else { &app };
        let head = heads(kind).remove(0);
        let text = if kind.is_stream() {
            head + &chunk
        } else {
            head + "part"
        };
        let text = &text[..kept.min(text.len())];
        engine.set_behaviour(raw(text, text.len(), Ending::Complete));
        let id = isolated.fresh_id();
        let mut caller = Caller::new(&isolated).await;
        let end = async {
            wait_until(async || engine.run_count(&id) == 1).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
            other.signal("-KILL");
        };
        let (answer, ()) = tokio::join!(caller.call(kind, &id, ""), end);
        assert!(answer.is_failure(), "{text:?} {answer:?}");
        assert_eq!(engine.run_count(&id), 1);
    }
}

/// Headers of answers beside which the codec expects no body.
const UNUSUAL_FRAMINGS: [&str; 3] = [
    "Transfer-Encoding: identity\r\n",
    "Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 6\r\n",
    "Upgrade: websocket\r\nContent-Length: 6\r\n",
];

/// Guards against an empty body, framed as whole, where an engine's head names another protocol or no coding.
#[actix_rt::test]
async fn bodies_arrive_whole_or_not_at_all_whatever_else_their_heads_name() {
    let (isolated, other, [app, _pool]) = start_with_forwarding().await;
    for gateway in [&isolated, &other] {
        for framing in UNUSUAL_FRAMINGS {
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {ID}\r\nresponse-signature: SIG.42\r\n{framing}\r\n"
            );
            let (cut, whole) = (format!("{head}abc"), format!("{head}abcdef"));
            for (text, ending, status) in [
                (cut.clone(), Ending::Reset, 502),
                (
                    cut,
                    Ending::Close,
                    if framing.contains("Length") { 502 } else { 200 },
                ),
                (whole, Ending::Close, 200),
            ] {
                app.set_behaviour(raw(&text, text.len(), ending));
                let mut caller = Caller::new(gateway).await;
                let answer = caller.call(Kind::Unsafe, &gateway.fresh_id(), "").await;
                assert_eq!(answer.status, status, "{text} {ending:?}");
                assert!(
                    answer.status != 200 || text.ends_with(&format!("\r\n\r\n{}", answer.body)),
                    "{text} {answer:?}"
                );
            }
        }
    }
}
