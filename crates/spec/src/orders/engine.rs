//! The engine of the model, with the weakest guarantees that `docs/PLATFORM.md` allows. It stores
//! the last order, the cancellations and the greatest token, and loses them when it restarts.

use authority::change::SendResult;
use authority::engine::{LastOrder, Progress, Reading};
use authority::order::{Order, Role};
use authority::{Fence, OrderId};
use smallvec::SmallVec;

/// How the engine responds to an order or a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Response {
    pub(super) result: SendResult,
    /// Whether this message made the engine begin an order.
    pub(super) began: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Engine {
    pub(super) checks_fence: bool,
    pub(super) role: Role,
    pub(super) last_order: Option<LastOrder>,
    pub(super) open_streams: u32,
    forgets_cancellations: bool,
    incarnation: u64,
    fence: Fence,
    cancelled: SmallVec<[OrderId; 2]>,
    target_role: Role,
}

impl Engine {
    pub(super) fn new(checks_fence: bool, forgets_cancellations: bool) -> Self {
        Self {
            checks_fence,
            role: Role::Mixed,
            last_order: None,
            open_streams: 0,
            forgets_cancellations,
            incarnation: 1,
            fence: 0,
            cancelled: SmallVec::new(),
            target_role: Role::Mixed,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.last_order
            .is_some_and(|last| last.progress == Progress::Running)
    }

    pub(super) fn reading(&self) -> Reading {
        Reading {
            incarnation: self.incarnation,
            role: self.role,
            models: SmallVec::new(),
            last_order: self.last_order,
            fence: self.fence,
            checks_fence: self.checks_fence,
            open_streams: self.open_streams,
        }
    }

    /// Receives an order or, without `action`, its cancellation.
    pub(super) fn receive(
        &mut self,
        order: OrderId,
        fence: Fence,
        action: Option<&Order>,
    ) -> Response {
        let known = self.last_order.is_some_and(|last| last.order == order);
        if known || self.cancelled.contains(&order) {
            return without_effect(SendResult::Accepted);
        }
        if self.checks_fence && fence < self.fence {
            return without_effect(SendResult::Superseded { fence: self.fence });
        }
        let Some(action) = action else {
            self.fence = self.fence.max(fence);
            if !self.forgets_cancellations {
                self.cancelled.push(order);
            }
            return without_effect(SendResult::Accepted);
        };
        if let Some(running) = self.last_order.filter(|_| self.is_running()) {
            return without_effect(SendResult::Busy {
                order: running.order,
            });
        }
        self.fence = self.fence.max(fence);
        if let Order::SetRole(role) = action {
            self.target_role = *role;
        }
        let progress = Progress::Running;
        self.last_order = Some(LastOrder { order, progress });
        Response {
            result: SendResult::Accepted,
            began: true,
        }
    }

    pub(super) fn finish_order(&mut self) {
        if let Some(last) = &mut self.last_order {
            last.progress = Progress::Done;
            self.role = self.target_role;
        }
    }

    pub(super) fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self::new(self.checks_fence, self.forgets_cancellations);
        self.incarnation = incarnation;
    }
}

fn without_effect(result: SendResult) -> Response {
    Response {
        result,
        began: false,
    }
}
