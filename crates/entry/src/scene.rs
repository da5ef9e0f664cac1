//! What the data plane sees of the world at one moment: the catalogue in force and the addresses of
//! the upstreams. It is replaced as a whole, so that a request sees one state from begin to end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

/// Where an upstream is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// HTTP address.
    pub address: SocketAddr,
    /// Pool that it serves.
    pub pool: String,
}

/// One state of the world.
#[derive(Clone, Debug, Default)]
pub struct Scene {
    /// The catalogue; `None` until one was accepted or given by a peer.
    pub catalogue: Option<Arc<catalogue::View>>,
    /// Known upstreams by instance id, also those that get no new work: streams in hand are
    /// resumed there.
    pub upstreams: HashMap<String, Upstream>,
}

/// Gives the newest state.
pub type Watch = watch::Receiver<Arc<Scene>>;
