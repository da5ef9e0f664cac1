//! Many clients that send at once and finish little.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use futures_util::future::join_all;
use platform_standin::configuration::HOST;
use platform_standin::{Engine, request};
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::yield_now;

use super::{Gateway, Machine, configuration, wait_until};

/// The machine of the instance. What the process holds at its peak, and its descriptors, stay within it.
pub(crate) const MACHINE: Machine = Machine {
    memory_mb: 64,
    max_descriptors: 512,
};

/// Largest legal body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1_000_000;
/// Largest legal head, in bytes.
const MAX_HEAD_BYTES: usize = 120_000;
/// Time that the instance gives a client for a request, which frees what the others hold.
const HEADER_TIMEOUT_MS: u32 = 5_000;

/// One test at a time: each measures the memory of its processes under the load of its own clients.
pub(crate) static TURN: Semaphore = Semaphore::const_new(1);

/// An instance on [`MACHINE`] with an engine for plain calls and one for streams.
pub(crate) async fn start() -> (Gateway, Engine, Engine) {
    start_on(MACHINE).await
}

/// As [`start`], on another machine.
pub(crate) async fn start_on(machine: Machine) -> (Gateway, Engine, Engine) {
    let started = Gateway::start_on(machine).await.add_engines().await;
    configure(&started.0).await;
    started
}

/// Puts the limits of these tests in force.
pub(crate) async fn configure(gateway: &Gateway) {
    let mut limited = configuration(2, "app");
    limited["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    limited["limits"]["max_header_bytes"] = json!(MAX_HEAD_BYTES);
    limited["limits"]["header_timeout_ms"] = json!(HEADER_TIMEOUT_MS);
    gateway.store.put("keyed.op", "config", Some(&limited));
    wait_until(async || gateway.count_log_lines_with("configuration in force", "version=2") == 1)
        .await;
}

/// The head of a call with these further header lines.
pub(crate) fn head(id: &str, lines: &str) -> Vec<u8> {
    format!("POST /once/ HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\n{lines}\r\n").into_bytes()
}

/// The head of a call whose body has this length.
pub(crate) fn sized(id: &str, length: u64) -> Vec<u8> {
    head(id, &format!("content-length: {length}\r\n"))
}

/// Size of a receive buffer that takes little of what is sent.
const SMALL_BUFFER_BYTES: u32 = 4_096;

/// A socket that takes little of what is sent to it before it is read.
pub(crate) fn slow_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket can be created");
    socket
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("the size of a buffer can be set");
    socket
}

/// Clients that stay open until the instance answers or closes their connections.
pub(crate) struct Crowd<'a> {
    pub(crate) to: SocketAddr,
    pub(crate) from: Option<IpAddr>,
    pub(crate) clients: usize,
    /// The first part of the request of the client with this number.
    pub(crate) request: &'a dyn Fn(usize) -> Vec<u8>,
    /// The rest, which one client in `finishing` sends once all have sent their first part.
    pub(crate) rest: &'a [u8],
    pub(crate) finishing: usize,
    /// Size of the pieces, between which the others send theirs.
    pub(crate) piece_bytes: usize,
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
    pub(crate) async fn send(&self) -> Vec<String> {
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
pub(crate) async fn is_answered(gateway: &Gateway) -> bool {
    let Some(mut caller) = gateway.try_connect().await else {
        return false;
    };
    let head = request::call("/safe/a", &gateway.fresh_id(), 20_000, &[]);
    let answer = caller.send(head, &Bytes::new()).await;
    answer.is_ok_and(|answer| answer.head.status.as_u16() == 200)
}

/// The first line of an answer without its reason.
pub(crate) async fn read_status(caller: &mut TcpStream) -> String {
    let mut status = [0; 12];
    let read = caller.read_exact(&mut status).await;
    read.expect("it is answered");
    String::from_utf8_lossy(&status).into_owned()
}

/// Sends the crowd's requests. Panics unless the instance stays within its machine, answers an ordinary
/// call while the crowd is there, and another one afterwards.
pub(crate) async fn assert_withstands(gateway: &Gateway, crowd: &Crowd<'_>) -> Vec<String> {
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

/// Panics unless the process lives, and what it held at its peak and its descriptors fit into [`MACHINE`].
pub(crate) fn assert_fits(gateway: &Gateway, descriptors: usize) {
    assert_fits_on(MACHINE, gateway, descriptors);
}

/// As [`assert_fits`], for another machine.
pub(crate) fn assert_fits_on(machine: Machine, gateway: &Gateway, descriptors: usize) {
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
