//! Clients that do not read their answers, or keep their connections after large ones.

mod harness;

use futures_util::future::join_all;
use harness::crowd::{
    TURN, assert_fits, assert_fits_on, head, is_answered, sized, slow_socket, start, start_on,
};
use harness::{Gateway, Machine, wait_until};
use platform_standin::engine::Behaviour;
use platform_standin::raw::RawAnswer;
use platform_standin::{Ending, Engine};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// A machine with little memory for each descriptor.
const CROWDED_MACHINE: Machine = Machine {
    memory_mb: 40,
    max_descriptors: 1_000,
};

/// Callers that do not read their answers, the size of an answer, and of each event where it is a stream.
const IDLE_READERS: usize = 40;
const ANSWER_BYTES: usize = 4_000_000;
const EVENTS: usize = 24;
const EVENT_BYTES: usize = 500_000;

/// Connections that are kept after an answer, and the size of the answer.
const KEPT_CONNECTIONS: usize = 800;
const KEPT_ANSWER_BYTES: usize = 100_000;

/// A whole answer with a body of this size.
fn whole_answer(bytes: usize) -> Behaviour {
    let head = format!("HTTP/1.1 404 Not Found\r\ncontent-length: {bytes}\r\n\r\n");
    Behaviour::Raw(RawAnswer {
        text: head + &"x".repeat(bytes),
        piece_bytes: 2 * bytes,
        ending: Ending::Complete,
    })
}

/// Guards against an instance that ends for lack of memory while callers do not read their answers.
#[actix_rt::test]
async fn answers_that_are_not_read_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, app, _pool) = start().await;
    app.set_behaviour(whole_answer(ANSWER_BYTES));
    let request = |caller| sized(&format!("r{caller}"), 0);
    assert_withstands_idle_readers(&gateway, &app, &request).await;
}

/// Guards against the same where the answers are streams of events that large engines may send.
#[actix_rt::test]
async fn streams_that_are_not_read_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, app, pool) = start().await;
    let pools = ["pool-2", "pool-3", "pool-4", "pool-5", "pool-6"].map(Engine::start);
    let mut pools = join_all(pools).await;
    pools.push(pool);
    let mut text = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nrequest-id: {id}\r\n\
        response-signature: s\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_owned();
    for event in 0..EVENTS {
        let event = format!("id: {event}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    for pool in &pools {
        pool.register(&gateway.store, "pool", "ready", Some("decode"));
        pool.set_behaviour(Behaviour::Raw(RawAnswer {
            text: text.clone(),
            piece_bytes: text.len(),
            ending: Ending::Complete,
        }));
    }
    let request = |caller| {
        let id = format!("r{caller}");
        let lines = "model-name: m\r\ntoken-count: 100,20\r\nprompt-prefix: a:80,b:20\r\n";
        let head = String::from_utf8(head(&id, lines)).expect("heads are text");
        head.replace("/once/", "/stream/a").into_bytes()
    };
    assert_withstands_idle_readers(&gateway, &app, &request).await;
}

/// Sends requests whose answers are not read. Panics unless the instance stays within its machine, and
/// answers an ordinary call meanwhile and afterwards.
async fn assert_withstands_idle_readers(
    gateway: &Gateway,
    app: &Engine,
    request: &dyn Fn(usize) -> Vec<u8>,
) {
    let callers = (0..IDLE_READERS).map(async |caller| {
        let mut connection = slow_socket().connect(gateway.front).await.ok()?;
        connection.write_all(&request(caller)).await.ok()?;
        // The first byte shows that the instance has an answer to send.
        connection.read_exact(&mut [0]).await.ok()?;
        Some(connection)
    });
    let connections = join_all(callers).await;
    app.set_behaviour(Behaviour::Run);
    let descriptors = gateway.open_descriptors();
    wait_until(async || is_answered(gateway).await).await;
    assert_fits(gateway, descriptors);
    drop(connections);
    wait_until(async || is_answered(gateway).await).await;
}

/// Guards against connections that keep the buffers of a large answer for as long as they are idle.
#[actix_rt::test]
async fn connections_kept_after_large_answers_fit_into_memory() {
    let _turn = TURN.acquire().await;
    let (gateway, app, _pool) = start_on(CROWDED_MACHINE).await;
    app.set_behaviour(whole_answer(KEPT_ANSWER_BYTES));
    let mut kept = Vec::new();
    for caller in 0..KEPT_CONNECTIONS {
        let mut connection = TcpStream::connect(gateway.front).await.expect("it listens");
        let request = sized(&format!("k{caller}"), 0);
        connection.write_all(&request).await.expect("it is read");
        let mut answer = vec![0; KEPT_ANSWER_BYTES];
        let read = connection.read_exact(&mut answer).await;
        read.expect("it is answered");
        kept.push(connection);
    }
    app.set_behaviour(Behaviour::Run);
    assert_fits_on(CROWDED_MACHINE, &gateway, gateway.open_descriptors());
    wait_until(async || is_answered(&gateway).await).await;
    drop(kept);
}
