//! The engine of the model: the interface of `docs/PLATFORM.md` at its weakest. It remembers one
//! order, the cancellations and the greatest token, and all of them only until it restarts.

use authority::change::SendResult;
use authority::engine::{LastOrder, Progress, Reading};
use authority::order::{Order, Role};
use authority::{Fence, OrderId};
use smallvec::SmallVec;

/// What the engine does with an order or a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Reaction {
    pub(super) receipt: SendResult,
    /// The order began to act now.
    pub(super) began: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Engine {
    pub(super) checks_fence: bool,
    pub(super) role: Role,
    pub(super) taken: Option<LastOrder>,
    pub(super) open: u32,
    forgets: bool,
    incarnation: u64,
    fence: Fence,
    barred: SmallVec<[OrderId; 2]>,
    aim: Role,
}

impl Engine {
    pub(super) fn new(checks_fence: bool, forgets: bool) -> Self {
        Self {
            checks_fence,
            role: Role::Mixed,
            taken: None,
            open: 0,
            forgets,
            incarnation: 1,
            fence: 0,
            barred: SmallVec::new(),
            aim: Role::Mixed,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.taken
            .is_some_and(|taken| taken.progress == Progress::Running)
    }

    pub(super) fn reading(&self) -> Reading {
        Reading {
            incarnation: self.incarnation,
            role: self.role,
            models: SmallVec::new(),
            last_order: self.taken,
            fence: self.fence,
            checks_fence: self.checks_fence,
            open_streams: self.open,
        }
    }

    /// An order or, without `what`, its cancellation arrives.
    pub(super) fn take(&mut self, order: OrderId, fence: Fence, what: Option<&Order>) -> Reaction {
        let known = self.taken.is_some_and(|taken| taken.order == order);
        if known || self.barred.contains(&order) {
            return silent(SendResult::Accepted);
        }
        if self.checks_fence && fence < self.fence {
            return silent(SendResult::Superseded { fence: self.fence });
        }
        let Some(what) = what else {
            self.fence = self.fence.max(fence);
            if !self.forgets {
                self.barred.push(order);
            }
            return silent(SendResult::Accepted);
        };
        if let Some(running) = self.taken.filter(|_| self.is_running()) {
            return silent(SendResult::Busy {
                order: running.order,
            });
        }
        self.fence = self.fence.max(fence);
        if let Order::SetRole(role) = what {
            self.aim = *role;
        }
        let progress = Progress::Running;
        self.taken = Some(LastOrder { order, progress });
        Reaction {
            receipt: SendResult::Accepted,
            began: true,
        }
    }

    pub(super) fn end(&mut self) {
        if let Some(taken) = &mut self.taken {
            taken.progress = Progress::Done;
            self.role = self.aim;
        }
    }

    pub(super) fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self::new(self.checks_fence, self.forgets);
        self.incarnation = incarnation;
    }
}

fn silent(receipt: SendResult) -> Reaction {
    Reaction {
        receipt,
        began: false,
    }
}
