//! What the control's one task takes in.

use std::sync::Arc;

use clock::Moment;
use wire::record::Snapshot;

use crate::Offset;
use crate::appends::CompletedAppend;
use crate::core::Core;
use crate::engines::EngineReply;

/// Work that another thread wants done on the control's state.
pub(crate) type Job = Box<dyn FnOnce(&mut Core) + Send>;

/// One message.
pub(crate) enum Message {
    /// The instance list has changed.
    Listing(Arc<platform::Listing>),
    /// The mesh tells something.
    Peer(peer::Event),
    /// An append ended.
    Appended(CompletedAppend),
    /// An engine answered, or did not.
    Engine(EngineReply),
    /// A read of the log without a wait ended.
    LogProbed {
        /// When it was sent.
        sent_at: Moment,
        /// The offset of the next append, if it was answered.
        next: Option<Offset>,
    },
    /// A peer gave its state.
    PeerState(Box<Snapshot>),
    /// A handle wants something.
    Run(Job),
}

/// Where messages go. The receiver lives as long as the control's thread.
pub(crate) type Sender = tokio::sync::mpsc::UnboundedSender<Message>;

/// Sends a message of a task. When the control has stopped nobody is left to be told.
pub(crate) fn send(sender: &Sender, message: Message) {
    let _stopped = sender.send(message);
}
