//! A simulated engine with the interface of `docs/PLATFORM.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use authority::change::SendResult;
use authority::engine::{LastOrder, Progress, Reading};
use authority::order::{Order, Role};
use authority::{Fence, OrderId};
use clock::Moment;
use smallvec::SmallVec;

use crate::Name;

/// Time from the start of an order to its end.
const ORDER_DURATION: Duration = Duration::from_secs(3);

/// The simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) reading: Reading,
    /// Open streams by entry.
    pub(crate) streams: BTreeMap<Name, u32>,
    cancelled: BTreeSet<OrderId>,
    action: Option<Order>,
    ends_at: Option<Moment>,
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
            streams: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            action: None,
            ends_at: None,
        }
    }

    pub(crate) fn read(&self) -> Reading {
        let mut reading = self.reading.clone();
        reading.open_streams = self.streams.values().sum();
        reading
    }

    /// The order that is in progress, if any.
    pub(crate) fn running(&self) -> Option<OrderId> {
        let last_order = self.reading.last_order;
        last_order
            .filter(|last| last.progress == Progress::Running)
            .map(|last| last.order)
    }

    /// Receives an order. The second value tells whether the engine began it.
    pub(crate) fn take_order(
        &mut self,
        now: Moment,
        order: OrderId,
        fence: Fence,
        action: &Order,
    ) -> (SendResult, bool) {
        let known = self.reading.progress(order).is_some() || self.cancelled.contains(&order);
        if known {
            return (SendResult::Accepted, false);
        }
        if let Some(refused) = self.check_fence(fence) {
            return (refused, false);
        }
        if let Some(order) = self.running() {
            return (SendResult::Busy { order }, false);
        }
        let progress = Progress::Running;
        self.reading.last_order = Some(LastOrder { order, progress });
        self.action = Some(action.clone());
        self.ends_at = Some(now + ORDER_DURATION);
        (SendResult::Accepted, true)
    }

    pub(crate) fn cancel(&mut self, order: OrderId, fence: Fence) -> SendResult {
        if let Some(refused) = self.check_fence(fence) {
            return refused;
        }
        if self.reading.progress(order).is_none() {
            self.cancelled.insert(order);
        }
        SendResult::Accepted
    }

    /// Completes the running order if it is due.
    pub(crate) fn advance(&mut self, now: Moment) {
        if self.ends_at.is_none_or(|ends| now < ends) {
            return;
        }
        self.ends_at = None;
        if let Some(last) = &mut self.reading.last_order {
            last.progress = Progress::Done;
        }
        match self.action.take() {
            Some(Order::SetRole(role)) => self.reading.role = role,
            Some(Order::LoadModel(model)) => self.reading.models.push(model),
            Some(Order::UnloadModel(model)) => self.reading.models.retain(|held| *held != model),
            None => {}
        }
    }

    /// Restarts the engine; only its settings are kept.
    pub(crate) fn restart(&mut self) {
        let incarnation = self.reading.incarnation + 1;
        *self = Self::new(self.reading.checks_fence);
        self.reading.incarnation = incarnation;
    }

    fn check_fence(&mut self, fence: Fence) -> Option<SendResult> {
        let newest = self.reading.fence;
        if self.reading.checks_fence && fence < newest {
            return Some(SendResult::Superseded { fence: newest });
        }
        self.reading.fence = newest.max(fence);
        None
    }
}
