//! One connection to a peer, and which of two is kept.

use std::net::SocketAddr;
use std::time::Duration;

use quinn::{Connection, SendDatagramError, VarInt};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::Id;
use crate::codec::{self, Encoded};
use crate::traffic::{Count, Flow};

/// Close code: the mesh stops.
pub(crate) const STOPPING: VarInt = VarInt::from_u32(0);
/// Close code: another connection of the pair is kept.
pub(crate) const REPLACED: VarInt = VarInt::from_u32(1);
/// Close code: a frame bore a name that its sender's certificate doesn't.
pub(crate) const FALSE_NAME: VarInt = VarInt::from_u32(2);
/// Close code: the certificate bears no usable name.
pub(crate) const UNUSABLE_NAME: VarInt = VarInt::from_u32(3);
/// Close code: made with keys that were replaced since.
pub(crate) const OLD_KEYS: VarInt = VarInt::from_u32(4);

/// Time within which two connections of a pair count as dialed by both sides at once.
const SIMULTANEOUS: Duration = Duration::from_secs(1);

/// How a connection came about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin {
    /// Whether this process dialed.
    pub(crate) dialed: bool,
    /// Which keys of this process it was made with.
    pub(crate) generation: u64,
    /// When its handshake was done.
    pub(crate) since: Instant,
}

impl Origin {
    /// Whether this new connection is kept rather than the one that stands.
    ///
    /// Normally the newer one is: its dialer knows that the older is dead, or has new keys. But
    /// if both sides dialed at once, each would keep the one that the other closes. Then both
    /// keep the one that the lower id dialed.
    pub(crate) fn replaces(&self, standing: &Origin, own: &str, peer: &str) -> bool {
        let simultaneous = self.dialed != standing.dialed
            && self.generation == standing.generation
            && self.since.duration_since(standing.since) < SIMULTANEOUS;
        !simultaneous || self.dialed == (own < peer)
    }
}

/// One connection to a peer.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) id: Id,
    pub(crate) connection: Connection,
    pub(crate) origin: Origin,
    /// Unique in this process.
    pub(crate) serial: u64,
    pub(crate) queue: mpsc::Sender<Encoded>,
}

impl Link {
    /// Hands a frame over without waiting; `false` if the peer is too slow for it.
    pub(crate) fn send(&self, encoded: Encoded) -> bool {
        if !codec::is_lossy(encoded.kind) {
            return self.queue.try_send(encoded).is_ok();
        }
        match self.connection.send_datagram(encoded.bytes.clone()) {
            Ok(()) => true,
            Err(SendDatagramError::TooLarge) => self.queue.try_send(encoded).is_ok(),
            Err(_) => false,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// UDP datagrams of this connection so far.
    pub(crate) fn udp(&self) -> Flow {
        let stats = self.connection.stats();
        Flow {
            sent: Count {
                messages: stats.udp_tx.datagrams,
                bytes: stats.udp_tx.bytes,
            },
            received: Count {
                messages: stats.udp_rx.datagrams,
                bytes: stats.udp_rx.bytes,
            },
        }
    }
}

#[cfg(test)]
mod tests;
