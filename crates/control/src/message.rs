//! Messages to the task of the control.

use std::sync::Arc;

use clock::Moment;
use wire::record::Snapshot;

use crate::Offset;
use crate::appends::CompletedAppend;
use crate::core::Core;
use crate::engines::EngineReply;

/// Work to run on the state of the control, sent by another thread.
pub(crate) type Job = Box<dyn FnOnce(&mut Core) + Send>;

/// A message to the task of the control.
pub(crate) enum Message {
    /// A new reading of the instance list.
    Listing(Arc<platform::Listing>),
    /// An event of the mesh.
    Peer(peer::Event),
    /// The result of an append.
    Appended(CompletedAppend),
    /// The result of a call to an engine.
    Engine(EngineReply),
    /// A read of the log without a long poll ended.
    LogProbed {
        /// When the read was sent.
        sent_at: Moment,
        /// Offset of the next append, if the read was answered.
        next: Option<Offset>,
    },
    /// The state of a peer.
    PeerState(Box<Snapshot>),
    /// Work sent by a handle.
    Run(Job),
}

/// Sends messages to the control; the receiver lives as long as its thread.
pub(crate) type Sender = tokio::sync::mpsc::UnboundedSender<Message>;

/// Sends a message. It is dropped if the control has stopped.
pub(crate) fn send(sender: &Sender, message: Message) {
    let _stopped = sender.send(message);
}
