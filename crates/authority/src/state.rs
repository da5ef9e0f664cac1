//! The fold of the log: who holds each scope, which orders are unresolved, what the concluded
//! ones settled. It is a function of the prefix of the log alone, so every process that has folded
//! up to an offset agrees on it; see `docs/design/authority.md`.

use crate::author::Author;
use crate::effect::{Effect, Refusal};
use crate::order::{Order, Verdict};
use crate::settled::Settled;
use crate::statement::AuthorityRecord;
use crate::{Fence, Offset, OrderId, ScopeId, UpstreamId};
use std::collections::{BTreeMap, VecDeque};
use wire::record::Record;

mod snapshot;
mod take;

/// Bound on upstreams whose settled state is remembered; the one whose order is oldest is forgotten
/// first. It is above the 1,400 engines of the target size with room for replaced ones.
pub const MAX_SETTLED_UPSTREAMS: usize = 4096;

/// Bound on unresolved orders; there is at most one an upstream.
pub const MAX_PENDING_ORDERS: usize = 4096;

/// Bound on the concluded orders that are kept for operators.
pub const MAX_RECENT_ORDERS: usize = 64;

/// The claim in force of a scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CurrentClaim {
    /// Offset of the claim.
    pub fence: Fence,
    /// Its author.
    pub holder: Author,
    /// Whether the holder gave it up.
    pub released: bool,
    /// Offset of the newest valid renewal, or of the claim itself.
    pub renewed: Offset,
}

/// An unresolved order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PendingOrder {
    /// Offset of the intent.
    pub order: OrderId,
    /// The scope.
    pub scope: ScopeId,
    /// The claim under which it was intended.
    pub fence: Fence,
    /// What the upstream is told.
    pub action: Order,
    /// The newest order of the upstream that was concluded before.
    pub previous: OrderId,
}

/// A concluded order, for operators.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ConcludedOrder {
    /// The order as it was intended.
    pub intent: PendingOrder,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Offset of the outcome.
    pub offset: Offset,
    /// How it ended.
    pub verdict: Verdict,
    /// What the holder said of it.
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
    /// The state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// The last folded offset; 0 for none.
    pub fn folded(&self) -> Offset {
        self.folded
    }

    /// The claim in force of a scope.
    pub fn current_claim(&self, scope: &str) -> Option<&CurrentClaim> {
        self.scopes.get(scope)
    }

    /// All scopes that were ever claimed.
    pub fn current_claims(&self) -> impl Iterator<Item = (&ScopeId, &CurrentClaim)> {
        self.scopes.iter()
    }

    /// The unresolved order of an upstream. While there is one, no entry sends new work there.
    pub fn pending_order(&self, upstream: &str) -> Option<&PendingOrder> {
        self.pending.get(upstream)
    }

    /// All unresolved orders.
    pub fn pending_orders(&self) -> impl Iterator<Item = (&UpstreamId, &PendingOrder)> {
        self.pending.iter()
    }

    /// What the concluded orders made of an upstream.
    pub fn settled(&self, upstream: &str) -> Option<&Settled> {
        self.settled.get(upstream)
    }

    /// The settled state of all upstreams of which an order is known.
    pub fn all_settled(&self) -> impl Iterator<Item = (&UpstreamId, &Settled)> {
        self.settled.iter()
    }

    /// The newest concluded orders, the newest last. They are not part of snapshots and decide
    /// nothing.
    pub fn recent_orders(&self) -> impl Iterator<Item = &ConcludedOrder> {
        self.recent.iter()
    }

    /// How many unresolved orders that fetch weights have a smaller id. A holder sends such an
    /// order only while fewer than the store's limit stand before it. Its own folded prefix holds
    /// all of them, so holders of different scopes keep the limit without talking to each other.
    pub fn pending_loads_before(&self, order: OrderId) -> usize {
        let loads = self.pending.values();
        loads
            .filter(|pending| pending.action.uses_weight_store() && pending.order < order)
            .count()
    }

    /// Takes in the record at `offset`. All records are handed in, whatever they hold; one that was
    /// folded before is passed over, so a record that is delivered twice does no harm, but none may
    /// be left out.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Effect {
        if offset <= self.folded {
            return Effect::Repeated;
        }
        // A record that was left out may hold the claim in force or an intent. Folding on without
        // it would show as a former holder whose orders count, or as an upstream that gets work
        // while another process reconfigures it.
        if offset > self.folded + 1 {
            return Effect::Gap {
                missing: self.folded + 1,
            };
        }
        self.folded = offset;
        match AuthorityRecord::read(record) {
            Ok(None) => Effect::Unrelated,
            Ok(Some(statement)) => self.take(offset, statement).unwrap_or_else(Effect::Refused),
            Err(malformed) => Effect::Refused(Refusal::Malformed(malformed)),
        }
    }
}
