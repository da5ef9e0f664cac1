//! What a mesh is started with.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use wire::record::Author;

use crate::{Id, keys};

/// Bounds of the mesh. Times and sizes are chosen for data centres that are milliseconds apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest frame on a stream of its own, in bytes.
    pub max_frame_bytes: usize,
    /// Largest query, in bytes.
    pub max_query_bytes: usize,
    /// Largest reply, in bytes; a snapshot of the folded state must fit.
    pub max_reply_bytes: usize,
    /// Longest time for which a query of a peer is worked on.
    pub query_timeout: Duration,
    /// Frames that may wait for a slow peer; more are refused.
    pub send_queue_len: usize,
    /// Streams that a peer may have open at once in each direction.
    pub max_streams: u32,
    /// Silence after which a connection is given up.
    pub idle_timeout: Duration,
    /// Longest time to connect.
    pub dial_timeout: Duration,
    /// First wait after a failed dial; it doubles up to [`Limits::max_backoff`], with jitter.
    pub initial_backoff: Duration,
    /// Longest wait after a failed dial.
    pub max_backoff: Duration,
    /// Time over which connections are renewed after a change of keys.
    pub rotation_period: Duration,
    /// How long a connection that was replaced is still read, so that frames under way arrive.
    pub linger: Duration,
    /// Handshakes of others that may run at once; more are refused until some end.
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

/// Which way a frame goes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Direction {
    /// From this process.
    Out,
    /// To this process.
    In,
}

/// Decides by direction and peer whether a frame is dropped. Only tests have one; it stands in
/// for partitions in one or both directions.
pub type Fault = Rc<dyn Fn(Direction, &str) -> bool>;

/// What a mesh is started with.
#[derive(Clone)]
pub struct Config {
    /// This process: instance id, which the certificate must bear, and incarnation.
    pub local: Author,
    /// UDP address to listen on; calls go out from it as well.
    pub listen: SocketAddr,
    /// Keys of this instance.
    pub keys: keys::Source,
    /// Bounds.
    pub limits: Limits,
    /// Drops frames, in tests; [`None`] in a daemon.
    pub fault: Option<Fault>,
}

impl Config {
    /// A configuration with default bounds and no faults.
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
