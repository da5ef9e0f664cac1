//! What the mesh tells its user.

use tokio::sync::oneshot;
use wire::peer::{Frame, Query, Reply};
use wire::record::Author;

use crate::Id;

/// What the mesh tells its user.
#[derive(Debug)]
pub enum Event {
    /// A frame arrived. The sender's certificate bears the name in `from`; whether its
    /// incarnation is the newest is for `fleet::Members` to say.
    Frame(Frame),
    /// A peer asks.
    Query {
        /// Who asks.
        from: Author,
        /// What it asks.
        query: Query,
        /// Where the reply goes.
        responder: Responder,
    },
    /// The first connection to this peer stands.
    Up(Id),
    /// No connection to this peer stands any more.
    Down(Id),
}

/// Where a reply goes. Dropping it unused lets the peer's query fail at once.
#[derive(Debug)]
pub struct Responder {
    pub(crate) reply: oneshot::Sender<Reply>,
}

impl Responder {
    /// Sends the reply, unless the peer has given up.
    pub fn send(self, reply: Reply) {
        // The receiver is gone only if the query's time is over, and then nobody waits.
        let _gone = self.reply.send(reply);
    }
}
