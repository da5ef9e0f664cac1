//! The fold of the log: the holder of each scope, the pending orders, and the settled state of the
//! upstreams. It depends only on the folded prefix of the log, so all processes agree on the state
//! at an offset. See `docs/design/authority.md`.

use crate::author::Author;
use crate::authority_record::AuthorityRecord;
use crate::effect::{Effect, Refusal};
use crate::order::{Order, Verdict};
use crate::settled::Settled;
use crate::{Fence, Offset, OrderId, ScopeId, UpstreamId};
use std::collections::{BTreeMap, VecDeque};
use wire::record::Record;

mod snapshot;
mod transitions;

/// Limit on upstreams with a settled state. The one with the oldest order is dropped first. The
/// limit covers the 1,400 engines of the target size, with room for replaced engines.
pub const MAX_SETTLED_UPSTREAMS: usize = 4096;

/// Limit on pending orders. Each upstream has at most one.
pub const MAX_PENDING_ORDERS: usize = 4096;

/// Limit on the concluded orders kept for operators.
pub const MAX_RECENT_ORDERS: usize = 64;

/// The claim in force of a scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CurrentClaim {
    /// Fencing token, which is the offset of the claim.
    pub fence: Fence,
    /// Author of the claim.
    pub holder: Author,
    /// Whether the holder has released the scope.
    pub released: bool,
    /// Offset of the newest valid renewal, or of the claim itself.
    pub renewed: Offset,
}

/// An order without an outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PendingOrder {
    /// Id of the order, which is the offset of the intent.
    pub order: OrderId,
    /// The scope.
    pub scope: ScopeId,
    /// The claim under which the intent was written.
    pub fence: Fence,
    /// The order to the upstream.
    pub action: Order,
    /// Id of the upstream's newest concluded order at the time of the intent.
    pub previous: OrderId,
}

/// A concluded order, kept for operators.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ConcludedOrder {
    /// The order as it was pending.
    pub intent: PendingOrder,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Offset of the outcome.
    pub offset: Offset,
    /// How it ended.
    pub verdict: Verdict,
    /// Explanation by the holder.
    pub detail: String,
}

/// The folded state.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct State {
    folded: Offset,
    scopes: BTreeMap<ScopeId, CurrentClaim>,
    pending: BTreeMap<UpstreamId, PendingOrder>,
    settled: BTreeMap<UpstreamId, Settled>,
    recent: VecDeque<ConcludedOrder>,
}

impl State {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offset of the last folded record; 0 for none.
    pub fn folded(&self) -> Offset {
        self.folded
    }

    /// The claim in force of a scope, or the released one if nobody has claimed the scope since.
    pub fn current_claim(&self, scope: &str) -> Option<&CurrentClaim> {
        self.scopes.get(scope)
    }

    /// The newest claims of all scopes that were ever claimed.
    pub fn current_claims(&self) -> impl Iterator<Item = (&ScopeId, &CurrentClaim)> {
        self.scopes.iter()
    }

    /// The pending order of an upstream. While it is pending, no entry sends new work there.
    pub fn pending_order(&self, upstream: &str) -> Option<&PendingOrder> {
        self.pending.get(upstream)
    }

    /// All pending orders.
    pub fn pending_orders(&self) -> impl Iterator<Item = (&UpstreamId, &PendingOrder)> {
        self.pending.iter()
    }

    /// The settled state of an upstream.
    pub fn settled(&self, upstream: &str) -> Option<&Settled> {
        self.settled.get(upstream)
    }

    /// The settled states of all upstreams with a concluded order.
    pub fn all_settled(&self) -> impl Iterator<Item = (&UpstreamId, &Settled)> {
        self.settled.iter()
    }

    /// The most recently concluded orders, newest last. They are not part of snapshots and affect no
    /// decision.
    pub fn recent_orders(&self) -> impl Iterator<Item = &ConcludedOrder> {
        self.recent.iter()
    }

    /// Number of pending orders that download weights and have a smaller id. A holder sends such an
    /// order only while this number is below the weight store's limit. The folded prefix contains
    /// all earlier orders, so holders of different scopes keep the limit without communicating.
    pub fn pending_loads_before(&self, order: OrderId) -> usize {
        let loads = self.pending.values();
        loads
            .filter(|pending| pending.action.downloads_weights() && pending.order < order)
            .count()
    }

    /// Applies the record at `offset`. The caller passes every record, whatever its kind. Records
    /// that were folded before are ignored, so duplicate delivery is harmless.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Effect {
        if offset <= self.folded {
            return Effect::Repeated;
        }
        // A missing record may contain the claim in force or an intent. Without it, orders of a
        // former holder would be accepted, or an upstream would receive work while another process
        // reconfigures it.
        if offset > self.folded + 1 {
            return Effect::Gap {
                missing: self.folded + 1,
            };
        }
        self.folded = offset;
        match AuthorityRecord::read(record) {
            Ok(None) => Effect::Unrelated,
            Ok(Some(record)) => self
                .apply_record(offset, record)
                .unwrap_or_else(Effect::Refused),
            Err(malformed) => Effect::Refused(Refusal::Malformed(malformed)),
        }
    }
}
