//! Plans how many engines of each kind a service should have in each data centre. Engines are paid
//! for by the second, and cost a fifth if they may be reclaimed, all of a data centre at once. See
//! `docs/design/engines-ordered.md`.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::Engine;
use crate::{Fleet, ServiceName, Zone};

mod allocation;
pub mod demand;
mod load_plan;

use demand::{Load, Need};

/// Bounds on the number of a service's engines, and their price.
#[derive(Clone, Debug, PartialEq)]
pub struct Range {
    /// Least number of engines of both kinds in a data centre.
    pub min: u32,
    /// Largest number of engines of both kinds in a data centre.
    pub max: u32,
    /// Time from an order until an engine serves.
    pub boot: Duration,
    /// Price of a reclaimable engine relative to another one; `None` if there are none.
    pub reclaimable_price: Option<f64>,
    /// Prices of data centres relative to each other. One that is missing costs
    /// [`USUAL_ZONE_PRICE`], and so does one whose price is not [`is_zone_price`].
    pub zone_prices: BTreeMap<Zone, f64>,
}

/// Relative price of a data centre for which none is configured.
pub const USUAL_ZONE_PRICE: f64 = 1.0;

/// Whether this can be the price of a data centre relative to others.
pub fn is_zone_price(price: f64) -> bool {
    (0.01..=100.0).contains(&price)
}

impl Range {
    /// The price of a data centre relative to others.
    fn zone_price(&self, zone: &Zone) -> f64 {
        let price = self.zone_prices.get(zone).copied();
        let price = price.filter(|price| is_zone_price(*price));
        price.unwrap_or(USUAL_ZONE_PRICE)
    }
}

/// The number of engines of one kind that a data centre should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The data centre.
    pub zone: Zone,
    /// Whether it is for reclaimable engines.
    pub reclaimable: bool,
    /// The number of engines.
    pub engines: u32,
    /// Why it is ordered.
    pub reason: Reason,
}

/// The reason for an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The regular number of the data centre.
    Usual,
    /// Other data centres have lost their reclaimable engines.
    StandsIn,
    /// The data centre's reclaimable engines have been missing for long.
    Missing,
    /// An operator fixed it.
    Fixed,
    /// The measured load needs this number.
    Load,
}

/// The state of one data centre that the next instance to order needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneState {
    /// The data centre.
    pub zone: Zone,
    /// Number of engines that it started with.
    pub initial_engines: u32,
    /// The last ordered number of on-demand engines.
    pub on_demand: Option<u32>,
    /// The last ordered number of reclaimable engines.
    pub reclaimable: Option<u32>,
    /// The number of reclaimable engines that the load needs, without those that stand in for
    /// others; `None` while the regular number is kept.
    pub planned: Option<u32>,
}

/// Orders that are due together.
pub type Orders = SmallVec<[Order; 4]>;

/// On-demand engines as a share of the initial number. They keep the service running when all
/// reclaimable engines are taken everywhere.
const ON_DEMAND_SHARE: f64 = 0.1;
/// Spending on reclaimable engines as a share of the price of the initial engines. The cheaper they
/// are, the more are ordered, and the more remain when those of one or two data centres are
/// reclaimed.
const RECLAIMABLE_BUDGET: f64 = 0.3;
/// Bounds on the number of reclaimable engines as a share of the initial number. Fewer would not
/// replace the others; more have little to do, and cache parts that others cache as well.
const RECLAIMABLE_SHARES: RangeInclusive<f64> = 1.1..=2.0;
/// Price up to which reclaimable engines are used at all; dearer ones do not pay for the losses.
const MAX_RECLAIMABLE_PRICE: f64 = 0.7;
/// Time without a further engine after which all initial engines are assumed to be known. It spans
/// several heartbeats.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// Time for which a number must be off before it is ordered again. Engines are replaced, and new
/// ones start before old ones leave.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time beyond an engine's boot until an order shows in the list.
const LISTING_DELAY: Duration = Duration::from_secs(3);
/// Pause before a refused order is repeated.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(3);
/// Largest number of engines that leave at the same time, in all data centres together. Each
/// departure is announced to all instances, and calls stop only once they know; announcing hundreds
/// takes seconds.
const MAX_LEAVING: u32 = 60;
/// Tolerated deviation as a share of the ordered number.
const SLACK_SHARE: f64 = 0.15;
/// Share of its reclaimable engines below which a data centre has lost them.
const LOST_SHARE: f64 = 0.5;
/// Time for which stand-in engines stay after the lost ones are back, whose caches are still empty.
const STAND_IN_TIME: Duration = Duration::from_secs(8);
/// Time for which reclaimable engines must be missing before on-demand ones replace them: usually
/// they are back before replacements would be of use.
const LONG_LOSS: Duration = Duration::from_secs(20);

