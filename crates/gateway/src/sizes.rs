//! How many engines each service has, as `serving::scaling` plans it. Who orders is decided in [`crate::duties`].

use std::collections::BTreeMap;

use adapter::duties::{Answer, EngineTarget};
use adapter::orders::{EngineCounts, ScalingOverrides};
use clock::Moment;
use serving::scaling::{Order, Planner, Reason, ZoneState};
use serving::{Fleet, ServiceName, Table, Zone};

/// Plans of all services.
#[derive(Default)]
pub(crate) struct Sizes {
    planners: BTreeMap<ServiceName, Planner>,
    wishes: ScalingOverrides,
}

impl Sizes {
    /// What should be ordered now.
    pub(crate) fn plan(
        &mut self,
        table: &Table,
        fleet: &Fleet,
        now: Moment,
    ) -> Vec<(EngineTarget, Reason)> {
        if self.wishes.held {
            return Vec::new();
        }
        let mut sizes = Vec::new();
        for (service, range) in table.ranges() {
            let planner = self.planners.entry(service.clone()).or_default();
            let orders = planner.plan(fleet, service, range, now);
            let orders = orders.into_iter();
            sizes.extend(orders.map(|order| (size(service, &order), order.reason)));
        }
        sizes
    }

    /// Takes in what operators wish.
    pub(crate) fn wish(&mut self, wishes: ScalingOverrides) {
        if wishes == self.wishes {
            return;
        }
        log::info!(held = wishes.held, fixed = wishes.fixed.len(); "an operator's wishes for the numbers of engines");
        let mut fixed: BTreeMap<ServiceName, BTreeMap<(Zone, bool), u32>> = BTreeMap::new();
        for one in &wishes.fixed {
            let of_service = fixed.entry(one.service.as_str().into()).or_default();
            of_service.insert((one.zone.as_str().into(), one.reclaimable), one.engines);
        }
        for (service, planner) in &mut self.planners {
            planner.set_fixed(fixed.remove(service).unwrap_or_default());
        }
        for (service, fixed) in fixed {
            self.planners.entry(service).or_default().set_fixed(fixed);
        }
        self.wishes = wishes;
    }

    /// Whether nothing was ordered here or heard of.
    pub(crate) fn is_empty(&self) -> bool {
        let is_none = |numbers: &EngineCounts| numbers.firm.or(numbers.reclaimable).is_none();
        self.numbers().iter().all(is_none)
    }

    /// What was ordered last, and what the deployment started with.
    pub(crate) fn numbers(&self) -> Vec<EngineCounts> {
        let planners = self.planners.iter();
        let numbers = planners.flat_map(|(service, planner)| {
            let book = planner.zone_states().into_iter();
            book.map(|booked| EngineCounts::from_booked(service, &booked))
        });
        numbers.collect()
    }

    /// Takes in what was ordered by others.
    pub(crate) fn adopt(&mut self, numbers: &[EngineCounts], now: Moment) {
        for some in numbers.chunk_by(|one, next| one.service == next.service) {
            let Some(first) = some.first() else { continue };
            let service = ServiceName::from(first.service.as_str());
            let planner = self.planners.entry(service).or_default();
            let booked: Vec<ZoneState> = some.iter().map(EngineCounts::to_booked).collect();
            planner.adopt(&booked, now);
        }
    }

    /// Takes in what came of an order. One that was not answered may be carried out.
    pub(crate) fn answered(&mut self, size: &EngineTarget, answer: Option<Answer>, now: Moment) {
        let Some(planner) = self.planners.get_mut(&size.service) else {
            return;
        };
        let order = Order {
            zone: size.data_centre.clone(),
            reclaimable: size.reclaimable,
            engines: size.engines,
            reason: Reason::Usual,
        };
        match answer {
            Some(Answer::Taken) => planner.record_order(&order, now),
            _ => planner.record_refusal(&order, now),
        }
    }
}

fn size(service: &ServiceName, order: &Order) -> EngineTarget {
    EngineTarget {
        service: service.clone(),
        data_centre: order.zone.clone(),
        engines: order.engines,
        reclaimable: order.reclaimable,
    }
}
