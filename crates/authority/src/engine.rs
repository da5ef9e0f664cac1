//! The state of an engine as reported by the engine. A reading is current when the engine takes it,
//! but its answer may arrive late; callers use it only as the answer to their newest request.

use crate::order::{Model, Order, Role};
use crate::settled::Settled;
use crate::{Fence, OrderId};
use smallvec::SmallVec;

/// Progress of the order that an engine accepted last.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Progress {
    /// The engine is executing the order.
    Running,
    /// The engine has executed the order.
    Done,
    /// The engine could not execute the order.
    Failed,
}

/// The order that an engine accepted last.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LastOrder {
    /// Id of the order.
    pub order: OrderId,
    /// Its progress.
    pub progress: Progress,
}

/// The state of an engine at some moment between the request and its answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Reading {
    /// Identifies the run of the engine; changes with each start.
    pub incarnation: u64,
    /// Current role.
    pub role: Role,
    /// Loaded models.
    pub models: SmallVec<[Model; 2]>,
    /// The order accepted last since the start.
    pub last_order: Option<LastOrder>,
    /// The greatest fencing token seen since the start; 0 for none.
    pub fence: Fence,
    /// Whether the engine rejects smaller fencing tokens.
    pub checks_fence: bool,
    /// Number of open streams.
    pub open_streams: u32,
}

impl Reading {
    /// Progress of `order`. `None` if the engine accepted another order last, or none.
    pub fn progress(&self, order: OrderId) -> Option<Progress> {
        let last = self.last_order.filter(|last| last.order == order)?;
        Some(last.progress)
    }

    /// Whether the engine is executing any order.
    pub fn is_running(&self) -> bool {
        let progress = self.last_order.map(|last| last.progress);
        progress == Some(Progress::Running)
    }

    /// Whether the engine is in the state that `order` asks for.
    pub fn satisfies(&self, order: &Order) -> bool {
        match order {
            Order::SetRole(role) => self.role == *role,
            Order::LoadModel(model) => self.models.contains(model),
            Order::UnloadModel(model) => !self.models.contains(model),
        }
    }

    /// Returns the orders that bring the engine back to its settled state; empty if it matches.
    pub fn repairs(&self, settled: &Settled) -> SmallVec<[Order; 1]> {
        let role = settled.role.map(Order::SetRole);
        let models = settled.models.iter().map(|settled| {
            let model = settled.model.clone();
            if settled.loaded {
                Order::LoadModel(model)
            } else {
                Order::UnloadModel(model)
            }
        });
        let orders = role.into_iter().chain(models);
        orders.filter(|order| !self.satisfies(order)).collect()
    }
}
