//! The effect of a record on the folded state.

use crate::author::Author;
use crate::authority_record::Malformed;
use crate::order::{Order, Verdict};
use crate::{Fence, Offset, OrderId, ScopeId, UpstreamId};

/// The effect of one record on the folded state. Every process computes the same effect.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Effect {
    /// The record does not concern authority.
    Unrelated,
    /// The offset was folded before.
    Repeated,
    /// Earlier records are missing, so the record cannot be validated and nothing changed. The
    /// caller must load a snapshot that covers the missing records.
    Gap {
        /// The first missing offset.
        missing: Offset,
    },
    /// The scope has a new holder.
    Claimed {
        /// The scope.
        scope: ScopeId,
        /// Fencing token of the new claim.
        fence: Fence,
        /// The new holder.
        holder: Author,
        /// The previous holder, unless it had released the scope.
        previous_holder: Option<Author>,
    },
    /// The holder renewed its claim.
    Renewed {
        /// The scope.
        scope: ScopeId,
        /// Fencing token of the claim.
        fence: Fence,
    },
    /// The holder released the scope.
    Released {
        /// The scope.
        scope: ScopeId,
        /// Fencing token of the released claim.
        fence: Fence,
    },
    /// An order is pending; the upstream is closed to new work.
    Intended {
        /// The scope.
        scope: ScopeId,
        /// Id of the order, which is the offset of the record.
        order: OrderId,
        /// The upstream.
        upstream: UpstreamId,
        /// The order to the engine.
        action: Order,
    },
    /// An order ended; the upstream may receive new work again.
    Concluded {
        /// The scope.
        scope: ScopeId,
        /// Id of the order.
        order: OrderId,
        /// The upstream.
        upstream: UpstreamId,
        /// How the order ended.
        verdict: Verdict,
    },
    /// The record is invalid and changed nothing.
    Refused(Refusal),
}

/// Why a record is invalid.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// A field is missing or has an unknown value.
    Malformed(Malformed),
    /// The claim replaces a claim that is no longer in force.
    Superseded {
        /// Fencing token of the claim in force; 0 for none.
        in_force: Fence,
    },
    /// The holder renewed its claim after the state that the challenger had read.
    Renewed {
        /// Offset of the newest renewal.
        renewed: Offset,
    },
    /// The record's fencing token is not in force, or its author is not the holder.
    Unauthorised {
        /// Fencing token of the claim in force; 0 for none.
        in_force: Fence,
    },
    /// The upstream already has a pending order.
    Busy {
        /// Id of the pending order.
        order: OrderId,
    },
    /// The intent names a previous order that is not the upstream's newest concluded order.
    Outdated {
        /// Id of the newest concluded order; 0 for none.
        newest: OrderId,
    },
    /// The order is not pending.
    Resolved {
        /// Id of the order that the outcome names.
        order: OrderId,
    },
    /// The limit on pending orders is reached.
    Full,
}
