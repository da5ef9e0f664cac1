//! The mesh between entries: QUIC with mutual TLS, one connection for each pair, bytes counted by
//! kind of message. It transports frames; `fleet` and `control` interpret them.
//!
//! See `docs/design/membership.md` for the cost of a frame and why the mesh is full, and
//! `docs/design/tls.md` for how keys are checked and rotated.

mod codec;
pub mod config;
mod dial;
pub mod event;
mod inner;
pub mod issue;
pub mod keys;
mod link;
mod mesh;
mod receive;
pub mod traffic;

pub use config::Config;
pub use event::{Event, Responder};
pub use mesh::{Mesh, Peer, SendError, Status};
pub use traffic::Traffic;

use std::fmt;

/// Instance id, the only name in the certificate of an instance.
pub type Id = String;

/// An error of the mesh.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The keys are invalid, with all findings.
    Keys(Vec<keys::Finding>),
    /// Listening on the address failed.
    Listen(std::net::SocketAddr),
    /// There is no connection to this peer.
    NotConnected(Id),
    /// The peer did not answer in time.
    TimedOut(Id),
    /// The connection was lost, or the peer dropped the query without answering.
    Broken(Id),
    /// The answer cannot be decoded, is too large, or is not a reply.
    Malformed(Id),
    /// Certificates could not be issued.
    Issue,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keys(findings) => {
                write!(f, "the keys can't be used:")?;
                findings.iter().try_for_each(|one| write!(f, " {one};"))
            }
            Self::Listen(address) => write!(f, "cannot listen on {address}"),
            Self::NotConnected(peer) => write!(f, "no connection to {peer}"),
            Self::TimedOut(peer) => write!(f, "{peer} did not answer in time"),
            Self::Broken(peer) => write!(f, "connection to {peer} lost"),
            Self::Malformed(peer) => write!(f, "{peer} sent a malformed answer"),
            Self::Issue => write!(f, "certificates could not be issued"),
        }
    }
}

impl std::error::Error for Error {}
