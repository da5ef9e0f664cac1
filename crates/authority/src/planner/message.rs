//! Inputs and outputs of a planner.

use crate::change;
use crate::engine::Reading;
use crate::nonce::Nonce;
use crate::order::{Order, Verdict};
use crate::{OrderId, UpstreamId};
use smallvec::SmallVec;
use std::collections::BTreeSet;
use wire::record::record::Body;

/// Why a change is requested, in descending priority.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The engine differs from its settled state.
    Repair,
    /// Requested by an operator.
    Operator,
    /// Requested by the role planner.
    Plan,
}

/// An input of a planner.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed, or records were folded.
    Tick,
    /// The upstreams of the pool that take new work unless closed by an order: listed as live, not
    /// drained and not failing.
    Serving(BTreeSet<UpstreamId>),
    /// Request a change. It replaces a waiting change of the same upstream, unless that one has a
    /// higher priority or its intent was sent.
    Request {
        /// The upstream.
        upstream: UpstreamId,
        /// The order to send.
        action: Order,
        /// Why it is requested.
        reason: Reason,
    },
    /// Withdraw a requested change. A change whose intent was sent proceeds.
    Withdraw {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An input for the change of this order.
    Change(OrderId, change::Input),
    /// An answer to [`Output::Check`].
    Checked {
        /// The upstream.
        upstream: UpstreamId,
        /// The order id of the request.
        settled: OrderId,
        /// State of the engine.
        reading: Reading,
    },
}

/// An action for the owner of a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append a record once. The result need not be reported.
    Append {
        /// Nonce of the record.
        nonce: Nonce,
        /// Body of the record.
        body: Body,
    },
    /// Send a request to the upstream for a change.
    Change {
        /// The upstream.
        upstream: UpstreamId,
        /// Id of the order.
        order: OrderId,
        /// The request.
        output: change::Output,
    },
    /// Read an idle engine.
    Check {
        /// The upstream.
        upstream: UpstreamId,
        /// Its newest concluded order, returned with the answer.
        settled: OrderId,
    },
    /// An engine differs from its settled state.
    Mismatch {
        /// The upstream.
        upstream: UpstreamId,
        /// The orders that restore the settled state.
        repairs: SmallVec<[Order; 1]>,
    },
    /// An order of this scope was concluded.
    Concluded {
        /// The upstream.
        upstream: UpstreamId,
        /// Id of the order.
        order: OrderId,
        /// How it ended.
        verdict: Verdict,
    },
}
