//! Socket options, and non-blocking reads and writes.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// TCP time-outs after which a connection counts as dead.
///
/// A paused or unreachable machine sends nothing, not even a reset, and an exchange with it would
/// wait until the request's deadline: all requests to one peer end exactly at their deadline. The
/// kernel's keepalive probes detect it while the exchange waits.
#[derive(Clone, Copy, Debug)]
pub struct TcpTimeouts {
    /// Time limit for opening a connection.
    pub connect: Duration,
    /// Time limit for the acknowledgement of sent bytes. On Linux it also decides when keepalive probes
    /// give up, whatever their count.
    pub acknowledge: Duration,
    /// Idle time before the first keepalive probe, and the time between probes.
    pub probe_interval: Duration,
    /// Unanswered probes after which the connection is closed.
    pub probe_count: u32,
}

impl TcpTimeouts {
    /// Time-outs for an exchange whose response is useless after `limit`, which bounds each step.
    pub const fn within(limit: Duration) -> Self {
        Self {
            connect: limit,
            acknowledge: limit,
            probe_interval: limit,
            probe_count: 1,
        }
    }
}

/// Maximum number of connections that wait to be accepted.
pub const BACKLOG: i32 = 512;

/// Listens on `address`, even while connections of an earlier process are in `TIME_WAIT`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with_backlog(address, BACKLOG)
}

/// As [`listen`], with at most `backlog` connections that wait to be accepted.
pub fn listen_with_backlog(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}

/// Changes the number of connections that may wait to be accepted.
pub fn set_backlog(listener: &TcpListener, backlog: i32) -> io::Result<()> {
    SockRef::from(listener).listen(backlog)
}

/// Sets the socket options of an open connection.
pub(crate) fn set_options(stream: &TcpStream, timeouts: &TcpTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = round_up_to_seconds(timeouts.probe_interval);
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(timeouts.probe_count);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeouts.acknowledge))
}

/// Changes [`TcpTimeouts::acknowledge`] of an open connection.
pub(crate) fn set_acknowledge_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(limit))
}

/// Sets whether a connection ends with a reset when it is closed.
pub(crate) fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO))
}

/// The kernel truncates the probe interval to whole seconds and rejects zero: with an interval
/// below one second no connection would open.
fn round_up_to_seconds(interval: Duration) -> Duration {
    let seconds = interval.as_secs() + u64::from(interval.subsec_nanos() > 0);
    Duration::from_secs(seconds.max(1))
}

/// The result of a non-blocking read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Transfer {
    Progress,
    WouldBlock,
    Eof,
}

/// Bytes that connections of a thread have received and sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes read from sockets.
    pub received: u64,
    /// Bytes that the kernel has accepted to send.
    pub sent: u64,
}

thread_local! {
    static TRAFFIC: Cell<Traffic> = const { Cell::new(Traffic { received: 0, sent: 0 }) };
}

/// The traffic of all connections of this thread since it started.
pub fn traffic() -> Traffic {
    TRAFFIC.get()
}

/// Buffer space reserved for reads, in bytes.
const READ_RESERVE: usize = 8 * 1024;

/// Appends available bytes to `buffer`.
pub(crate) fn try_read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<Transfer> {
    if buffer.capacity() - buffer.len() < READ_RESERVE / 4 {
        buffer.reserve(READ_RESERVE);
    }
    match stream.try_read_buf(buffer) {
        Ok(0) => Ok(Transfer::Eof),
        Ok(n) => {
            let before = TRAFFIC.get();
            TRAFFIC.set(Traffic {
                received: before.received + n as u64,
                ..before
            });
            Ok(Transfer::Progress)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Transfer::WouldBlock),
        Err(error) => Err(error),
    }
}

/// Writes bytes of `buffer` without blocking, and removes those written.
pub(crate) fn try_write(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<Transfer> {
    match stream.try_write(buffer) {
        Ok(0) => Ok(Transfer::Eof),
        Ok(n) => {
            buffer.advance(n);
            let before = TRAFFIC.get();
            TRAFFIC.set(Traffic {
                sent: before.sent + n as u64,
                ..before
            });
            Ok(Transfer::Progress)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Transfer::WouldBlock),
        Err(error) => Err(error),
    }
}
