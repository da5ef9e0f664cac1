//! Clients that hold much and finish little, at an instance with little memory.

mod harness;

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use futures_util::future::join_all;
use harness::crowd::{
    Crowd, MACHINE, MAX_BODY_BYTES, TURN, assert_fits, assert_fits_on, assert_withstands,
    configure, head, is_answered, read_status, sized, slow_socket, start,
};
use harness::{Gateway, Machine, wait_until};
use platform_standin::Engine;
use platform_standin::engine::register;
use platform_standin::request::generation_headers;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

/// A machine on which two copies of what connections may hold do not fit.
const SMALL_MACHINE: Machine = Machine {
    memory_mb: 48,
    ..MACHINE
};

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

/// Heads at once, which are legal but for their end.
const HEADS: usize = 400;
const HEAD_BYTES: usize = 110_000;

/// Size of a small body behind a large head.
const SMALL_BODY_BYTES: usize = 30_000;

/// Generations one after the other, and the parts that each one's prompt names. Their lengths are zero, so
/// that no number of them fills an engine's memory.
const GENERATIONS: usize = 400;
const PARTS: usize = 7_000;

/// Connections on which nothing is sent, more than the machine has descriptors.
const SILENT_CONNECTIONS: usize = 600;

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

/// Guards against a head that counts for nothing any more once its body is being read.
#[actix_rt::test]
async fn heads_with_unfinished_bodies_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let request = |client| {
        let filling = "x".repeat(HEAD_BYTES);
        let lines = format!("filling: {filling}\r\ncontent-length: {SMALL_BODY_BYTES}\r\n");
        let mut request = head(&format!("c{client}"), &lines);
        request.resize(request.len() + SMALL_BODY_BYTES - 1, b'x');
        request
    };
    let crowd = Crowd {
        clients: HEADS,
        ..crowd(&gateway, &request, b"x", HEAD_BYTES / PIECES)
    };
    assert_withstands(&gateway, &crowd).await;
}

/// Guards against remembering any number of prompts' parts for engines, which have room for few.
#[actix_rt::test]
async fn prompts_of_many_parts_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, pool) = start().await;
    let other = gateway.start_another_on(MACHINE);
    other.wait_until_ready(true).await;
    pool.set_stream(1, Duration::ZERO);
    for generation in 0..GENERATIONS {
        let parts = (0..PARTS).map(|part| format!("{:x}:0,", generation * PARTS + part));
        let parts: String = parts.collect();
        let headers = generation_headers("100,20", &parts);
        let id = gateway.fresh_id();
        let answer = gateway.call("/stream/a", &id, &headers).await;
        assert_eq!(answer.status, 200);
    }
    for instance in [&gateway, &other] {
        assert_fits(instance, instance.open_descriptors());
        wait_until(async || is_answered(instance).await).await;
    }
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

/// An instance on [`SMALL_MACHINE`], and the engine for its plain calls, which reads nothing.
async fn start_with_silent_engine() -> (Gateway, TcpListener, Engine) {
    let gateway = Gateway::start_on(SMALL_MACHINE).await;
    let engine = slow_socket();
    engine
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("the kernel assigns a port");
    let address = engine.local_addr().expect("the kernel assigns a port");
    let engine = engine.listen(1_024).expect("the port is held");
    // The only one for calls, so that all are sent to it.
    register(&gateway.store, "silent-1", address, "app", "ready", None);
    let pool = Engine::start("pool-1").await;
    pool.register(&gateway.store, "pool", "ready", Some("decode"));
    gateway.configure(1, "app");
    gateway.wait_until_ready(true).await;
    configure(&gateway).await;
    (gateway, engine, pool)
}

/// Sends the crowd's requests to an engine that reads nothing. Panics unless the instance stays within
/// [`SMALL_MACHINE`] and answers an ordinary call once there is a sound engine.
async fn assert_withstands_silent_engine(gateway: &Gateway, crowd: &Crowd<'_>) {
    crowd.send().await;
    assert_fits_on(SMALL_MACHINE, gateway, gateway.open_descriptors());
    let sound = Engine::start("app-2").await;
    sound.register(&gateway.store, "app", "ready", None);
    wait_until(async || is_answered(gateway).await).await;
}

/// Guards against keeping a second copy of each body while an engine does not read what it is sent.
#[actix_rt::test]
async fn bodies_that_an_engine_does_not_read_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _silent, _pool) = start_with_silent_engine().await;
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
    assert_withstands_silent_engine(&gateway, &crowd).await;
}

/// Guards against keeping uncounted copies of heads while an engine does not read what it is sent.
#[actix_rt::test]
async fn heads_that_an_engine_does_not_read_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, _silent, _pool) = start_with_silent_engine().await;
    let request = |client| {
        let filling = "x".repeat(HEAD_BYTES);
        let lines = format!("request-deadline: 5000\r\nfilling: {filling}\r\n");
        head(&format!("c{client}"), &lines)
    };
    let crowd = Crowd {
        clients: HEADS,
        ..crowd(&gateway, &request, b"", HEAD_BYTES / PIECES)
    };
    assert_withstands_silent_engine(&gateway, &crowd).await;
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

/// Guards against status addresses that take all descriptors of the process, so that neither calls nor the
/// platform's probes are answered.
#[actix_rt::test]
async fn connections_at_the_status_addresses_leave_descriptors_for_calls() {
    let _turn = TURN.acquire().await;
    let (gateway, _app, _pool) = start().await;
    let mut open = Vec::new();
    for to in [gateway.ready, gateway.metrics] {
        let connections = (0..SILENT_CONNECTIONS).map(|_| TcpStream::connect(to));
        open.extend(join_all(connections).await);
        assert_fits(&gateway, gateway.open_descriptors());
        wait_until(async || is_answered(&gateway).await).await;
        wait_until(async || gateway.is_ready().await).await;
        assert_fits(&gateway, gateway.open_descriptors());
    }
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
