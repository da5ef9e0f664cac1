//! Inputs and outputs of a planned change.

use crate::engine::Reading;
use crate::lease::Grant;
use crate::order::{Order, Verdict};
use crate::{Fence, OrderId};
use clock::Moment;
use smallvec::SmallVec;

/// Numbers the requests of one change. Only the answer to the newest request is used: older answers
/// describe the engine before the latest action.
pub type RequestId = u32;

/// Something that a change waits for before its order can be sent, described for operators.
pub type Blocker = String;

/// What this process may do at this moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The claim in force and its lease.
    pub grant: Grant,
    /// Whether the limit of the weight store admits this order.
    pub admitted: bool,
}

/// The result of sending an order or a cancellation to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The engine accepted it.
    Accepted,
    /// The engine has seen a newer fencing token.
    Superseded {
        /// That token.
        fence: Fence,
    },
    /// The engine is executing another order.
    Busy {
        /// Id of that order.
        order: OrderId,
    },
    /// It did not leave this process.
    Failed,
    /// The result is unknown; it may still arrive within the maximum delivery delay.
    Unknown,
}

/// An input of a change.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// What the order still waits for, from the confirmed drain of `fleet`. Empty if every entry
    /// that may still send new work has confirmed the order and has no open work that the order
    /// would abort.
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

/// An action for the owner of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Read the state of the engine.
    Read {
        /// Returned with the answer.
        request: RequestId,
    },
    /// Send the order, unless `not_after` has passed at the moment of the send.
    Send {
        /// Returned with the answer.
        request: RequestId,
        /// Id of the order.
        order: OrderId,
        /// Fencing token for the engine.
        fence: Fence,
        /// The order.
        action: Order,
        /// When the send must have ended.
        not_after: Moment,
    },
    /// Cancel the order, so that the engine cannot begin it later.
    Cancel {
        /// Returned with the answer.
        request: RequestId,
        /// Id of the order.
        order: OrderId,
        /// Fencing token for the engine.
        fence: Fence,
        /// When the send must have ended.
        not_after: Moment,
    },
    /// Append the outcome.
    Conclude {
        /// How the order ended.
        verdict: Verdict,
        /// Explanation for operators.
        detail: &'static str,
    },
}
