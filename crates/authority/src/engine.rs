//! An engine as it was read back. A reading is never stale at the engine, but an answer may be
//! late; one counts only for the question that was asked last.

use crate::order::{Model, Order, Role};
use crate::settled::Settled;
use crate::{Fence, OrderId};
use smallvec::SmallVec;

/// How far the engine is with the order that it took last.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Progress {
    /// It is carrying it out.
    Running,
    /// It has carried it out.
    Done,
    /// It could not.
    Failed,
}

/// The order that an engine took last.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LastOrder {
    /// The order.
    pub order: OrderId,
    /// How far the engine is with it.
    pub progress: Progress,
}

/// The state of an engine at some moment between the question and the answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Reading {
    /// Changes with each start of the engine.
    pub incarnation: u64,
    /// Its role.
    pub role: Role,
    /// The models that it has loaded.
    pub models: SmallVec<[Model; 2]>,
    /// The order that it took last since its start.
    pub last_order: Option<LastOrder>,
    /// The greatest fencing token that it has seen since its start; 0 for none.
    pub fence: Fence,
    /// Whether it refuses smaller tokens.
    pub checks_fence: bool,
    /// Streams that it has open.
    pub open_streams: u32,
}

impl Reading {
    /// How far the engine is with `order`; `None` if it took another one last, or none.
    pub fn progress(&self, order: OrderId) -> Option<Progress> {
        let taken = self.last_order.filter(|taken| taken.order == order)?;
        Some(taken.progress)
    }

    /// Whether the engine is carrying out any order.
    pub fn is_running(&self) -> bool {
        let progress = self.last_order.map(|taken| taken.progress);
        progress == Some(Progress::Running)
    }

    /// Whether the engine is as `order` asks.
    pub fn satisfies(&self, order: &Order) -> bool {
        match order {
            Order::SetRole(role) => self.role == *role,
            Order::LoadModel(model) => self.models.contains(model),
            Order::UnloadModel(model) => !self.models.contains(model),
        }
    }

    /// The orders that would bring the engine back to what the concluded orders settled; empty if
    /// it is so.
    pub fn repairs(&self, settled: &Settled) -> SmallVec<[Order; 1]> {
        let role = settled.role.map(Order::SetRole);
        let models = settled.models.iter().map(|placed| {
            let model = placed.model.clone();
            if placed.loaded {
                Order::LoadModel(model)
            } else {
                Order::UnloadModel(model)
            }
        });
        let wanted = role.into_iter().chain(models);
        wanted.filter(|order| !self.satisfies(order)).collect()
    }
}
