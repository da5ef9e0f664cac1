//! Claims that this instance made or learned of, and the target sizes ordered under the latest one.
//! The next claimant starts from them.

use std::cell::{Cell, RefCell, RefMut};

use adapter::orders::EngineCounts;
use clock::Moment;
use serving::claim::Fence;
use wire::gateway;

use crate::pool_sizes::PoolSizes;

/// Claims and the sizes ordered under them, as far as this instance knows.
#[derive(Default)]
pub(crate) struct ClaimLog {
    /// The latest claim of this instance.
    own: Cell<Option<Fence>>,
    /// The latest claim announced by a peer.
    announced: Cell<Option<Fence>>,
    sizes: RefCell<PoolSizes>,
}

impl ClaimLog {
    /// Records a claim of this instance.
    pub(crate) fn record(&self, fence: Fence) {
        self.own.set(Some(fence));
    }

    /// Merges the claim that a peer announces, 0 if it made none, and the sizes that it ordered.
    pub(crate) fn merge(&self, fence: Fence, numbers: &[gateway::Numbers], now: Moment) {
        let known = self.announced.get().max(self.own.get());
        if fence == 0 || known.is_some_and(|known| fence < known) {
            return;
        }
        self.announced.set(Some(fence));
        let numbers: Vec<EngineCounts> = numbers.iter().map(decode).collect();
        self.sizes.borrow_mut().adopt(&numbers, now);
    }

    /// The latest claim announced by a peer.
    pub(crate) fn announced(&self) -> Option<Fence> {
        self.announced.get()
    }

    /// The latest claim of this instance, 0 if it made none, and the sizes that it ordered unless a
    /// later claim is known.
    pub(crate) fn snapshot(&self) -> (Fence, Vec<gateway::Numbers>) {
        let Some(own) = self.own.get() else {
            return (0, Vec::new());
        };
        if self
            .announced
            .get()
            .is_some_and(|announced| announced > own)
        {
            return (own, Vec::new());
        }
        // Peers do not need the measured need, so the time does not matter.
        let numbers = self.sizes.borrow().last_ordered_counts(Moment::ZERO);
        (own, numbers.into_iter().map(encode).collect())
    }

    /// Target sizes of the services.
    pub(crate) fn target_sizes(&self) -> RefMut<'_, PoolSizes> {
        self.sizes.borrow_mut()
    }
}

fn encode(numbers: EngineCounts) -> gateway::Numbers {
    gateway::Numbers {
        service: numbers.service,
        zone: numbers.zone,
        found: numbers.found,
        firm: numbers.firm,
        reclaimable: numbers.reclaimable,
        planned: numbers.planned,
    }
}

fn decode(numbers: &gateway::Numbers) -> EngineCounts {
    EngineCounts {
        service: numbers.service.clone(),
        zone: numbers.zone.clone(),
        found: numbers.found,
        firm: numbers.firm,
        reclaimable: numbers.reclaimable,
        planned: numbers.planned,
        needed: None,
    }
}
