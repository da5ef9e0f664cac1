//! What goes into a planned change and what comes out.

use crate::engine::Reading;
use crate::lease::Grant;
use crate::order::{Order, Verdict};
use crate::{Fence, OrderId};
use clock::Moment;
use smallvec::SmallVec;

/// Numbers the questions of one change. Only the answer to the newest counts: an older one tells
/// what was before the act that followed.
pub type RequestId = u32;

/// Something that a closing waits for, as it is told to operators.
pub type Blocker = String;

/// What the process may do at this moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The claim in force and its lease.
    pub grant: Grant,
    /// Whether the weight store has room for this order.
    pub admitted: bool,
}

/// What became of something that was sent to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The engine took it.
    Accepted,
    /// The engine has seen a newer fencing token.
    Superseded {
        /// That token.
        fence: Fence,
    },
    /// The engine is carrying out another order.
    Busy {
        /// That order.
        order: OrderId,
    },
    /// It certainly did not leave this process.
    Failed,
    /// Nothing is known: it may arrive at any time up to the longest delay.
    Unknown,
}

/// What a change is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// What still stands between this order and its sending, as `fleet`'s confirmed drain tells it;
    /// empty if every entry that may still send new work has confirmed this order and has nothing
    /// open that would be cut.
    Blockers(SmallVec<[Blocker; 4]>),
    /// The upstream has left the instance list.
    Absent,
    /// An answer to [`Output::Read`].
    Reading(RequestId, Reading),
    /// There was no answer to [`Output::Read`].
    Unreachable(RequestId),
    /// An answer to [`Output::Send`].
    Sent(RequestId, SendResult),
    /// An answer to [`Output::Cancel`].
    Cancelled(RequestId, SendResult),
}

/// What the owner of a change has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Ask the engine for its state.
    Read {
        /// To be given back with the answer.
        request: RequestId,
    },
    /// Send the order, unless `not_after` has passed at the moment of the send.
    Send {
        /// To be given back with the answer.
        request: RequestId,
        /// The order's id.
        order: OrderId,
        /// The fencing token for the engine.
        fence: Fence,
        /// What the engine is to do.
        action: Order,
        /// When the send must be over.
        not_after: Moment,
    },
    /// Tell the engine that the order must not begin any more.
    Cancel {
        /// To be given back with the answer.
        request: RequestId,
        /// The order's id.
        order: OrderId,
        /// The fencing token for the engine.
        fence: Fence,
        /// When the send must be over.
        not_after: Moment,
    },
    /// Append the outcome.
    Conclude {
        /// How the order ended.
        verdict: Verdict,
        /// Said to operators.
        detail: &'static str,
    },
}
