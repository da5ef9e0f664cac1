//! Conversion of the state to and from a snapshot record.

use super::{CurrentClaim, PendingOrder, State};
use crate::author::Author;
use crate::authority_record::Malformed;
use crate::order::{Model, Order, Role};
use crate::settled::{Settled, SettledModel};
use wire::record;

impl State {
    /// Writes the scopes, pending orders and settled states into a snapshot. They are sorted by
    /// name, so that all processes write the same bytes. Other fields are left to the caller.
    pub fn fill_snapshot(&self, snapshot: &mut record::Snapshot) {
        let scopes = self.scopes.iter().map(|(scope, claim)| record::Scope {
            scope: scope.clone(),
            fence: claim.fence,
            holder: Some((&claim.holder).into()),
            released: claim.released,
            renewed: claim.renewed,
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
        let settled = settled.map(|(upstream, settled)| write_settled(upstream, settled));
        snapshot.scopes = scopes.collect();
        snapshot.orders = orders.collect();
        snapshot.settled = settled.collect();
    }
}

fn write_settled(upstream: &str, settled: &Settled) -> record::Settled {
    let models = settled.models.iter().map(|settled| record::SettledModel {
        model: settled.model.model.clone(),
        version: settled.model.version.clone(),
        adapter: settled.model.adapter.clone(),
        loaded: settled.loaded,
    });
    record::Settled {
        scope: settled.scope.clone(),
        upstream: upstream.to_owned(),
        order: settled.order,
        role: settled.role.map_or(0, Role::to_wire),
        models: models.collect(),
    }
}

impl TryFrom<&record::Snapshot> for State {
    type Error = Malformed;

    /// Restores the state as of the snapshot's `upto`. Records up to that offset count as folded.
    fn try_from(raw: &record::Snapshot) -> Result<Self, Malformed> {
        let mut state = Self {
            folded: raw.upto,
            ..Self::default()
        };
        for scope in &raw.scopes {
            let claim = CurrentClaim {
                fence: scope.fence,
                holder: Author::try_from(scope.holder.as_ref())?,
                released: scope.released,
                renewed: scope.renewed,
            };
            state.scopes.insert(scope.scope.clone(), claim);
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
        for settled in &raw.settled {
            let upstream = settled.upstream.clone();
            state.settled.insert(upstream, read_settled(settled));
        }
        Ok(state)
    }
}

fn read_settled(raw: &record::Settled) -> Settled {
    let models = raw.models.iter().map(|settled| SettledModel {
        model: Model {
            model: settled.model.clone(),
            adapter: settled.adapter.clone(),
            version: settled.version.clone(),
        },
        loaded: settled.loaded,
    });
    Settled {
        scope: raw.scope.clone(),
        order: raw.order,
        role: Role::from_wire(raw.role),
        models: models.collect(),
    }
}
