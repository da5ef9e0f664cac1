//! What a record changed, or why it changed nothing.

use crate::author::Author;
use crate::order::{Order, Verdict};
use crate::statement::Malformed;
use crate::{Fence, Offset, OrderId, ScopeId, UpstreamId};

/// The effect of one record on the folded state; the same on every process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Effect {
    /// The record is of another matter.
    Unrelated,
    /// The offset was folded before.
    Repeated,
    /// Records before it were left out, so that it can't be judged; nothing changed. A snapshot
    /// must be adopted that covers them.
    Gap {
        /// The first offset that is missing.
        missing: Offset,
    },
    /// The scope has a new holder.
    Claimed {
        /// The scope.
        scope: ScopeId,
        /// The claim, which is now in force.
        fence: Fence,
        /// The new holder.
        holder: Author,
        /// The former holder, if it had not released.
        previous_holder: Option<Author>,
    },
    /// The holder is alive.
    Renewed {
        /// The scope.
        scope: ScopeId,
        /// The claim in force.
        fence: Fence,
    },
    /// The holder gave the scope up.
    Released {
        /// The scope.
        scope: ScopeId,
        /// The claim that was in force.
        fence: Fence,
    },
    /// An upstream is closed for new work from here on.
    Intended {
        /// The scope.
        scope: ScopeId,
        /// The order, which is the offset of the record.
        order: OrderId,
        /// The upstream.
        upstream: UpstreamId,
        /// What it will be told.
        action: Order,
    },
    /// The upstream may get new work again.
    Concluded {
        /// The scope.
        scope: ScopeId,
        /// The order.
        order: OrderId,
        /// The upstream.
        upstream: UpstreamId,
        /// How the order ended.
        verdict: Verdict,
    },
    /// The record is invalid and changes nothing.
    Refused(Refusal),
}

/// Why a record is invalid.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// It does not say what it must.
    Malformed(Malformed),
    /// It claims the scope from a claim that is not the one in force.
    Superseded {
        /// The claim in force; 0 for none.
        in_force: Fence,
    },
    /// The holder renewed after what the challenger had read.
    Renewed {
        /// The newest renewal.
        renewed: Offset,
    },
    /// Its fence is not in force, or its author is not the holder.
    Unauthorised {
        /// The claim in force; 0 for none.
        in_force: Fence,
    },
    /// The upstream has an unresolved order.
    Busy {
        /// That order.
        order: OrderId,
    },
    /// The upstream's newest concluded order is another one than the intent names.
    Outdated {
        /// The newest concluded order; 0 for none.
        newest: OrderId,
    },
    /// The order is not unresolved.
    Resolved {
        /// The order that the outcome names.
        order: OrderId,
    },
    /// The state's bound on unresolved orders is reached.
    Full,
}
