//! What each kind of statement does to the state, or why it is refused.

use super::{
    ConcludedOrder, CurrentClaim, MAX_PENDING_ORDERS, MAX_RECENT_ORDERS, MAX_SETTLED_UPSTREAMS,
    PendingOrder, State,
};
use crate::author::Author;
use crate::effect::{Effect, Refusal};
use crate::order::Verdict;
use crate::settled::Settled;
use crate::statement::{AuthorityRecord, RecordKind};
use crate::{Fence, Offset, OrderId, ScopeId, UpstreamId};

impl State {
    pub(super) fn take(
        &mut self,
        offset: Offset,
        statement: AuthorityRecord,
    ) -> Result<Effect, Refusal> {
        let AuthorityRecord {
            author,
            scope,
            kind,
        } = statement;
        match kind {
            RecordKind::Claim { replaces, seen } => {
                self.claim(offset, scope, author, replaces, seen)
            }
            RecordKind::Renewal { fence } => {
                self.authorised(&scope, fence, &author)?.renewed = offset;
                Ok(Effect::Renewed { scope, fence })
            }
            RecordKind::Release { fence } => {
                self.authorised(&scope, fence, &author)?.released = true;
                Ok(Effect::Released { scope, fence })
            }
            RecordKind::Intent {
                fence,
                upstream,
                order: what,
                previous,
            } => {
                self.authorised(&scope, fence, &author)?;
                let pending = PendingOrder {
                    order: offset,
                    scope,
                    fence,
                    action: what,
                    previous,
                };
                self.intend(upstream, pending)
            }
            RecordKind::Outcome {
                fence,
                order,
                verdict,
                detail,
            } => {
                self.authorised(&scope, fence, &author)?;
                self.conclude(offset, scope, order, verdict, detail)
            }
        }
    }

    /// A claim is a compare-and-swap on the claim in force and its newest renewal: of two
    /// challengers the first in the log wins, and a holder whose renewal landed first stays.
    /// Without the comparison of the renewal the lease of a holder whose renewal the challenger
    /// had not read yet would run on beside the new claim.
    fn claim(
        &mut self,
        offset: Offset,
        scope: ScopeId,
        author: Author,
        replaces: Fence,
        seen: Offset,
    ) -> Result<Effect, Refusal> {
        let held = self.scopes.get(&scope);
        let (in_force, renewed) = held.map_or((0, 0), |held| (held.fence, held.renewed));
        if replaces != in_force {
            return Err(Refusal::Superseded { in_force });
        }
        if seen != renewed {
            return Err(Refusal::Renewed { renewed });
        }
        let from = held.filter(|held| !held.released);
        let from = from.map(|held| held.holder.clone());
        let holding = CurrentClaim {
            fence: offset,
            holder: author.clone(),
            released: false,
            renewed: offset,
        };
        self.scopes.insert(scope.clone(), holding);
        Ok(Effect::Claimed {
            scope,
            fence: offset,
            holder: author,
            previous_holder: from,
        })
    }

    fn authorised(
        &mut self,
        scope: &str,
        fence: Fence,
        author: &Author,
    ) -> Result<&mut CurrentClaim, Refusal> {
        let held = self.scopes.get_mut(scope);
        let Some(held) = held else {
            return Err(Refusal::Unauthorised { in_force: 0 });
        };
        if held.released || held.fence != fence || held.holder != *author {
            return Err(Refusal::Unauthorised {
                in_force: held.fence,
            });
        }
        Ok(held)
    }

    fn intend(&mut self, upstream: UpstreamId, pending: PendingOrder) -> Result<Effect, Refusal> {
        if let Some(PendingOrder { order, .. }) = self.pending.get(&upstream) {
            return Err(Refusal::Busy { order: *order });
        }
        let newest = self.settled.get(&upstream).map_or(0, |known| known.order);
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

    fn conclude(
        &mut self,
        at: Offset,
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
        self.settle(&upstream, &intent, verdict);
        if self.recent.len() == MAX_RECENT_ORDERS {
            self.recent.pop_front();
        }
        self.recent.push_back(ConcludedOrder {
            intent,
            upstream: upstream.clone(),
            offset: at,
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

    fn settle(&mut self, upstream: &UpstreamId, intent: &PendingOrder, verdict: Verdict) {
        let known = self.settled.entry(upstream.clone());
        let known = known.or_insert_with(|| Settled::new(intent.scope.clone()));
        known.conclude(&intent.scope, intent.order, &intent.action, verdict);
        if self.settled.len() > MAX_SETTLED_UPSTREAMS {
            let oldest = self.settled.iter().min_by_key(|(_, known)| known.order);
            let oldest = oldest.map(|(upstream, _)| upstream.clone());
            oldest.map(|upstream| self.settled.remove(&upstream));
        }
    }
}
