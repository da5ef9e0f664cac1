//! The settled state of an upstream: the state that its concluded orders established. An engine
//! whose reading differs has restarted, or an order took effect late.

use crate::order::{Model, Order, Role, Verdict};
use crate::{OrderId, ScopeId};
use smallvec::SmallVec;

/// Limit on the models kept for one upstream. The model settled longest ago is dropped first.
pub const MAX_MODELS_PER_UPSTREAM: usize = 16;

/// A model that an order loaded or unloaded.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SettledModel {
    /// The model.
    pub model: Model,
    /// True if the order loaded it, false if the order unloaded it.
    pub loaded: bool,
}

/// The settled state of one upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settled {
    /// The scope whose holder concluded the newest order.
    pub scope: ScopeId,
    /// Id of the newest concluded order, whatever its verdict.
    pub order: OrderId,
    /// The role, if an order has set one.
    pub role: Option<Role>,
    /// The models that orders have loaded or unloaded, newest last.
    pub models: SmallVec<[SettledModel; 1]>,
}

impl Settled {
    /// Creates the state of an upstream without concluded orders.
    pub fn new(scope: ScopeId) -> Self {
        Self {
            scope,
            order: 0,
            role: None,
            models: SmallVec::new(),
        }
    }

    /// Applies the verdict of an order.
    pub fn conclude(&mut self, scope: &ScopeId, id: OrderId, order: &Order, verdict: Verdict) {
        self.scope.clone_from(scope);
        self.order = id;
        match verdict {
            Verdict::Done => self.apply_order(order),
            Verdict::Undone => (),
            // An upstream that returns under the same id is a new process with unknown state.
            Verdict::Gone => {
                self.role = None;
                self.models.clear();
            }
        }
    }

    fn apply_order(&mut self, order: &Order) {
        match order {
            Order::SetRole(role) => self.role = Some(*role),
            Order::LoadModel(model) => self.set_model(model, true),
            Order::UnloadModel(model) => self.set_model(model, false),
        }
    }

    fn set_model(&mut self, model: &Model, loaded: bool) {
        self.models
            .retain(|settled| !settled.model.same_slot(model));
        if self.models.len() == MAX_MODELS_PER_UPSTREAM {
            self.models.remove(0);
        }
        self.models.push(SettledModel {
            model: model.clone(),
            loaded,
        });
    }
}
