//! The state's part of a snapshot record.

use super::{CurrentClaim, PendingOrder, State};
use crate::author::Author;
use crate::order::{Model, Order, Role};
use crate::settled::{Settled, SettledModel};
use crate::statement::Malformed;
use wire::record;

impl State {
    /// Writes the scopes, the unresolved orders and the settled state into a snapshot, sorted by
    /// name, so that all processes write the same bytes. The other fields are the caller's.
    pub fn fill_snapshot(&self, snapshot: &mut record::Snapshot) {
        let scopes = self.scopes.iter().map(|(scope, held)| record::Scope {
            scope: scope.clone(),
            fence: held.fence,
            holder: Some((&held.holder).into()),
            released: held.released,
            renewed: held.renewed,
        });
        let pending = self.pending.iter();
        let orders = pending.map(|(upstream, pending)| record::PendingOrder {
            order: pending.order,
            intent: Some(record::Intent {
                scope: pending.scope.clone(),
                fence: pending.fence,
                upstream: upstream.clone(),
                order: Some((&pending.action).into()),
                previous: pending.previous,
            }),
        });
        let settled = self.settled.iter();
        let settled = settled.map(|(upstream, known)| write_settled(upstream, known));
        snapshot.scopes = scopes.collect();
        snapshot.orders = orders.collect();
        snapshot.settled = settled.collect();
    }
}

fn write_settled(upstream: &str, known: &Settled) -> record::Settled {
    let models = known.models.iter().map(|placed| record::SettledModel {
        model: placed.model.model.clone(),
        version: placed.model.version.clone(),
        adapter: placed.model.adapter.clone(),
        loaded: placed.loaded,
    });
    record::Settled {
        scope: known.scope.clone(),
        upstream: upstream.to_owned(),
        order: known.order,
        role: known.role.map_or(0, Role::to_wire),
        models: models.collect(),
    }
}

impl TryFrom<&record::Snapshot> for State {
    type Error = Malformed;

    /// The state as of the snapshot's `upto`; records up to there count as folded.
    fn try_from(raw: &record::Snapshot) -> Result<Self, Malformed> {
        let mut state = Self {
            folded: raw.upto,
            ..Self::default()
        };
        for scope in &raw.scopes {
            let holding = CurrentClaim {
                fence: scope.fence,
                holder: Author::try_from(scope.holder.as_ref())?,
                released: scope.released,
                renewed: scope.renewed,
            };
            state.scopes.insert(scope.scope.clone(), holding);
        }
        for order in &raw.orders {
            let intent = order.intent.as_ref().ok_or(Malformed { field: "intent" })?;
            let pending = PendingOrder {
                order: order.order,
                scope: intent.scope.clone(),
                fence: intent.fence,
                action: Order::try_from(intent.order.as_ref())?,
                previous: intent.previous,
            };
            state.pending.insert(intent.upstream.clone(), pending);
        }
        for known in &raw.settled {
            let upstream = known.upstream.clone();
            state.settled.insert(upstream, read_settled(known));
        }
        Ok(state)
    }
}

fn read_settled(raw: &record::Settled) -> Settled {
    let models = raw.models.iter().map(|placed| SettledModel {
        model: Model {
            model: placed.model.clone(),
            adapter: placed.adapter.clone(),
            version: placed.version.clone(),
        },
        loaded: placed.loaded,
    });
    Settled {
        scope: raw.scope.clone(),
        order: raw.order,
        role: Role::from_wire(raw.role),
        models: models.collect(),
    }
}
