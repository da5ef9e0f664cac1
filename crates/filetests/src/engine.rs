//! A model engine that keeps the interface of `docs/PLATFORM.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use authority::change::SendResult;
use authority::engine::{LastOrder, Progress, Reading};
use authority::order::{Order, Role};
use authority::{Fence, OrderId};
use clock::Moment;
use smallvec::SmallVec;

use crate::Name;

/// How long an order takes.
const TAKES: Duration = Duration::from_secs(3);

/// The engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) reading: Reading,
    /// Streams that are open, by entry.
    pub(crate) streams: BTreeMap<Name, u32>,
    barred: BTreeSet<OrderId>,
    what: Option<Order>,
    ends: Option<Moment>,
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
            barred: BTreeSet::new(),
            what: None,
            ends: None,
        }
    }

    pub(crate) fn read(&self) -> Reading {
        let mut reading = self.reading.clone();
        reading.open_streams = self.streams.values().sum();
        reading
    }

    /// The order that is being carried out.
    pub(crate) fn running(&self) -> Option<OrderId> {
        let taken = self.reading.last_order;
        taken
            .filter(|taken| taken.progress == Progress::Running)
            .map(|taken| taken.order)
    }

    /// Takes an order. The second value says whether it began to act.
    pub(crate) fn order(
        &mut self,
        now: Moment,
        order: OrderId,
        fence: Fence,
        what: &Order,
    ) -> (SendResult, bool) {
        let same = self.reading.progress(order).is_some() || self.barred.contains(&order);
        if same {
            return (SendResult::Accepted, false);
        }
        if let Some(refused) = self.refuses(fence) {
            return (refused, false);
        }
        if let Some(order) = self.running() {
            return (SendResult::Busy { order }, false);
        }
        let progress = Progress::Running;
        self.reading.last_order = Some(LastOrder { order, progress });
        self.what = Some(what.clone());
        self.ends = Some(now + TAKES);
        (SendResult::Accepted, true)
    }

    pub(crate) fn cancel(&mut self, order: OrderId, fence: Fence) -> SendResult {
        if let Some(refused) = self.refuses(fence) {
            return refused;
        }
        if self.reading.progress(order).is_none() {
            self.barred.insert(order);
        }
        SendResult::Accepted
    }

    /// Ends the order if its time has come.
    pub(crate) fn pass(&mut self, now: Moment) {
        if self.ends.is_none_or(|ends| now < ends) {
            return;
        }
        self.ends = None;
        if let Some(taken) = &mut self.reading.last_order {
            taken.progress = Progress::Done;
        }
        match self.what.take() {
            Some(Order::SetRole(role)) => self.reading.role = role,
            Some(Order::LoadModel(model)) => self.reading.models.push(model),
            Some(Order::UnloadModel(model)) => self.reading.models.retain(|held| *held != model),
            None => {}
        }
    }

    /// A new start: only what its settings say is left.
    pub(crate) fn restart(&mut self) {
        let incarnation = self.reading.incarnation + 1;
        *self = Self::new(self.reading.checks_fence);
        self.reading.incarnation = incarnation;
    }

    fn refuses(&mut self, fence: Fence) -> Option<SendResult> {
        let newest = self.reading.fence;
        if self.reading.checks_fence && fence < newest {
            return Some(SendResult::Superseded { fence: newest });
        }
        self.reading.fence = newest.max(fence);
        None
    }
}
