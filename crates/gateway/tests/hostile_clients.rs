//! Clients that hold much and finish little, at an instance with little memory.

mod harness;

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};

use futures_util::future::join_all;
use harness::{Gateway, Machine, configuration, wait_until};
use platform_standin::configuration::HOST;
use platform_standin::engine::{Behaviour, register};
use platform_standin::raw::RawAnswer;
use platform_standin::{Ending, Engine};
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::yield_now;

/// The machine of the instance. What the process holds at its peak, and its descriptors, stay within it.
const MACHINE: Machine = Machine {
    memory_mb: 64,
    max_descriptors: 512,
};

/// A machine on which two copies of what connections may hold do not fit.
const SMALL_MACHINE: Machine = Machine {
    memory_mb: 48,
    ..MACHINE
};

/// Largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 1_000_000;
/// Clients at once. Their bodies take 1.5 times the machine's memory.
const CLIENTS: usize = 100;
/// One client in so many sends its request to the end.
const FINISHING: usize = 10;
/// Pieces in which a body is sent piece by piece.
const PIECES: usize = 16;
const LARGE_CHUNK_BYTES: usize = 64 * 1024;
const SMALL_CHUNK_BYTES: usize = 16;
/// What clients announce or send that keep to no limit.
const ANNOUNCED_BYTES: u64 = 1 << 40;
const SENT_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Largest legal head, in bytes. Heads at once, which are legal but for their end.
const MAX_HEAD_BYTES: usize = 120_000;
const HEADS: usize = 400;
const HEAD_BYTES: usize = 110_000;

/// Callers that do not read their answers, and the size of an answer.
const IDLE_READERS: usize = 40;
const ANSWER_BYTES: usize = 4_000_000;
/// Size of a receive buffer that takes little of an answer.
const SMALL_BUFFER_BYTES: u32 = 4_096;

/// Connections on which nothing is sent, more than the machine has descriptors.
const SILENT_CONNECTIONS: usize = 600;

/// Time that the instance gives a client for a request, which frees what the others hold.
const HEADER_TIMEOUT_MS: u32 = 5_000;

/// One test at a time: each measures the memory of its processes under the load of its own clients.
static TURN: Semaphore = Semaphore::const_new(1);

/// An instance on [`MACHINE`] with an engine for plain calls and one for streams.
async fn start() -> (Gateway, Engine, Engine) {
    start_on(MACHINE).await
}

async fn start_on(machine: Machine) -> (Gateway, Engine, Engine) {
    let started = Gateway::start_on(machine).await.add_engines().await;
    configure(&started.0).await;
    started
}

async fn configure(gateway: &Gateway) {
    let mut limited = configuration(2, "app");
    limited["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    limited["limits"]["max_header_bytes"] = json!(MAX_HEAD_BYTES);
    limited["limits"]["header_timeout_ms"] = json!(HEADER_TIMEOUT_MS);
    gateway.store.put("keyed.op", "config", Some(&limited));
    wait_until(async || gateway.count_log_lines_with("configuration in force", "version=2") == 1)
        .await;
}

/// The head of a call with these further header lines.
fn head(id: &str, lines: &str) -> Vec<u8> {
    format!("POST /once/ HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\n{lines}\r\n").into_bytes()
}

fn sized(id: &str, length: u64) -> Vec<u8> {
    head(id, &format!("content-length: {length}\r\n"))
}

/// A body in chunks of this size, without the last one.
fn chunks(size: usize) -> Vec<u8> {
    let mut body = Vec::new();
    for _ in 0..MAX_BODY_BYTES / size {
        body.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        body.resize(body.len() + size, b'x');
        body.extend_from_slice(b"\r\n");
    }
    body
}

/// Clients that stay open until the instance answers or closes their connections.
struct Crowd<'a> {
    to: SocketAddr,
    from: Option<IpAddr>,
    clients: usize,
    /// The first part of the request of the client with this number.
    request: &'a dyn Fn(usize) -> Vec<u8>,
    /// The rest, which one client in `finishing` sends once all have sent their first part.
    rest: &'a [u8],
    finishing: usize,
    /// Size of the pieces, between which the others send theirs.
    piece_bytes: usize,
}