/// The last order for one kind in a data centre, and its outcome.
#[derive(Clone, Copy, Debug, Default)]
struct OrderState {
    ordered: Option<(u32, Moment)>,
    /// When a larger number than before was last ordered. An order for fewer is no reason to wait
    /// for engines that boot.
    raised_at: Moment,
    refused_at: Option<Moment>,
    off_since: Option<Moment>,
}

impl OrderState {
    fn set_ordered(&mut self, engines: u32, now: Moment) {
        if self.ordered.is_none_or(|(before, _)| before < engines) {
            self.raised_at = now;
        }
        self.ordered = Some((engines, now));
    }
}

/// Additional engines that a data centre has to stand in for others.
#[derive(Clone, Copy, Debug, Default)]
struct StandIn {
    engines: u32,
    until: Moment,
}

/// The planner's state of one data centre.
#[derive(Clone, Debug, Default)]
struct ZonePlan {
    /// Largest number of engines seen before the first were ordered away.
    initial_engines: u32,
    /// Since when its reclaimable engines have been missing.
    lost_since: Option<Moment>,
    stand_in: StandIn,
    /// Number of reclaimable engines planned by the load instead of the regular one.
    planned: Option<u32>,
}

impl ZonePlan {
    /// The numbers that it should have if nothing is lost.
    fn target(&self, range: &Range) -> Count {
        let usual = usual_count(self.initial_engines, range);
        let planned = self
            .planned
            .map(|planned| planned.min(range.max - usual.on_demand));
        Count {
            reclaimable: planned.unwrap_or(usual.reclaimable),
            ..usual
        }
    }

    /// Whether it has engines that stand in for others.
    fn stands_in(&self, now: Moment) -> bool {
        self.lost_since.is_none() && now < self.stand_in.until
    }
}

/// Planner for one service.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    zones: BTreeMap<Zone, ZonePlan>,
    /// When the initial number last grew.
    last_growth: Moment,
    /// Whether any on-demand engines have been ordered away.
    has_begun: bool,
    /// Numbers fixed by an operator.
    fixed: BTreeMap<(Zone, bool), u32>,
    order_states: BTreeMap<(Zone, bool), OrderState>,
    load: Load,
    /// When the number planned by the load last fell, or another instance's plan was adopted.
    shrunk_at: Moment,
}

/// The number of engines that a data centre has or should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    on_demand: u32,
    reclaimable: u32,
}

impl Count {
    fn of(&self, reclaimable: bool) -> u32 {
        if reclaimable {
            self.reclaimable
        } else {
            self.on_demand
        }
    }
}

