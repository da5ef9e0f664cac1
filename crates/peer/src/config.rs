//! Configuration of a mesh.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use wire::record::Author;

use crate::{Id, keys};

/// Limits of the mesh. The defaults suit data centres that are milliseconds apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a frame on its own stream.
    pub max_frame_bytes: usize,
    /// Maximum size of a query.
    pub max_query_bytes: usize,
    /// Maximum size of a reply; a snapshot of the folded state must fit.
    pub max_reply_bytes: usize,
    /// Time limit for reading a stream and for answering a query of a peer.
    pub query_timeout: Duration,
    /// Maximum number of frames queued for a peer; more are refused.
    pub send_queue_len: usize,
    /// Maximum number of concurrent streams of a peer, separately for each kind of stream.
    pub max_streams: u32,
    /// Silence after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time limit of a handshake.
    pub dial_timeout: Duration,
    /// Wait after the first failed dial; it doubles up to [`Limits::max_backoff`], with jitter.
    pub initial_backoff: Duration,
    /// Maximum wait after a failed dial, before jitter.
    pub max_backoff: Duration,
    /// Period over which connections are renewed after a change of keys.
    pub rotation_period: Duration,
    /// How long a replaced connection is still read, so that frames in flight arrive.
    pub linger: Duration,
    /// Maximum number of concurrent incoming handshakes; more are refused.
    pub max_handshakes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_frame_bytes: 1 << 20,
            max_query_bytes: 64 << 10,
            max_reply_bytes: 32 << 20,
            query_timeout: Duration::from_secs(10),
            send_queue_len: 256,
            max_streams: 32,
            idle_timeout: Duration::from_secs(10),
            dial_timeout: Duration::from_secs(3),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(5),
            rotation_period: Duration::from_secs(10),
            linger: Duration::from_secs(1),
            max_handshakes: 64,
        }
    }
}

/// Direction of a frame.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Direction {
    /// Sent by this process.
    Out,
    /// Received by this process.
    In,
}

/// Decides by direction and peer whether a frame is dropped. Used by tests to simulate partitions
/// in one or both directions.
pub type Fault = Rc<dyn Fn(Direction, &str) -> bool>;

/// Configuration of a mesh.
#[derive(Clone)]
pub struct Config {
    /// Instance id, which the certificate must name, and incarnation of this process.
    pub local: Author,
    /// UDP address to listen on and to dial from.
    pub listen: SocketAddr,
    /// Keys of this instance.
    pub keys: keys::Source,
    /// Limits.
    pub limits: Limits,
    /// Drops frames in tests; [`None`] in a daemon.
    pub fault: Option<Fault>,
}

impl Config {
    /// A configuration with the default limits and no fault.
    pub fn new(local: Author, listen: SocketAddr, keys: keys::Source) -> Self {
        Self {
            local,
            listen,
            keys,
            limits: Limits::default(),
            fault: None,
        }
    }

    pub(crate) fn drops(&self, direction: Direction, peer: &Id) -> bool {
        self.fault
            .as_ref()
            .is_some_and(|fault| fault(direction, peer))
    }
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("own", &self.local)
            .field("listen", &self.listen)
            .field("keys", &self.keys)
            .field("limits", &self.limits)
            .field("fault", &self.fault.is_some())
            .finish()
    }
}