impl Crowd<'_> {
    async fn connect(&self) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if let Some(from) = self.from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        socket.connect(self.to).await
    }

    /// Sends all requests, and waits until each has been answered or its connection was closed. Returns
    /// the beginnings of the answers.
    async fn send(&self) -> Vec<String> {
        let waiting = Cell::new(self.clients);
        let clients = (0..self.clients).map(|client| self.send_one(client, &waiting));
        let answers = join_all(clients).await;
        answers.into_iter().flatten().collect()
    }

    /// A connection that is refused or closed is what the instance may do to such a client.
    async fn send_one(&self, client: usize, waiting: &Cell<usize>) -> Option<String> {
        let mut connection = self.connect().await;
        let request = (self.request)(client);
        for piece in request.chunks(self.piece_bytes) {
            if let Ok(open) = &mut connection
                && let Err(error) = open.write_all(piece).await
            {
                connection = Err(error);
            }
            yield_now().await;
        }
        waiting.set(waiting.get() - 1);
        wait_until(async || waiting.get() == 0).await;
        let mut connection = connection.ok()?;
        if client.is_multiple_of(self.finishing) {
            // The answer may have come before.
            drop(connection.write_all(self.rest).await);
        }
        let mut answer = [0; 1_024];
        let received = connection.read(&mut answer).await.ok()?;
        Some(String::from_utf8_lossy(&answer[..received]).to_ascii_lowercase())
    }
}

/// Whether a call is answered by the engine. It may be refused while the crowd is there.
async fn is_answered(gateway: &Gateway) -> bool {
    let Some(mut caller) = gateway.try_connect().await else {
        return false;
    };
    let head = platform_standin::request::call("/safe/a", &gateway.fresh_id(), 20_000, &[]);
    let answer = caller.send(head, &bytes::Bytes::new()).await;
    answer.is_ok_and(|answer| answer.head.status.as_u16() == 200)
}

/// Sends the crowd's requests. Panics unless the instance stays within its machine, answers an ordinary
/// call while the crowd is there, and another one afterwards.
async fn assert_withstands(gateway: &Gateway, crowd: &Crowd<'_>) -> Vec<String> {
    let most = Cell::new(0);
    let ordinary = async {
        wait_until(async || {
            most.set(most.get().max(gateway.open_descriptors()));
            is_answered(gateway).await
        })
        .await;
    };
    let (answers, ()) = tokio::join!(crowd.send(), ordinary);
    most.set(most.get().max(gateway.open_descriptors()));
    assert_fits(gateway, most.get());
    wait_until(async || is_answered(gateway).await).await;
    assert_fits(gateway, gateway.open_descriptors());
    answers
}

fn assert_fits(gateway: &Gateway, descriptors: usize) {
    assert_fits_on(MACHINE, gateway, descriptors);
}

fn assert_fits_on(machine: Machine, gateway: &Gateway, descriptors: usize) {
    assert!(gateway.is_alive());
    let peak = gateway.peak_memory_mib() * 1024 * 1024;
    assert!(
        peak <= machine.memory_mb * 1_000_000,
        "{peak} bytes at the peak"
    );
    assert!(
        descriptors <= machine.max_descriptors,
        "{descriptors} descriptors"
    );
}

fn crowd<'a>(
    gateway: &Gateway,
    request: &'a dyn Fn(usize) -> Vec<u8>,
    rest: &'a [u8],
    piece_bytes: usize,
) -> Crowd<'a> {
    Crowd {
        to: gateway.front,
        from: None,
        clients: CLIENTS,
        request,
        rest,
        finishing: FINISHING,
        piece_bytes,
    }
}

/// A request with a body of the largest legal size that lacks its last byte.
fn unfinished(client: usize) -> Vec<u8> {
    let mut request = sized(&format!("c{client}"), MAX_BODY_BYTES as u64);
    request.resize(request.len() + MAX_BODY_BYTES - 1, b'x');
    request
}

/// A request with a chunked body of the largest legal size that lacks its last chunk.
fn unfinished_chunks(client: usize, size: usize) -> Vec<u8> {
    let mut request = head(&format!("c{client}"), "transfer-encoding: chunked\r\n");
    request.extend_from_slice(&chunks(size));
    request
}

/// The first line of an answer without its reason.
async fn read_status(caller: &mut TcpStream) -> String {
    let mut status = [0; 12];
    let read = caller.read_exact(&mut status).await;
    read.expect("it is answered");
    String::from_utf8_lossy(&status).into_owned()
}

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Guards against an instance that ends for lack of memory while large bodies are not finished.
#[actix_rt::test]
async fn large_bodies_that_stop_short_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let crowd = crowd(&gateway, &unfinished, b"x", MAX_BODY_BYTES * 2);
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against the same where the bodies arrive in pieces, all at the same time.
#[actix_rt::test]
async fn large_bodies_in_pieces_that_stop_short_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let crowd = crowd(&gateway, &unfinished, b"x", MAX_BODY_BYTES / PIECES);
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against an instance that ends for lack of memory because of many large requests at once, and
/// against refusals that promise nothing.
#[actix_rt::test]
async fn many_large_bodies_at_once_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let crowd = Crowd {
        finishing: 1,
        ..crowd(&gateway, &unfinished, b"x", MAX_BODY_BYTES * 2)
    };
    for answer in assert_withstands(&gateway, &crowd).await {
        if answer.starts_with("http/1.1 503") {
            let promises = ["retry-after: ", "request-id: c", r#""ran":"no""#];
            assert!(
                promises.iter().all(|part| answer.contains(part)),
                "{answer}"
            );
        }
    }
}

