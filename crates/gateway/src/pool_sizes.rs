//! Numbers of engines per service, as `serving::scaling` plans them. [`crate::duties`] decides
//! which instance orders them.

use std::collections::BTreeMap;

use adapter::duties::{Answer, EngineTarget};
use adapter::orders::{EngineCounts, ScalingOverrides};
use clock::Moment;
use serving::scaling::{Order, Planner, Reason, ZoneState};
use serving::{Fleet, ServiceName, Table, Zone};

/// A number of engines to order.
pub(crate) struct Target {
    pub(crate) size: EngineTarget,
    pub(crate) reason: Reason,
    /// Engines of the whole service that the measured load needs.
    pub(crate) needed: Option<u32>,
}

/// Planners by service.
#[derive(Default)]
pub(crate) struct PoolSizes {
    planners: BTreeMap<ServiceName, Planner>,
    wishes: ScalingOverrides,
}

impl PoolSizes {
    /// Orders that are due now. The load counts only while this instance knows the calls of most
    /// others.
    pub(crate) fn plan(
        &mut self,
        table: &Table,
        fleet: &Fleet,
        knows_most_calls: bool,
        now: Moment,
    ) -> Vec<Target> {
        for (service, _) in table.ranges() {
            let planner = self.planners.entry(service.clone()).or_default();
            if knows_most_calls {
                planner.observe(fleet, service, now);
            } else {
                planner.forget_load();
            }
        }
        if self.wishes.held {
            return Vec::new();
        }
        let mut sizes = Vec::new();
        for (service, range) in table.ranges() {
            let planner = self.planners.entry(service.clone()).or_default();
            let orders = planner.plan(fleet, service, range, now);
            let needed = needed(planner, now);
            sizes.extend(orders.into_iter().map(|order| Target {
                size: to_size(service, &order),
                reason: order.reason,
                needed,
            }));
        }
        sizes
    }

    /// Applies the operators' requests.
    pub(crate) fn set_wishes(&mut self, wishes: ScalingOverrides) {
        if wishes == self.wishes {
            return;
        }
        log::info!(held = wishes.held, fixed = wishes.fixed.len(); "an operator's wishes for the numbers of engines");
        let mut fixed: BTreeMap<ServiceName, BTreeMap<(Zone, bool), u32>> = BTreeMap::new();
        for entry in &wishes.fixed {
            let by_kind = fixed.entry(entry.service.as_str().into()).or_default();
            by_kind.insert(
                (entry.zone.as_str().into(), entry.reclaimable),
                entry.engines,
            );
        }
        for (service, planner) in &mut self.planners {
            planner.set_fixed(fixed.remove(service).unwrap_or_default());
        }
        for (service, fixed) in fixed {
            self.planners.entry(service).or_default().set_fixed(fixed);
        }
        self.wishes = wishes;
    }

    /// Whether no order is known, of this instance or others.
    pub(crate) fn is_empty(&self) -> bool {
        let is_none = |numbers: &EngineCounts| numbers.firm.or(numbers.reclaimable).is_none();
        self.last_ordered_counts(Moment::ZERO).iter().all(is_none)
    }

    /// Includes the numbers that the deployment started with, and the need as measured now.
    pub(crate) fn last_ordered_counts(&self, now: Moment) -> Vec<EngineCounts> {
        let planners = self.planners.iter();
        let numbers = planners.flat_map(|(service, planner)| {
            let needed = needed(planner, now);
            let book = planner.zone_states().into_iter();
            book.map(move |booked| EngineCounts::from_booked(service, &booked, needed))
        });
        numbers.collect()
    }

    /// Engines that the measured load of each service needs; 0 while it is not known.
    pub(crate) fn needed(&self, now: Moment) -> impl Iterator<Item = (&ServiceName, u32)> {
        let planners = self.planners.iter();
        planners.map(move |(service, planner)| (service, needed(planner, now).unwrap_or_default()))
    }

    /// Adopts the numbers that others ordered.
    pub(crate) fn adopt(&mut self, numbers: &[EngineCounts], now: Moment) {
        for group in numbers.chunk_by(|one, next| one.service == next.service) {
            let Some(first) = group.first() else { continue };
            let service = ServiceName::from(first.service.as_str());
            let planner = self.planners.entry(service).or_default();
            let booked: Vec<ZoneState> = group.iter().map(EngineCounts::to_booked).collect();
            planner.adopt(&booked, now);
        }
    }

    /// Applies the answer to an order. One that was not answered may be carried out.
    pub(crate) fn on_answer(&mut self, size: &EngineTarget, answer: Option<Answer>, now: Moment) {
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

/// Engines that the measured load needs.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn needed(planner: &Planner, now: Moment) -> Option<u32> {
    let need = planner.need(now)?;
    Some(need.engines.ceil() as u32)
}

fn to_size(service: &ServiceName, order: &Order) -> EngineTarget {
    EngineTarget {
        service: service.clone(),
        data_centre: order.zone.clone(),
        engines: order.engines,
        reclaimable: order.reclaimable,
    }
}
