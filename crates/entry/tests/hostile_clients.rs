//! Callers that hold much and finish little, at an entry with little memory.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::cell::Cell;
use std::time::Duration;

use fleet::{Fleet, LIMA};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Memory of the machine, in bytes, and what bodies may take of it.
const MACHINE_BYTES: usize = 64_000_000;
const MEMORY: &str = "limits.memory=16MiB";
/// Open descriptors of the process.
const MAX_DESCRIPTORS: usize = 512;
/// Largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
const BODY: &str = "limits.body=1MiB";
const BODY_TIME: &str = "limits.body_time=5s";
const ANSWER: &str = "limits.answer=2MiB";
const HELD: &str = "hold.bytes=2MiB";
/// Clients at once. Their bodies take 1.6 times the machine's memory.
const CLIENTS: usize = 100;
/// One client in so many sends its request to the end.
const FINISHING: usize = 10;
/// Pieces in which a body is sent, between which the others send theirs.
const PIECES: usize = 16;
const LARGE_CHUNK_BYTES: usize = 64 * 1024;
const SMALL_CHUNK_BYTES: usize = 16;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One test at a time: each measures the memory of its processes under the load of its own clients.
static TURN: Semaphore = Semaphore::const_new(1);

async fn start() -> Fleet {
    let mut fleet = Fleet::start(0, 1, 0).await;
    for setting in [MEMORY, BODY, BODY_TIME, ANSWER, HELD] {
        fleet.settings.push(setting.to_owned());
    }
    fleet.add_entry();
    fleet.ready().await;
    fleet
}

fn head(path: &str, framing: &str) -> Vec<u8> {
    let key = format!("authorization: Bearer {LIMA}");
    format!("POST {path} HTTP/1.1\r\nhost: h\r\n{key}\r\n{framing}\r\n\r\n").into_bytes()
}

/// A request whose body lacks its last byte.
fn unfinished(path: &str) -> Vec<u8> {
    let mut request = head(path, &format!("content-length: {MAX_BODY_BYTES}"));
    request.resize(request.len() + MAX_BODY_BYTES - 1, b'x');
    request
}

/// A request whose body lacks its last chunk.
fn unfinished_chunks(path: &str, size: usize) -> Vec<u8> {
    let mut request = head(path, "transfer-encoding: chunked");
    for _ in 0..MAX_BODY_BYTES / size {
        request.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        request.resize(request.len() + size, b'x');
        request.extend_from_slice(b"\r\n");
    }
    request
}

/// Sends the request from all clients at once, and its rest from one in [`FINISHING`]. Waits until each
/// has been answered or its connection was closed.
async fn send(address: &str, request: &[u8], rest: &[u8]) {
    let waiting = Cell::new(CLIENTS);
    let clients = (0..CLIENTS).map(async |client| {
        let mut connection = TcpStream::connect(address).await;
        for piece in request.chunks(MAX_BODY_BYTES / PIECES) {
            if let Ok(open) = &mut connection
                && let Err(error) = open.write_all(piece).await
            {
                connection = Err(error);
            }
            tokio::task::yield_now().await;
        }
        waiting.set(waiting.get() - 1);
        while waiting.get() > 0 {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        let Ok(mut connection) = connection else {
            return;
        };
        if client.is_multiple_of(FINISHING) {
            // The answer may have come before.
            drop(connection.write_all(rest).await);
        }
        drop(connection.read(&mut [0; 1_024]).await);
    });
    join_all(clients).await;
}

/// Panics unless the entry stays within its machine and serves an ordinary call and one of the largest
/// size once the clients are gone.
async fn assert_withstands(request: &[u8], rest: &[u8]) {
    let _turn = TURN.acquire().await;
    let mut fleet = start().await;
    send(&fleet.entries[0].address, request, rest).await;
    assert!(fleet.entries[0].ended().is_none());
    let peak = fleet.entries[0].peak_memory();
    assert!(peak <= MACHINE_BYTES, "{peak} bytes at the peak");
    let descriptors = fleet.entries[0].open_descriptors();
    assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors");
    let largest = "x".repeat(MAX_BODY_BYTES);
    for body in ["ordinary", &largest] {
        let caller = fleet.caller(0, LIMA);
        let answer = caller.post("/kiosk/pay", body.to_owned()).await;
        assert_eq!(answer.unwrap().status, 200);
    }
}

/// Guards against an entry that ends for lack of memory while large bodies are not finished.
#[actix_rt::test]
async fn calls_that_stop_short_of_their_end_fit_into_memory() {
    assert_withstands(&unfinished("/kiosk/pay"), b"x").await;
}

/// Guards against the same where the bodies are completions, which are written anew for engines.
#[actix_rt::test]
async fn completions_that_stop_short_of_their_end_fit_into_memory() {
    assert_withstands(&unfinished("/v1/completions"), b"x").await;
}

/// Guards against an entry that ends for lack of memory while chunked bodies are not finished.
#[actix_rt::test]
async fn calls_in_large_chunks_without_the_last_fit_into_memory() {
    let request = unfinished_chunks("/kiosk/pay", LARGE_CHUNK_BYTES);
    assert_withstands(&request, b"0\r\n\r\n").await;
}

/// Guards against the same where the chunks are very small.
#[actix_rt::test]
async fn calls_in_small_chunks_without_the_last_fit_into_memory() {
    let request = unfinished_chunks("/kiosk/pay", SMALL_CHUNK_BYTES);
    assert_withstands(&request, b"0\r\n\r\n").await;
}