/// Guards against an instance that ends for lack of memory while chunked bodies are not finished.
#[actix_rt::test]
async fn large_chunks_without_the_last_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let request = |client| unfinished_chunks(client, LARGE_CHUNK_BYTES);
    let crowd = crowd(&gateway, &request, LAST_CHUNK, MAX_BODY_BYTES / PIECES);
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against the same where the chunks are very small.
#[actix_rt::test]
async fn small_chunks_without_the_last_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let request = |client| unfinished_chunks(client, SMALL_CHUNK_BYTES);
    let crowd = crowd(&gateway, &request, LAST_CHUNK, MAX_BODY_BYTES / PIECES);
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against keeping a chunk that is not finished, beside the body.
#[actix_rt::test]
async fn one_large_chunk_without_its_end_fits_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let request = |client| {
        let mut request = head(&format!("c{client}"), "transfer-encoding: chunked\r\n");
        request.extend_from_slice(format!("{MAX_BODY_BYTES:x}\r\n").as_bytes());
        request.resize(request.len() + MAX_BODY_BYTES - 1, b'x');
        request
    };
    let crowd = crowd(&gateway, &request, b"x\r\n0\r\n\r\n", MAX_BODY_BYTES * 2);
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against reading bodies whose announced length is over the limit.
#[actix_rt::test]
async fn announced_bodies_over_the_limit_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let request = |client| {
        let mut request = sized(&format!("c{client}"), ANNOUNCED_BYTES);
        request.resize(request.len() + MAX_BODY_BYTES - 1, b'x');
        request
    };
    let rest = vec![b'x'; SENT_BYTES - MAX_BODY_BYTES];
    let crowd = Crowd {
        finishing: 1,
        ..crowd(&gateway, &request, &rest, MAX_BODY_BYTES / PIECES)
    };
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against keeping what is sent over the limit without being announced.
#[actix_rt::test]
async fn sent_bodies_over_the_limit_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let request = |client| unfinished_chunks(client, LARGE_CHUNK_BYTES);
    let rest = chunks(LARGE_CHUNK_BYTES).repeat(SENT_BYTES / MAX_BODY_BYTES - 1);
    let crowd = Crowd {
        finishing: 1,
        ..crowd(&gateway, &request, &rest, MAX_BODY_BYTES / PIECES)
    };
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against asking for a body, or waiting for it, that is known to be too large.
#[actix_rt::test]
async fn a_body_announced_over_the_limit_is_refused_unread() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    for expectation in ["", "expect: 100-continue\r\n"] {
        let lines = format!("content-length: {ANNOUNCED_BYTES}\r\n{expectation}");
        let mut caller = TcpStream::connect(gateway.front).await.expect("it listens");
        let request = head("announced", &lines);
        caller.write_all(&request).await.expect("it is read");
        assert_eq!(read_status(&mut caller).await, "HTTP/1.1 413");
    }
}

/// Guards against keeping several times the size of a head that is not finished.
#[actix_rt::test]
async fn heads_without_their_end_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let request = |client| {
        let filling = "x".repeat(HEAD_BYTES);
        let mut request = head(&format!("c{client}"), &format!("filling: {filling}\r\n"));
        request.truncate(request.len() - 2);
        request
    };
    let crowd = Crowd {
        clients: HEADS,
        ..crowd(&gateway, &request, b"", HEAD_BYTES / PIECES)
    };
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against an instance that ends for lack of memory while callers do not read their answers.
#[actix_rt::test]
async fn answers_that_are_not_read_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, app, _pool) = start().await;
    let head = format!("HTTP/1.1 404 Not Found\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
    app.set_behaviour(Behaviour::Raw(RawAnswer {
        text: head + &"x".repeat(ANSWER_BYTES),
        piece_bytes: 2 * ANSWER_BYTES,
        ending: Ending::Complete,
    }));
    let callers = (0..IDLE_READERS).map(async |caller| {
        let socket = TcpSocket::new_v4().expect("a socket can be created");
        socket
            .set_recv_buffer_size(SMALL_BUFFER_BYTES)
            .expect("the size of a buffer can be set");
        let mut connection = socket.connect(gateway.front).await.ok()?;
        let request = sized(&format!("r{caller}"), 0);
        connection.write_all(&request).await.ok()?;
        // The first byte shows that the instance has an answer to send.
        connection.read_exact(&mut [0]).await.ok()?;
        Some(connection)
    });
    let connections = join_all(callers).await;
    app.set_behaviour(Behaviour::Run);
    let descriptors = gateway.open_descriptors();
    wait_until(async || is_answered(&gateway).await).await;
    assert_fits(&gateway, descriptors);
    drop(connections);
    wait_until(async || is_answered(&gateway).await).await;
}

