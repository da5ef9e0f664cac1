//! What goes into a planner and what comes out.

use crate::change;
use crate::engine::Reading;
use crate::nonce::Nonce;
use crate::order::{Order, Verdict};
use crate::{OrderId, UpstreamId};
use smallvec::SmallVec;
use std::collections::BTreeSet;
use wire::record::record::Body;

/// Why a change is wanted; the first kind goes first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// An engine was read back in another state than the concluded orders settled.
    Repair,
    /// An operator asked for it.
    Operator,
    /// The role planner asked for it.
    Plan,
}

/// What a planner is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed, or records were folded.
    Tick,
    /// The upstreams of the pool that could take new work if no order closed them: listed as
    /// live, not drained, not failing.
    Serving(BTreeSet<UpstreamId>),
    /// A change is wanted. It takes the place of one that waits for the same upstream.
    Request {
        /// The upstream.
        upstream: UpstreamId,
        /// What it is to do.
        action: Order,
        /// Why.
        reason: Reason,
    },
    /// A change is not wanted any more. One whose intent was sent takes its course.
    Withdraw {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Something for the change of this order.
    Change(OrderId, change::Input),
    /// An answer to [`Output::Check`].
    Checked {
        /// The upstream.
        upstream: UpstreamId,
        /// The order that came with the question.
        settled: OrderId,
        /// The engine.
        reading: Reading,
    },
}

/// What the owner of a planner has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append a record, once. How it went need not be told.
    Append {
        /// The nonce that the record must carry.
        nonce: Nonce,
        /// Its body.
        body: Body,
    },
    /// Something to ask or tell the upstream for a change.
    Change {
        /// The upstream.
        upstream: UpstreamId,
        /// The order.
        order: OrderId,
        /// What to do.
        output: change::Output,
    },
    /// Read the engine while it is idle.
    Check {
        /// The upstream.
        upstream: UpstreamId,
        /// Its newest concluded order, to be given back with the answer.
        settled: OrderId,
    },
    /// An engine differs from what the concluded orders settled; repairs are wanted.
    Mismatch {
        /// The upstream.
        upstream: UpstreamId,
        /// The orders that would mend it.
        repairs: SmallVec<[Order; 1]>,
    },
    /// An order of this scope was concluded.
    Concluded {
        /// The upstream.
        upstream: UpstreamId,
        /// The order.
        order: OrderId,
        /// How it ended.
        verdict: Verdict,
    },
}
