//! The orders of an engine as pure state: the fencing token, one order at a time, repeats that
//! have no second effect, and orders cancelled before they came.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::batch::Role;

/// Name of an order: the offset of its intent in the log.
pub type OrderId = u64;

/// Fencing token of who gives an order.
pub type FencingToken = u64;

/// Orders that are remembered for repeats.
const KEPT: usize = 1024;

/// A model as an engine runs it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Model {
    /// Its name.
    pub model: String,
    /// Its version.
    #[serde(default)]
    pub version: String,
    /// Its adapter; empty for none.
    #[serde(default)]
    pub adapter: String,
}

/// What is ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// Take another role.
    SetRole {
        /// The role.
        role: Role,
    },
    /// Load a model.
    LoadModel(Model),
    /// Unload a model.
    UnloadModel(Model),
}

/// An order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Its name.
    pub order: OrderId,
    /// The token of who gives it.
    pub fence: FencingToken,
    /// What is ordered.
    #[serde(flatten)]
    pub kind: Kind,
}

/// How far an order is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The engine acts on it.
    Running,
    /// It was carried out.
    Done,
    /// It was given up; the engine is as it was before.
    Failed,
    /// It was cancelled before it came, and will not act.
    Cancelled,
}

/// An order that the engine knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct OrderStatus {
    /// Its name.
    pub order: OrderId,
    /// The token that it came with.
    pub fence: FencingToken,
    /// How far it is.
    pub state: State,
}

/// What the engine says to an order or to its cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It begins now.
    Begin,
    /// It is known already.
    Known(State),
    /// It comes from a holder that was replaced; the newest token is told.
    OldFence(FencingToken),
    /// Another order runs.
    Busy(OrderId),
}

/// The orders of an engine.
#[derive(Clone, Debug)]
pub struct OrderTable {
    checks_fence: bool,
    fence: FencingToken,
    orders: BTreeMap<OrderId, OrderStatus>,
    last: Option<OrderId>,
    refused: u64,
    judged: u64,
}

impl OrderTable {
    /// No orders yet. `checks_fence` says whether an old token is refused.
    pub fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            fence: 0,
            orders: BTreeMap::new(),
            last: None,
            refused: 0,
            judged: 0,
        }
    }

    /// The newest token seen.
    pub fn fence(&self) -> FencingToken {
        self.fence
    }

    /// Whether an old token is refused.
    pub fn checks_fence(&self) -> bool {
        self.checks_fence
    }

    /// The order that began last.
    pub fn last(&self) -> Option<OrderStatus> {
        self.orders.get(&self.last?).copied()
    }

    /// The orders that began, by name.
    pub fn begun(&self) -> impl Iterator<Item = &OrderStatus> {
        let orders = self.orders.values();
        orders.filter(|known| known.state != State::Cancelled)
    }

    /// How many orders and cancellations were refused for an old token.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// How many orders came, whatever became of them.
    pub fn submitted(&self) -> u64 {
        self.judged
    }

    /// The order that runs.
    pub fn running(&self) -> Option<OrderStatus> {
        self.last().filter(|known| known.state == State::Running)
    }

    /// Judges an order, and begins it if nothing speaks against it.
    pub fn submit(&mut self, order: OrderId, fence: FencingToken) -> Decision {
        self.judged += 1;
        if let Some(known) = self.orders.get(&order) {
            return Decision::Known(known.state);
        }
        if let Some(verdict) = self.refuse(fence) {
            return verdict;
        }
        if let Some(running) = self.running() {
            return Decision::Busy(running.order);
        }
        self.record(order, fence, State::Running);
        self.last = Some(order);
        Decision::Begin
    }

    /// Keeps an order from acting, unless it has begun; says how far it is.
    pub fn cancel(&mut self, order: OrderId, fence: FencingToken) -> Decision {
        if let Some(verdict) = self.refuse(fence) {
            return verdict;
        }
        if let Some(known) = self.orders.get(&order) {
            return Decision::Known(known.state);
        }
        self.record(order, fence, State::Cancelled);
        Decision::Known(State::Cancelled)
    }

    /// Ends the order that runs.
    pub fn finish(&mut self, order: OrderId, state: State) {
        if let Some(known) = self.orders.get_mut(&order) {
            known.state = state;
        }
    }

    fn refuse(&mut self, fence: FencingToken) -> Option<Decision> {
        if self.checks_fence && fence < self.fence {
            self.refused += 1;
            return Some(Decision::OldFence(self.fence));
        }
        self.fence = self.fence.max(fence);
        None
    }

    fn record(&mut self, order: OrderId, fence: FencingToken, state: State) {
        let known = OrderStatus {
            order,
            fence,
            state,
        };
        self.orders.insert(order, known);
        if self.orders.len() > KEPT {
            self.orders.pop_first();
        }
    }
}