impl Planner {
    /// The orders to give now.
    ///
    /// Reclaimable engines are ordered first, and on-demand ones leave once those have arrived, so
    /// that there are never fewer than before. A data centre that starts with more engines than its
    /// maximum is left alone, since any order would remove engines that nobody asked to remove.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        service: &ServiceName,
        range: &Range,
        now: Moment,
    ) -> Orders {
        let mut orders = Orders::new();
        if range
            .reclaimable_price
            .is_none_or(|price| price > MAX_RECLAIMABLE_PRICE)
        {
            return orders;
        }
        let counts = counts(fleet.active(service));
        self.update_initial_engines(&counts, now);
        self.update_lost(&counts, range, now);
        self.update_planned(&counts, range, now);
        let mut may_leave = MAX_LEAVING.saturating_sub(self.leaving(&counts));
        let is_within = |plan: &ZonePlan| plan.initial_engines <= range.max;
        let plans = self.zones.iter().filter(|(_, plan)| is_within(plan));
        let mut zones: Vec<Zone> = plans.map(|(zone, _)| zone.clone()).collect();
        // On-demand engines leave first where they are dearest.
        zones.sort_by(|a, b| range.zone_price(b).total_cmp(&range.zone_price(a)));
        for zone in zones {
            let has = counts.get(&zone).copied().unwrap_or_default();
            let wanted = self.wanted(&zone, range, now);
            let mut wanted = self.next_step(&zone, wanted, has, range);
            // Engines that were ordered away are leaving already.
            let staying = self
                .ordered_on_demand(&zone)
                .unwrap_or(has.on_demand)
                .min(has.on_demand);
            wanted.on_demand = wanted.on_demand.max(staying.saturating_sub(may_leave));
            orders.extend(self.due_order(&zone, true, wanted, has, range, now));
            let has_reclaimable = has.reclaimable + slack(wanted.reclaimable) >= wanted.reclaimable;
            let is_settled = now.saturating_sub(self.last_growth) >= SETTLE_TIME;
            if has.on_demand < wanted.on_demand || (has_reclaimable && is_settled) {
                let order = self.due_order(&zone, false, wanted, has, range, now);
                let ordered_away = order
                    .as_ref()
                    .map_or(0, |_| staying.saturating_sub(wanted.on_demand));
                may_leave = may_leave.saturating_sub(ordered_away);
                orders.extend(order);
            }
        }
        orders
    }

    /// Takes a sample of the load at the service's engines.
    pub fn observe(&mut self, fleet: &Fleet, service: &ServiceName, now: Moment) {
        self.load.observe(fleet, service, now);
    }

    /// Forgets the measured load, because the calls of many instances are not known.
    pub fn forget_load(&mut self) {
        self.load = Load::default();
    }

    /// The engines that the measured load needs, if it is known.
    pub fn need(&self, now: Moment) -> Option<Need> {
        self.load.need(now)
    }

    /// On-demand engines that were ordered away and have not left yet.
    fn leaving(&self, counts: &BTreeMap<Zone, Count>) -> u32 {
        let leaving = counts.iter().map(|(zone, count)| {
            let ordered = self.ordered_on_demand(zone);
            ordered.map_or(0, |ordered| count.on_demand.saturating_sub(ordered))
        });
        leaving.sum()
    }

    /// The last ordered number of on-demand engines.
    fn ordered_on_demand(&self, zone: &Zone) -> Option<u32> {
        let order_state = self.order_states.get(&(zone.clone(), false))?;
        Some(order_state.ordered?.0)
    }

    /// Replaces the numbers fixed by an operator.
    pub fn set_fixed(&mut self, fixed: BTreeMap<(Zone, bool), u32>) {
        self.fixed = fixed;
    }

    /// Records that a number was ordered.
    pub fn record_order(&mut self, order: &Order, now: Moment) {
        self.has_begun |= !order.reclaimable;
        let order_state = self.order_state(&order.zone, order.reclaimable);
        order_state.set_ordered(order.engines, now);
        order_state.refused_at = None;
        order_state.off_since = None;
    }

    /// Records that an order was refused, or that its outcome is unknown.
    pub fn record_refusal(&mut self, order: &Order, now: Moment) {
        let order_state = self.order_state(&order.zone, order.reclaimable);
        order_state.refused_at = Some(now);
        order_state.off_since = None;
    }

    /// The state to hand over to the next instance to order.
    pub fn zone_states(&self) -> Vec<ZoneState> {
        let ordered = |zone: &Zone, reclaimable| {
            let order_state = self.order_states.get(&(zone.clone(), reclaimable))?;
            Some(order_state.ordered?.0)
        };
        let plans = self.zones.iter();
        let states = plans.map(|(zone, plan)| ZoneState {
            zone: zone.clone(),
            initial_engines: plan.initial_engines,
            on_demand: ordered(zone, false),
            reclaimable: ordered(zone, true),
            planned: plan.planned,
        });
        states.collect()
    }

    /// Adopts the state of an instance that ordered later than this one. Otherwise this one would
    /// take the present engines for the initial ones and order everything anew.
    pub fn adopt(&mut self, states: &[ZoneState], now: Moment) {
        for state in states {
            let plan = self.zones.entry(state.zone.clone()).or_default();
            plan.initial_engines = state.initial_engines;
            if plan.planned != state.planned {
                plan.planned = state.planned;
                self.shrunk_at = now;
            }
            self.has_begun |= state.on_demand.is_some();
            for (reclaimable, engines) in [(false, state.on_demand), (true, state.reclaimable)] {
                let order_state = self.order_state(&state.zone, reclaimable);
                let is_known = order_state.ordered.map(|(known, _)| known) == engines;
                if let Some(engines) = engines.filter(|_| !is_known) {
                    order_state.set_ordered(engines, now);
                }
            }
        }
    }

    /// Updates the number of engines that the deployment starts with.
    fn update_initial_engines(&mut self, counts: &BTreeMap<Zone, Count>, now: Moment) {
        if self.has_begun {
            return;
        }
        for (zone, count) in counts {
            let reclaimable_orders = self.order_states.get(&(zone.clone(), true));
            let is_ordered =
                reclaimable_orders.is_some_and(|order_state| order_state.ordered.is_some());
            let all = count.on_demand + if is_ordered { 0 } else { count.reclaimable };
            let plan = self.zones.entry(zone.clone()).or_default();
            if plan.initial_engines < all {
                plan.initial_engines = all;
                self.last_growth = now;
            }
        }
    }

    /// Updates which data centres have lost their reclaimable engines, and has the others stand in.
    fn update_lost(&mut self, counts: &BTreeMap<Zone, Count>, range: &Range, now: Moment) {
        let mut missing = 0;
        for (zone, plan) in &mut self.zones {
            let usual = plan.target(range).reclaimable;
            let has = counts.get(zone).map_or(0, |count| count.reclaimable);
            let ordered = self.order_states.get(&(zone.clone(), true));
            let is_awaited = ordered
                .filter(|order_state| order_state.ordered.is_some())
                .is_none_or(|order_state| {
                    now.saturating_sub(order_state.raised_at) < range.boot + LISTING_DELAY
                });
            if f64::from(has) >= f64::from(usual) * LOST_SHARE {
                plan.lost_since = None;
            } else if plan.lost_since.is_some() || !is_awaited {
                plan.lost_since.get_or_insert(now);
                missing += usual.saturating_sub(has);
            }
        }
        let others = self.zones.values().filter(|plan| plan.lost_since.is_none());
        let others = u32::try_from(others.count()).unwrap_or(u32::MAX);
        if missing == 0 || others == 0 {
            return;
        }
        let limit = self.stand_in_limit(counts, range, now);
        let missing = limit.map_or(missing, |limit| missing.min(limit));
        if missing == 0 {
            return;
        }
        let stand_in = StandIn {
            engines: missing.div_ceil(others),
            until: now + STAND_IN_TIME,
        };
        for plan in self
            .zones
            .values_mut()
            .filter(|plan| plan.lost_since.is_none())
        {
            let keeps_engines =
                plan.stand_in.until > now && plan.stand_in.engines > stand_in.engines;
            let engines = if keeps_engines {
                plan.stand_in.engines
            } else {
                stand_in.engines
            };
            plan.stand_in = StandIn {
                engines,
                ..stand_in
            };
        }
    }

    fn wanted(&self, zone: &Zone, range: &Range, now: Moment) -> Count {
        let Some(plan) = self.zones.get(zone) else {
            return Count::default();
        };
        let target = plan.target(range);
        let is_long = plan
            .lost_since
            .is_some_and(|since| now.saturating_sub(since) >= LONG_LOSS);
        let on_demand = if is_long {
            plan.initial_engines
                .min(target.on_demand + target.reclaimable)
        } else {
            target.on_demand
        };
        let on_demand = on_demand.min(range.max);
        let stand_ins = if plan.stands_in(now) {
            plan.stand_in.engines
        } else {
            0
        };
        let reclaimable = target.reclaimable + stand_ins;
        let fixed = |reclaimable| self.fixed.get(&(zone.clone(), reclaimable)).copied();
        let on_demand = fixed(false).unwrap_or(on_demand).min(range.max);
        Count {
            on_demand,
            reclaimable: fixed(true)
                .unwrap_or(reclaimable)
                .min(range.max - on_demand),
        }
    }

    fn reason(&self, zone: &Zone, reclaimable: bool, now: Moment) -> Reason {
        let is_fixed = self.fixed.contains_key(&(zone.clone(), reclaimable));
        match self.zones.get(zone) {
            _ if is_fixed => Reason::Fixed,
            Some(plan) if plan.lost_since.is_some() && !reclaimable => Reason::Missing,
            Some(plan) if plan.stands_in(now) && reclaimable => Reason::StandsIn,
            Some(plan) if plan.planned.is_some() && reclaimable => Reason::Load,
            _ => Reason::Usual,
        }
    }

    /// The next step from the present to the wanted number. Both kinds count against the maximum,
    /// and on-demand engines leave only as far as others have taken their place.
    fn next_step(&self, zone: &Zone, wanted: Count, has: Count, range: &Range) -> Count {
        let capacity = range
            .max
            .saturating_sub(has.on_demand.max(wanted.on_demand));
        let reclaimable = wanted.reclaimable.min(capacity);
        if has.on_demand <= wanted.on_demand {
            return Count {
                reclaimable,
                ..wanted
            };
        }
        let initial_engines = self.zones.get(zone).map_or(0, |plan| plan.initial_engines);
        let initial_engines = initial_engines.min(wanted.on_demand + wanted.reclaimable);
        // If there is no room for more, a few leave first.
        let early_leavers = if capacity == 0 {
            slack(initial_engines).max(1)
        } else {
            0
        };
        let needed = initial_engines.saturating_sub(has.reclaimable + early_leavers);
        Count {
            on_demand: wanted.on_demand.max(needed).min(has.on_demand),
            reclaimable,
        }
    }

    fn order_state(&mut self, zone: &Zone, reclaimable: bool) -> &mut OrderState {
        let key = (zone.clone(), reclaimable);
        self.order_states.entry(key).or_default()
    }

    /// The order that is due for one kind in a data centre, if any.
    fn due_order(
        &mut self,
        zone: &Zone,
        reclaimable: bool,
        wanted: Count,
        has: Count,
        range: &Range,
        now: Moment,
    ) -> Option<Order> {
        let (wanted, has) = (wanted.of(reclaimable), has.of(reclaimable));
        let why = self.reason(zone, reclaimable, now);
        let order_state = self.order_state(zone, reclaimable);
        let is_backing_off = |at: Moment| now.saturating_sub(at) < REFUSAL_BACKOFF;
        if order_state.refused_at.is_some_and(is_backing_off) {
            return None;
        }
        let is_due = match order_state.ordered {
            Some((ordered, at)) if ordered == wanted => {
                let is_off = has.abs_diff(wanted) > slack(wanted);
                let is_over = now.saturating_sub(at) >= range.boot + LISTING_DELAY;
                if !is_off || !is_over {
                    order_state.off_since = None;
                    return None;
                }
                let since = *order_state.off_since.get_or_insert(now);
                now.saturating_sub(since) >= HOLD_TIME
            }
            Some(_) => true,
            None => has != wanted,
        };
        is_due.then(|| Order {
            zone: zone.clone(),
            reclaimable,
            engines: wanted,
            reason: why,
        })
    }
}

/// The number of engines that a data centre should have if nothing is lost.
fn usual_count(initial_engines: u32, range: &Range) -> Count {
    let on_demand = ceil_share(initial_engines, ON_DEMAND_SHARE).clamp(range.min, range.max);
    let affordable = RECLAIMABLE_BUDGET / range.reclaimable_price.unwrap_or(1.0);
    let reclaimable = affordable.clamp(*RECLAIMABLE_SHARES.start(), *RECLAIMABLE_SHARES.end());
    Count {
        on_demand,
        reclaimable: ceil_share(initial_engines, reclaimable).min(range.max - on_demand),
    }
}

fn counts<'a>(engines: impl Iterator<Item = &'a Engine>) -> BTreeMap<Zone, Count> {
    let mut counts: BTreeMap<Zone, Count> = BTreeMap::new();
    for engine in engines {
        let count = counts.entry(engine.record.zone.clone()).or_default();
        if engine.record.reclaimable {
            count.reclaimable += 1;
        } else {
            count.on_demand += 1;
        }
    }
    counts
}

fn slack(number: u32) -> u32 {
    ceil_share(number, SLACK_SHARE)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn ceil_share(number: u32, share: f64) -> u32 {
    (f64::from(number) * share).ceil() as u32
}
