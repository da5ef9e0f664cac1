//! A connection to a peer, and the choice between two connections of a pair.

use std::net::SocketAddr;
use std::time::Duration;

use quinn::{Connection, SendDatagramError, VarInt};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::Id;
use crate::codec::{self, Encoded};
use crate::traffic::{Count, Flow};

/// Close code: the mesh is stopping.
pub(crate) const STOPPING: VarInt = VarInt::from_u32(0);
/// Close code: another connection of the pair is kept.
pub(crate) const REPLACED: VarInt = VarInt::from_u32(1);
/// Close code: a frame is malformed or names another sender than the certificate.
pub(crate) const FALSE_NAME: VarInt = VarInt::from_u32(2);
/// Close code: the certificate has no usable name.
pub(crate) const UNUSABLE_NAME: VarInt = VarInt::from_u32(3);
/// Close code: the connection was made with keys that have been replaced.
pub(crate) const OLD_KEYS: VarInt = VarInt::from_u32(4);

/// Two connections made within this time count as dialed simultaneously.
const SIMULTANEOUS: Duration = Duration::from_secs(1);

/// How and when a connection was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin {
    /// Whether this process dialed.
    pub(crate) dialed: bool,
    /// Generation of the keys of this process that it was made with.
    pub(crate) generation: u64,
    /// When its handshake completed.
    pub(crate) since: Instant,
}

impl Origin {
    /// Whether this new connection replaces the standing one.
    ///
    /// Normally it does, since its dialer knows that the standing one is dead, or has new keys.
    /// But if both sides dialed simultaneously, each would keep the one that the other closes, so
    /// both keep the one that the lower id dialed.
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
    /// Unique within this process.
    pub(crate) serial: u64,
    pub(crate) queue: mpsc::Sender<Encoded>,
}

impl Link {
    /// Sends a frame without waiting. Returns `false` if it could not be sent or queued.
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

    /// UDP datagrams and bytes of this connection so far.
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
