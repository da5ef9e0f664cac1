//! What the concluded orders made of an upstream. A read-back that differs shows a restart of the
//! engine or an order that acted late.

use crate::order::{Model, Order, Role, Verdict};
use crate::{OrderId, ScopeId};
use smallvec::SmallVec;

/// Bound on the models remembered of one upstream; the one settled longest ago is forgotten first.
pub const MAX_MODELS_PER_UPSTREAM: usize = 16;

/// A model that an order settled.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SettledModel {
    /// The model.
    pub model: Model,
    /// Whether it was loaded, else unloaded.
    pub loaded: bool,
}

/// The settled state of one upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settled {
    /// The scope whose holder concluded the newest order.
    pub scope: ScopeId,
    /// The newest concluded order, whatever its verdict.
    pub order: OrderId,
    /// The role, if an order set it.
    pub role: Option<Role>,
    /// The models that orders loaded or unloaded, the newest last.
    pub models: SmallVec<[SettledModel; 1]>,
}

impl Settled {
    /// The state of an upstream of which no order is known.
    pub fn new(scope: ScopeId) -> Self {
        Self {
            scope,
            order: 0,
            role: None,
            models: SmallVec::new(),
        }
    }

    /// Takes in the end of an order.
    pub fn conclude(&mut self, scope: &ScopeId, id: OrderId, order: &Order, verdict: Verdict) {
        self.scope.clone_from(scope);
        self.order = id;
        match verdict {
            Verdict::Done => self.carry_out(order),
            Verdict::Undone => (),
            // An upstream that comes back under the same id is another process.
            Verdict::Gone => {
                self.role = None;
                self.models.clear();
            }
        }
    }

    fn carry_out(&mut self, order: &Order) {
        match order {
            Order::SetRole(role) => self.role = Some(*role),
            Order::LoadModel(model) => self.place(model, true),
            Order::UnloadModel(model) => self.place(model, false),
        }
    }

    fn place(&mut self, model: &Model, loaded: bool) {
        self.models.retain(|placed| !placed.model.same_slot(model));
        if self.models.len() == MAX_MODELS_PER_UPSTREAM {
            self.models.remove(0);
        }
        self.models.push(SettledModel {
            model: model.clone(),
            loaded,
        });
    }
}
