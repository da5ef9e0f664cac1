//! The orders of an engine, without I/O: checks fencing tokens, runs one order at a time, ignores
//! repeats and records cancellations of orders that have not arrived yet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::batch::Role;

/// Id of an order: the offset of its intent in the log.
pub type OrderId = u64;

/// Fencing token of the sender of an order.
pub type FencingToken = u64;

/// Maximum number of orders kept to recognise repeats.
const MAX_ORDERS: usize = 1024;

/// A model, as loaded by an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Model {
    /// Name.
    pub model: String,
    /// Version.
    #[serde(default)]
    pub version: String,
    /// Adapter; empty for none.
    #[serde(default)]
    pub adapter: String,
}

/// Action of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// Change the role.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Load a model.
    LoadModel(Model),
    /// Unload a model.
    UnloadModel(Model),
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Order id.
    pub order: OrderId,
    /// Fencing token of the sender.
    pub fence: FencingToken,
    /// The action.
    #[serde(flatten)]
    pub kind: Kind,
}

/// State of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In progress.
    Running,
    /// Completed.
    Done,
    /// Failed; the engine is unchanged.
    Failed,
    /// Cancelled before it arrived; it will not run.
    Cancelled,
}

/// An order known to the engine, with its state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct OrderStatus {
    /// Order id.
    pub order: OrderId,
    /// Fencing token of the order.
    pub fence: FencingToken,
    /// State.
    pub state: State,
}

/// Result of submitting or cancelling an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The order begins now.
    Begin,
    /// The order is already known.
    Known(State),
    /// The fencing token is outdated; carries the newest token seen.
    OldFence(FencingToken),
    /// The given other order is running.
    Busy(OrderId),
}

/// The orders known to an engine.
#[derive(Clone, Debug)]
pub struct OrderTable {
    checks_fence: bool,
    fence: FencingToken,
    orders: BTreeMap<OrderId, OrderStatus>,
    last: Option<OrderId>,
    rejected: u64,
    submitted: u64,
}

impl OrderTable {
    /// Creates an empty table. `checks_fence` sets whether outdated tokens are rejected.
    pub fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            fence: 0,
            orders: BTreeMap::new(),
            last: None,
            rejected: 0,
            submitted: 0,
        }
    }

    /// Returns the newest fencing token seen.
    pub fn fence(&self) -> FencingToken {
        self.fence
    }

    /// Returns whether outdated tokens are rejected.
    pub fn checks_fence(&self) -> bool {
        self.checks_fence
    }

    /// Returns the order that began last.
    pub fn last(&self) -> Option<OrderStatus> {
        self.orders.get(&self.last?).copied()
    }

    /// Returns the orders that began, sorted by id.
    pub fn begun(&self) -> impl Iterator<Item = &OrderStatus> {
        let orders = self.orders.values();
        orders.filter(|status| status.state != State::Cancelled)
    }

    /// Returns the number of orders and cancellations rejected for an outdated token.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the number of orders submitted, whatever their result.
    pub fn submitted(&self) -> u64 {
        self.submitted
    }

    /// Returns the running order.
    pub fn running(&self) -> Option<OrderStatus> {
        self.last().filter(|status| status.state == State::Running)
    }

    /// Submits an order, which begins unless it is a repeat, outdated or another one is running.
    pub fn submit(&mut self, order: OrderId, fence: FencingToken) -> Decision {
        self.submitted += 1;
        if let Some(status) = self.orders.get(&order) {
            return Decision::Known(status.state);
        }
        if let Some(decision) = self.check_fence(fence) {
            return decision;
        }
        if let Some(running) = self.running() {
            return Decision::Busy(running.order);
        }
        self.record(order, fence, State::Running);
        self.last = Some(order);
        Decision::Begin
    }

    /// Cancels an order, unless it has begun, and returns its state.
    pub fn cancel(&mut self, order: OrderId, fence: FencingToken) -> Decision {
        if let Some(decision) = self.check_fence(fence) {
            return decision;
        }
        if let Some(status) = self.orders.get(&order) {
            return Decision::Known(status.state);
        }
        self.record(order, fence, State::Cancelled);
        Decision::Known(State::Cancelled)
    }

    /// Sets the final state of an order.
    pub fn finish(&mut self, order: OrderId, state: State) {
        if let Some(status) = self.orders.get_mut(&order) {
            status.state = state;
        }
    }

    fn check_fence(&mut self, fence: FencingToken) -> Option<Decision> {
        if self.checks_fence && fence < self.fence {
            self.rejected += 1;
            return Some(Decision::OldFence(self.fence));
        }
        self.fence = self.fence.max(fence);
        None
    }

    fn record(&mut self, order: OrderId, fence: FencingToken, state: State) {
        let status = OrderStatus {
            order,
            fence,
            state,
        };
        self.orders.insert(order, status);
        if self.orders.len() > MAX_ORDERS {
            self.orders.pop_first();
        }
    }
}
