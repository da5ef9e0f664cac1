//! The effect of each kind of authority record on the state, and the conditions under which a
//! record is refused.

use super::{
    ConcludedOrder, CurrentClaim, MAX_PENDING_ORDERS, MAX_RECENT_ORDERS, MAX_SETTLED_UPSTREAMS,
    PendingOrder, State,
};
use crate::author::Author;
use crate::authority_record::{AuthorityRecord, RecordKind};
use crate::effect::{Effect, Refusal};
use crate::order::Verdict;
use crate::settled::Settled;
use crate::{Fence, Offset, OrderId, ScopeId, UpstreamId};

impl State {
    pub(super) fn apply_record(
        &mut self,
        offset: Offset,
        record: AuthorityRecord,
    ) -> Result<Effect, Refusal> {
        let AuthorityRecord {
            author,
            scope,
            kind,
        } = record;
        match kind {
            RecordKind::Claim { replaces, seen } => {
                self.apply_claim(offset, scope, author, replaces, seen)
            }
            RecordKind::Renewal { fence } => {
                self.authorised_claim(&scope, fence, &author)?.renewed = offset;
                Ok(Effect::Renewed { scope, fence })
            }
            RecordKind::Release { fence } => {
                self.authorised_claim(&scope, fence, &author)?.released = true;
                Ok(Effect::Released { scope, fence })
            }
            RecordKind::Intent {
                fence,
                upstream,
                order: action,
                previous,
            } => {
                self.authorised_claim(&scope, fence, &author)?;
                let pending = PendingOrder {
                    order: offset,
                    scope,
                    fence,
                    action,
                    previous,
                };
                self.apply_intent(upstream, pending)
            }
            RecordKind::Outcome {
                fence,
                order,
                verdict,
                detail,
            } => {
                self.authorised_claim(&scope, fence, &author)?;
                self.apply_outcome(offset, scope, order, verdict, detail)
            }
        }
    }

    /// A claim is a compare-and-swap on the claim in force and its newest renewal. Of two
    /// challengers, the first in the log wins, and a holder whose renewal was logged first keeps
    /// the scope. Comparing only the claim would let a challenger win that has not read the newest
    /// renewal, while the holder's lease still runs.
    fn apply_claim(
        &mut self,
        offset: Offset,
        scope: ScopeId,
        author: Author,
        replaces: Fence,
        seen: Offset,
    ) -> Result<Effect, Refusal> {
        let current = self.scopes.get(&scope);
        let (in_force, renewed) =
            current.map_or((0, 0), |current| (current.fence, current.renewed));
        if replaces != in_force {
            return Err(Refusal::Superseded { in_force });
        }
        if seen != renewed {
            return Err(Refusal::Renewed { renewed });
        }
        let previous_holder = current.filter(|current| !current.released);
        let previous_holder = previous_holder.map(|current| current.holder.clone());
        let claim = CurrentClaim {
            fence: offset,
            holder: author.clone(),
            released: false,
            renewed: offset,
        };
        self.scopes.insert(scope.clone(), claim);
        Ok(Effect::Claimed {
            scope,
            fence: offset,
            holder: author,
            previous_holder,
        })
    }

    fn authorised_claim(
        &mut self,
        scope: &str,
        fence: Fence,
        author: &Author,
    ) -> Result<&mut CurrentClaim, Refusal> {
        let current = self.scopes.get_mut(scope);
        let Some(current) = current else {
            return Err(Refusal::Unauthorised { in_force: 0 });
        };
        if current.released || current.fence != fence || current.holder != *author {
            return Err(Refusal::Unauthorised {
                in_force: current.fence,
            });
        }
        Ok(current)
    }

    fn apply_intent(
        &mut self,
        upstream: UpstreamId,
        pending: PendingOrder,
    ) -> Result<Effect, Refusal> {
        if let Some(PendingOrder { order, .. }) = self.pending.get(&upstream) {
            return Err(Refusal::Busy { order: *order });
        }
        let newest = self
            .settled
            .get(&upstream)
            .map_or(0, |settled| settled.order);
        if pending.previous != newest {
            return Err(Refusal::Outdated { newest });
        }
        if self.pending.len() == MAX_PENDING_ORDERS {
            return Err(Refusal::Full);
        }
        let effect = Effect::Intended {
            scope: pending.scope.clone(),
            order: pending.order,
            upstream: upstream.clone(),
            action: pending.action.clone(),
        };
        self.pending.insert(upstream, pending);
        Ok(effect)
    }

    fn apply_outcome(
        &mut self,
        offset: Offset,
        scope: ScopeId,
        order: OrderId,
        verdict: Verdict,
        detail: String,
    ) -> Result<Effect, Refusal> {
        let found = self
            .pending
            .iter()
            .find(|(_, pending)| pending.order == order && pending.scope == scope);
        let Some(upstream) = found.map(|(upstream, _)| upstream.clone()) else {
            return Err(Refusal::Resolved { order });
        };
        let Some(intent) = self.pending.remove(&upstream) else {
            return Err(Refusal::Resolved { order });
        };
        self.update_settled(&upstream, &intent, verdict);
        if self.recent.len() == MAX_RECENT_ORDERS {
            self.recent.pop_front();
        }
        self.recent.push_back(ConcludedOrder {
            intent,
            upstream: upstream.clone(),
            offset,
            verdict,
            detail,
        });
        Ok(Effect::Concluded {
            scope,
            order,
            upstream,
            verdict,
        })
    }

    fn update_settled(&mut self, upstream: &UpstreamId, intent: &PendingOrder, verdict: Verdict) {
        let settled = self.settled.entry(upstream.clone());
        let settled = settled.or_insert_with(|| Settled::new(intent.scope.clone()));
        settled.conclude(&intent.scope, intent.order, &intent.action, verdict);
        if self.settled.len() > MAX_SETTLED_UPSTREAMS {
            let oldest = self.settled.iter().min_by_key(|(_, settled)| settled.order);
            let oldest = oldest.map(|(upstream, _)| upstream.clone());
            oldest.map(|upstream| self.settled.remove(&upstream));
        }
    }
}
