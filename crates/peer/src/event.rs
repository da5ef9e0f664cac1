//! Events of the mesh.

use tokio::sync::oneshot;
use wire::peer::{Frame, Query, Reply};
use wire::record::Author;

use crate::Id;

/// An event that the mesh passes to its handler.
#[derive(Debug)]
pub enum Event {
    /// A frame arrived. The name in `from` matches the certificate of the sender; whether its
    /// incarnation is the newest is checked by `fleet::Members`.
    Frame(Frame),
    /// A query of a peer.
    Query {
        /// The sender.
        from: Author,
        /// The query.
        query: Query,
        /// Sends the reply.
        responder: Responder,
    },
    /// The first connection to this peer was opened.
    Up(Id),
    /// The last connection to this peer was closed.
    Down(Id),
}

/// Sends the reply to a query. If it is dropped unused, the query of the peer fails at once.
#[derive(Debug)]
pub struct Responder {
    pub(crate) reply: oneshot::Sender<Reply>,
}

impl Responder {
    /// Sends the reply, unless the query has timed out.
    pub fn send(self, reply: Reply) {
        // The receiver is dropped only after the time-out of the query.
        let _gone = self.reply.send(reply);
    }
}
