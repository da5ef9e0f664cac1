//! What an instance knows of claims, its own and those of others, and of what was ordered under them. Whoever claims next goes on from
//! there.

use std::cell::{Cell, RefCell, RefMut};

use adapter::orders::Numbers;
use clock::Moment;
use serving::turn::Fence;
use wire::gateway;

use crate::sizes::Sizes;

/// Claims and orders, as far as they are known.
#[derive(Default)]
pub(crate) struct Book {
    /// The last claim that this instance made.
    own: Cell<Option<Fence>>,
    /// The last claim that this instance heard of.
    heard: Cell<Option<Fence>>,
    sizes: RefCell<Sizes>,
}

impl Book {
    /// Takes in that this instance has claimed.
    pub(crate) fn claimed(&self, fence: Fence) {
        self.own.set(Some(fence));
    }

    /// Takes in a claim of which another instance told, 0 if it made none, and what it ordered.
    pub(crate) fn hear(&self, fence: Fence, numbers: &[gateway::Numbers], now: Moment) {
        let known = self.heard.get().max(self.own.get());
        if fence == 0 || known.is_some_and(|known| fence < known) {
            return;
        }
        self.heard.set(Some(fence));
        let numbers: Vec<Numbers> = numbers.iter().map(heard).collect();
        self.sizes.borrow_mut().adopt(&numbers, now);
    }

    /// The last claim of another instance that this one heard of.
    pub(crate) fn heard(&self) -> Option<Fence> {
        self.heard.get()
    }

    /// This instance's last claim, 0 if it made none, and the numbers of engines that it ordered, if nobody has claimed since.
    pub(crate) fn told(&self) -> (Fence, Vec<gateway::Numbers>) {
        let Some(own) = self.own.get() else {
            return (0, Vec::new());
        };
        if self.heard.get().is_some_and(|heard| heard > own) {
            return (own, Vec::new());
        }
        let numbers = self.sizes.borrow().numbers();
        (own, numbers.into_iter().map(told).collect())
    }

    /// How many engines there should be.
    pub(crate) fn sizes(&self) -> RefMut<'_, Sizes> {
        self.sizes.borrow_mut()
    }
}

fn told(numbers: Numbers) -> gateway::Numbers {
    gateway::Numbers {
        service: numbers.service,
        zone: numbers.zone,
        found: numbers.found,
        firm: numbers.firm,
        reclaimable: numbers.reclaimable,
    }
}

fn heard(told: &gateway::Numbers) -> Numbers {
    Numbers {
        service: told.service.clone(),
        zone: told.zone.clone(),
        found: told.found,
        firm: told.firm,
        reclaimable: told.reclaimable,
    }
}