/// Guards against an instance whose descriptors are all taken by callers that send nothing, so that nobody
/// is served until their time is over.
#[actix_rt::test]
async fn connections_on_which_nothing_is_sent_make_room_for_calls() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let connections = (0..SILENT_CONNECTIONS).map(|_| TcpStream::connect(gateway.front));
    let connections = join_all(connections).await;
    assert_fits(&gateway, gateway.open_descriptors());
    wait_until(async || is_answered(&gateway).await).await;
    assert_fits(&gateway, gateway.open_descriptors());
    drop(connections);
}

/// Guards against keeping a second copy of each body while an engine does not read what it is sent.
#[actix_rt::test]
async fn bodies_that_an_engine_does_not_read_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let gateway = Gateway::start_on(SMALL_MACHINE).await;
    let engine = TcpSocket::new_v4().expect("a socket can be created");
    engine
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("the size of a buffer can be set");
    engine
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("the kernel assigns a port");
    let address = engine.local_addr().expect("the kernel assigns a port");
    let _engine = engine.listen(1_024).expect("the port is held");
    // The only one for calls, so that all bodies are sent to it.
    register(&gateway.store, "silent-1", address, "app", "ready", None);
    let pool = Engine::start("pool-1").await;
    pool.register(&gateway.store, "pool", "ready", Some("decode"));
    gateway.configure(1, "app");
    gateway.wait_until_ready(true).await;
    configure(&gateway).await;
    let request = |client| {
        let length = MAX_BODY_BYTES;
        let lines = format!("request-deadline: 5000\r\ncontent-length: {length}\r\n");
        let mut request = head(&format!("c{client}"), &lines);
        request.resize(request.len() + length - 1, b'x');
        request
    };
    let crowd = Crowd {
        finishing: 1,
        ..crowd(&gateway, &request, b"x", MAX_BODY_BYTES * 2)
    };
    crowd.send().await;
    assert_fits_on(SMALL_MACHINE, &gateway, gateway.open_descriptors());
    let sound = Engine::start("app-2").await;
    sound.register(&gateway.store, "app", "ready", None);
    wait_until(async || is_answered(&gateway).await).await;
}

/// Guards against an instance that ends for lack of memory while calls from another instance, which
/// has taken them from such clients, are not finished.
#[actix_rt::test]
async fn unfinished_calls_of_another_instance_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (first, app, _pool) = start().await;
    let gateway = first.start_another_on(MACHINE);
    gateway.wait_until_ready(true).await;
    let target = format!("{} app app-1", app.address);
    let request = |client| {
        let lines =
            format!("tarragon-forward-to: {target}\r\ncontent-length: {MAX_BODY_BYTES}\r\n");
        let mut request = head(&format!("c{client}"), &lines);
        request.resize(request.len() + MAX_BODY_BYTES - 1, b'x');
        request
    };
    let crowd = Crowd {
        to: gateway.mesh,
        from: Some(IpAddr::V4(first.ip())),
        ..crowd(&gateway, &request, b"x", MAX_BODY_BYTES * 2)
    };
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against an instance that ends for lack of memory because of bodies on its status addresses.
#[actix_rt::test]
async fn unfinished_status_requests_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    for to in [gateway.ready, gateway.metrics] {
        let crowd = Crowd {
            to,
            ..crowd(&gateway, &unfinished, b"x", MAX_BODY_BYTES * 2)
        };
        assert_withstands(&gateway, &crowd).await;
    }
}

/// Guards against refusing a legal request for the sake of the others: the largest body, however it is
/// sent, in calm and after a crowd.
#[actix_rt::test]
async fn a_single_request_of_the_largest_size_is_served() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let whole = [unfinished(0), b"x".to_vec()].concat();
    let in_chunks = |size| {
        let request = unfinished_chunks(0, size);
        [request, LAST_CHUNK.to_vec()].concat()
    };
    let requests = [
        (whole.clone(), whole.len()),
        (whole, MAX_BODY_BYTES / PIECES),
        (in_chunks(LARGE_CHUNK_BYTES), MAX_BODY_BYTES / PIECES),
        (in_chunks(SMALL_CHUNK_BYTES), MAX_BODY_BYTES / PIECES),
    ];
    for _ in ["in calm", "after a crowd"] {
        for (request, piece_bytes) in &requests {
            wait_until(async || is_answered(&gateway).await).await;
            let mut caller = TcpStream::connect(gateway.front).await.expect("it listens");
            for piece in request.chunks(*piece_bytes) {
                caller.write_all(piece).await.expect("it is read");
            }
            assert_eq!(read_status(&mut caller).await, "HTTP/1.1 200");
        }
        crowd(&gateway, &unfinished, b"x", MAX_BODY_BYTES * 2)
            .send()
            .await;
    }
}
