//! Options of sockets, and reads and writes that never block the thread.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// How long a peer may be silent at the level of TCP before its connection counts as dead.
///
/// A paused or unreachable machine answers nothing, not even a reset, and an exchange with it
/// would wait until the request's own deadline. One notices it by requests that end exactly at
/// their deadline, all towards one peer. The kernel's probes find it out while the exchange waits.
#[derive(Clone, Copy, Debug)]
pub struct TcpTimeouts {
    /// Time for a connection to open.
    pub connect: Duration,
    /// Time for sent bytes to be acknowledged.
    pub acknowledge: Duration,
    /// Silence before the first probe, and between probes.
    pub probe_interval: Duration,
    /// Probes without an answer before the connection ends.
    pub probe_count: u32,
}

impl TcpTimeouts {
    /// The patience of an exchange that is of no use after `time`: each of its steps may take that long.
    pub const fn within(time: Duration) -> Self {
        Self {
            connect: time,
            acknowledge: time,
            probe_interval: time,
            probe_count: 1,
        }
    }
}

/// Queue of connections that wait to be accepted.
const BACKLOG: i32 = 512;

/// A socket that listens on `address`, also while connections of an earlier process linger.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options of an open connection.
pub(crate) fn tune(stream: &TcpStream, patience: &TcpTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probe = whole_seconds(patience.probe_interval);
    let probes = TcpKeepalive::new()
        .with_time(probe)
        .with_interval(probe)
        .with_retries(patience.probe_count);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(patience.acknowledge))
}

/// The kernel takes times between probes in whole seconds, cut off, and refuses zero: a connection with a
/// shorter time would not open at all.
fn whole_seconds(time: Duration) -> Duration {
    let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    Duration::from_secs(seconds.max(1))
}

/// What one try of a read or write did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Moved,
    Blocked,
    End,
}

/// Least room for one read, in bytes.
const READ_ROOM: usize = 8 * 1024;

/// Reads what is there into `into`.
pub(crate) fn try_read(stream: &TcpStream, into: &mut BytesMut) -> io::Result<Step> {
    if into.capacity() - into.len() < READ_ROOM / 4 {
        into.reserve(READ_ROOM);
    }
    match stream.try_read_buf(into) {
        Ok(0) => Ok(Step::End),
        Ok(_) => Ok(Step::Moved),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Step::Blocked),
        Err(error) => Err(error),
    }
}

/// Writes what the peer takes of `from`, and drops it there.
pub(crate) fn try_write(stream: &TcpStream, from: &mut BytesMut) -> io::Result<Step> {
    match stream.try_write(from) {
        Ok(0) => Ok(Step::End),
        Ok(n) => {
            from.advance(n);
            Ok(Step::Moved)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Step::Blocked),
        Err(error) => Err(error),
    }
}
