//! The mesh between entries: QUIC with mutual TLS, one connection a pair, bytes counted by kind
//! of message. It carries frames and knows nothing of what they mean; `fleet` and `control` do.
//!
//! `docs/design/membership.md` says what a frame costs and why the mesh is full today,
//! `docs/design/tls.md` how keys are checked and rotated.

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

/// Instance id; the only name in an instance's certificate.
pub type Id = String;

/// Why the mesh could not do as asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The keys can't be used; all findings at once.
    Keys(Vec<keys::Finding>),
    /// The address can't be listened on.
    Listen(std::net::SocketAddr),
    /// No connection to this peer stands.
    NotConnected(Id),
    /// The peer did not answer in time.
    TimedOut(Id),
    /// The connection broke or the peer gave up before it answered.
    Broken(Id),
    /// The answer can't be read, is too large, or is no answer.
    Malformed(Id),
    /// Certificates could not be made.
    Issue,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keys(findings) => {
                write!(f, "the keys can't be used:")?;
                findings.iter().try_for_each(|one| write!(f, " {one};"))
            }
            Self::Listen(address) => write!(f, "can't listen on {address}"),
            Self::NotConnected(peer) => write!(f, "no connection to {peer}"),
            Self::TimedOut(peer) => write!(f, "{peer} did not answer in time"),
            Self::Broken(peer) => write!(f, "the connection to {peer} broke"),
            Self::Malformed(peer) => write!(f, "{peer} sent an answer that can't be read"),
            Self::Issue => write!(f, "certificates could not be made"),
        }
    }
}

impl std::error::Error for Error {}
