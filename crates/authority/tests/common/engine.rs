//! A simulated engine with the interface of `docs/PLATFORM.md`.

use authority::change::SendResult;
use authority::engine::{LastOrder, Progress, Reading};
use authority::order::{Order, Role};
use authority::{Fence, OrderId};
use smallvec::SmallVec;
use std::collections::BTreeSet;

pub(crate) struct Engine {
    pub(crate) reading: Reading,
    pub(crate) cancelled: BTreeSet<OrderId>,
    action: Option<Order>,
}

impl Engine {
    pub(crate) fn new(checks_fence: bool) -> Self {
        let reading = Reading {
            incarnation: 1,
            role: Role::Mixed,
            models: SmallVec::new(),
            last_order: None,
            fence: 0,
            checks_fence,
            open_streams: 0,
        };
        Self {
            reading,
            cancelled: BTreeSet::new(),
            action: None,
        }
    }

    fn check_token(&mut self, fence: Fence) -> Option<SendResult> {
        let newest = self.reading.fence;
        if self.reading.checks_fence && fence < newest {
            return Some(SendResult::Superseded { fence: newest });
        }
        self.reading.fence = newest.max(fence);
        None
    }

    pub(crate) fn order(&mut self, order: OrderId, fence: Fence, action: &Order) -> SendResult {
        let known = self.reading.progress(order).is_some() || self.cancelled.contains(&order);
        if known {
            return SendResult::Accepted;
        }
        if let Some(refusal) = self.check_token(fence) {
            return refusal;
        }
        if self.reading.is_running() {
            let running = self.reading.last_order.map_or(0, |last| last.order);
            return SendResult::Busy { order: running };
        }
        let progress = Progress::Running;
        self.reading.last_order = Some(LastOrder { order, progress });
        self.action = Some(action.clone());
        SendResult::Accepted
    }

    pub(crate) fn cancel(&mut self, order: OrderId, fence: Fence) -> SendResult {
        if let Some(refusal) = self.check_token(fence) {
            return refusal;
        }
        if self.reading.progress(order).is_none() {
            self.cancelled.insert(order);
        }
        SendResult::Accepted
    }

    /// Ends the running order.
    pub(crate) fn finish(&mut self, progress: Progress) {
        if let Some(last) = &mut self.reading.last_order {
            last.progress = progress;
        }
        if progress == Progress::Done
            && let Some(Order::SetRole(role)) = &self.action
        {
            self.reading.role = *role;
        }
        if progress == Progress::Done
            && let Some(Order::LoadModel(model)) = &self.action
        {
            self.reading.models.push(model.clone());
        }
    }

    /// Restarts the engine, which loses all state except its settings.
    pub(crate) fn restart(&mut self) {
        let incarnation = self.reading.incarnation + 1;
        *self = Self::new(self.reading.checks_fence);
        self.reading.incarnation = incarnation;
    }
}
