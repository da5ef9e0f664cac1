//! How many engines each service has, as `serving::scaling` plans it. Who orders is decided in [`crate::duties`].

use std::collections::BTreeMap;

use adapter::duties::{Answer, Size};
use adapter::orders::Numbers;
use clock::Moment;
use serving::ServiceName;
use serving::scaling::{Booked, Order, Planner};

use crate::instance::Instance;

/// Plans of all services.
#[derive(Default)]
pub(crate) struct Sizes {
    planners: BTreeMap<ServiceName, Planner>,
}

impl Sizes {
    /// What should be ordered now.
    pub(crate) fn plan(&mut self, instance: &Instance, now: Moment) -> Vec<Size> {
        let scales = instance.settings.borrow().duties.is_some_and(|d| d.scales);
        let Some(table) = instance.table().filter(|_| scales) else {
            return Vec::new();
        };
        let fleet = instance.fleet.borrow();
        let mut sizes = Vec::new();
        for (service, range) in table.ranges() {
            let planner = self.planners.entry(service.clone()).or_default();
            let orders = planner.plan(&fleet, service, range, now);
            sizes.extend(orders.into_iter().map(|order| Size {
                service: service.clone(),
                zone: order.zone,
                engines: order.engines,
                reclaimable: order.reclaimable,
            }));
        }
        sizes
    }

    /// Whether nothing was ordered here or heard of.
    pub(crate) fn is_empty(&self) -> bool {
        let is_none = |numbers: &Numbers| numbers.firm.or(numbers.reclaimable).is_none();
        self.numbers().iter().all(is_none)
    }

    /// What was ordered last, and what the deployment started with.
    pub(crate) fn numbers(&self) -> Vec<Numbers> {
        let planners = self.planners.iter();
        let numbers = planners.flat_map(|(service, planner)| {
            let book = planner.book().into_iter();
            book.map(|booked| Numbers::of(service, &booked))
        });
        numbers.collect()
    }

    /// Takes in what was ordered by others.
    pub(crate) fn adopt(&mut self, numbers: &[Numbers], now: Moment) {
        for some in numbers.chunk_by(|one, next| one.service == next.service) {
            let Some(first) = some.first() else { continue };
            let service = ServiceName::from(first.service.as_str());
            let planner = self.planners.entry(service).or_default();
            let book: Vec<Booked> = some.iter().map(Numbers::booked).collect();
            planner.adopt(&book, now);
        }
    }

    /// Takes in what came of an order. One that was not answered may be carried out.
    pub(crate) fn answered(&mut self, size: &Size, answer: Option<Answer>, now: Moment) {
        let Some(planner) = self.planners.get_mut(&size.service) else {
            return;
        };
        let order = Order {
            zone: size.zone.clone(),
            reclaimable: size.reclaimable,
            engines: size.engines,
        };
        match answer {
            Some(Answer::Taken) => planner.ordered(&order, now),
            _ => planner.refused(&order, now),
        }
    }
}
