//! How many engines of which kind a service should have in each data centre. The load that this answers: a fleet that is paid by the second,
//! whose engines cost a fifth where they may be reclaimed, all of a data centre at once. See `docs/design/engines-ordered.md`.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::Engine;
use crate::{Fleet, ServiceName, Zone};

/// What a service may have, and what it costs.
#[derive(Clone, Debug, PartialEq)]
pub struct Range {
    /// Fewest engines of both kinds in a data centre.
    pub min: u32,
    /// Most of them.
    pub max: u32,
    /// Time from an order until an engine serves.
    pub boot: Duration,
    /// Price of an engine that may be reclaimed, as a part of another one's; missing where there are none.
    pub reclaimable_price: Option<f64>,
}

/// A number of engines of one kind in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Where.
    pub zone: Zone,
    /// Of which kind.
    pub reclaimable: bool,
    /// How many there should be.
    pub engines: u32,
    /// For what reason.
    pub reason: Reason,
}

/// Why a number is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is what a data centre should have while nothing is lost.
    Usual,
    /// Other data centres have lost their reclaimable engines.
    StandsIn,
    /// The data centre's reclaimable engines have been missing for long.
    Missing,
    /// An operator fixed it.
    Fixed,
}

/// What is known of a data centre, for whoever orders next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneState {
    /// The data centre.
    pub zone: Zone,
    /// Engines that it started with.
    pub initial_engines: u32,
    /// What was ordered last of those that are not reclaimable.
    pub on_demand: Option<u32>,
    /// What was ordered last of those that are.
    pub reclaimable: Option<u32>,
}

/// Orders that are due together.
pub type Orders = SmallVec<[Order; 4]>;

/// Engines that are not reclaimable, as a part of what a data centre had when it was first seen. When all others are reclaimed
/// everywhere, these go on.
const FIRM: f64 = 0.1;
/// What is spent on engines that are, as a part of the price of what a data centre had. The cheaper they are the more there are, and the more
/// are left when those of one or two data centres go.
const SPENT: f64 = 0.3;
/// Fewest and most of them that this may buy, as a part of how many there were. Fewer would not replace the others; more have little to
/// do, and each holds parts of prompts that others hold as well.
const RECLAIMABLE: RangeInclusive<f64> = 1.1..=2.0;
/// Price up to which reclaimable engines are used at all: dearer ones do not pay for what they lose.
const WORTH_IT: f64 = 0.7;
/// Time without a further engine after which all that a deployment started with are known: some heartbeats.
const SETTLES: Duration = Duration::from_millis(3_000);
/// Time for which a number must be off before it is ordered again. Engines are replaced, and new ones start before old ones leave.
const HOLD: Duration = Duration::from_secs(2);
/// Time beyond an engine's boot until an order shows in the list.
const SHOWS: Duration = Duration::from_secs(3);
/// Pause before what was not to be had is ordered again.
const REFUSED: Duration = Duration::from_secs(3);
/// Engines that are let go at once, in all data centres together. Each one that leaves is told to all instances, and gets no calls once they
/// know; news of hundreds take seconds.
const LET_GO: u32 = 60;
/// Part of a number by which it may be off without an order.
const SLACK: f64 = 0.15;
/// Part of its reclaimable engines below which a data centre has lost them.
const LOST: f64 = 0.5;
/// Time for which engines that stand in for lost ones stay once those are back, which have read nothing yet.
const STAND_IN: Duration = Duration::from_secs(8);
/// Time for which reclaimable engines must be missing before others are paid for in their place: mostly they are back sooner than those
/// would be of use.
const LONG: Duration = Duration::from_secs(20);

/// What was ordered of one kind in a data centre, and what came of it.
#[derive(Clone, Copy, Debug, Default)]
struct Subject {
    ordered: Option<(u32, Moment)>,
    refused: Option<Moment>,
    off_since: Option<Moment>,
}

/// Engines beyond the usual that a data centre has for others.
#[derive(Clone, Copy, Debug, Default)]
struct StandIn {
    engines: u32,
    until: Moment,
}

/// A data centre as the plan sees it.
#[derive(Clone, Debug, Default)]
struct Site {
    /// Most engines that it had before the first were taken away.
    found: u32,
    /// Since when its reclaimable engines have been missing.
    lost: Option<Moment>,
    stand_in: StandIn,
}

impl Site {
    /// Whether it has engines for others.
    fn stands_in(&self, now: Moment) -> bool {
        self.lost.is_none() && now < self.stand_in.until
    }
}

/// The plan for one service.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    sites: BTreeMap<Zone, Site>,
    /// When a further engine was last found.
    grown: Moment,
    /// Whether engines that the deployment started with were taken away.
    has_begun: bool,
    /// Numbers that an operator fixed.
    fixed: BTreeMap<(Zone, bool), u32>,
    subjects: BTreeMap<(Zone, bool), Subject>,
}

/// Engines that a data centre has, or should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    firm: u32,
    reclaimable: u32,
}

impl Count {
    fn of(&self, reclaimable: bool) -> u32 {
        if reclaimable {
            self.reclaimable
        } else {
            self.firm
        }
    }
}

impl Planner {
    /// What should be ordered now.
    ///
    /// Reclaimable engines are ordered first, and the others let go once those are there, so that there are never fewer than before. A data centre
    /// that starts with more than it may have is left alone: every order would take engines away that nobody asked to go.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        service: &ServiceName,
        range: &Range,
        now: Moment,
    ) -> Orders {
        let mut orders = Orders::new();
        if range.reclaimable_price.is_none_or(|price| price > WORTH_IT) {
            return orders;
        }
        let counts = counts(fleet.active(service));
        self.find(&counts, now);
        self.note_lost(&counts, range, now);
        let mut may_go = LET_GO.saturating_sub(self.leaving(&counts));
        let is_within = |site: &Site| site.found <= range.max;
        let sites = self.sites.iter().filter(|(_, site)| is_within(site));
        let zones: Vec<Zone> = sites.map(|(zone, _)| zone.clone()).collect();
        for zone in zones {
            let has = counts.get(&zone).copied().unwrap_or_default();
            let wanted = self.wanted(&zone, range, now);
            let mut wanted = self.step(&zone, wanted, has, range);
            // What was ordered to go already goes.
            let stays = self.ordered_firm(&zone).unwrap_or(has.firm).min(has.firm);
            wanted.firm = wanted.firm.max(stays.saturating_sub(may_go));
            orders.extend(self.look(&zone, true, wanted, has, range, now));
            let are_there = has.reclaimable + slack(wanted.reclaimable) >= wanted.reclaimable;
            let is_settled = now.saturating_sub(self.grown) >= SETTLES;
            if has.firm < wanted.firm || (are_there && is_settled) {
                let order = self.look(&zone, false, wanted, has, range, now);
                let gone = order
                    .as_ref()
                    .map_or(0, |_| stays.saturating_sub(wanted.firm));
                may_go = may_go.saturating_sub(gone);
                orders.extend(order);
            }
        }
        orders
    }

    /// Engines that are still there though they were ordered away.
    fn leaving(&self, counts: &BTreeMap<Zone, Count>) -> u32 {
        let leaving = counts.iter().map(|(zone, count)| {
            let ordered = self.ordered_firm(zone);
            ordered.map_or(0, |ordered| count.firm.saturating_sub(ordered))
        });
        leaving.sum()
    }

    /// Engines that are not reclaimable, as they were ordered last.
    fn ordered_firm(&self, zone: &Zone) -> Option<u32> {
        let subject = self.subjects.get(&(zone.clone(), false))?;
        Some(subject.ordered?.0)
    }

    /// Takes in the numbers that an operator fixed, in place of those before.
    pub fn set_fixed(&mut self, fixed: BTreeMap<(Zone, bool), u32>) {
        self.fixed = fixed;
    }

    /// Takes in that a number was ordered.
    pub fn record_order(&mut self, order: &Order, now: Moment) {
        self.has_begun |= !order.reclaimable;
        let subject = self.subject(&order.zone, order.reclaimable);
        *subject = Subject {
            ordered: Some((order.engines, now)),
            ..Subject::default()
        };
    }

    /// Takes in that a number is not to be had, or that it is not known whether it was ordered.
    pub fn record_refusal(&mut self, order: &Order, now: Moment) {
        let subject = self.subject(&order.zone, order.reclaimable);
        subject.refused = Some(now);
        subject.off_since = None;
    }

    /// What whoever orders next has to know.
    pub fn zone_states(&self) -> Vec<ZoneState> {
        let ordered = |zone: &Zone, reclaimable| {
            let subject = self.subjects.get(&(zone.clone(), reclaimable))?;
            Some(subject.ordered?.0)
        };
        let sites = self.sites.iter();
        let booked = sites.map(|(zone, site)| ZoneState {
            zone: zone.clone(),
            initial_engines: site.found,
            on_demand: ordered(zone, false),
            reclaimable: ordered(zone, true),
        });
        booked.collect()
    }

    /// Takes in what another instance knows that ordered later than this one. Without it this one would take what it finds for what
    /// the deployment started with, and order all anew.
    pub fn adopt(&mut self, book: &[ZoneState], now: Moment) {
        for booked in book {
            self.sites.entry(booked.zone.clone()).or_default().found = booked.initial_engines;
            self.has_begun |= booked.on_demand.is_some();
            for (reclaimable, engines) in [(false, booked.on_demand), (true, booked.reclaimable)] {
                let subject = self.subject(&booked.zone, reclaimable);
                let is_known = subject.ordered.map(|(known, _)| known) == engines;
                if let Some(engines) = engines.filter(|_| !is_known) {
                    subject.ordered = Some((engines, now));
                }
            }
        }
    }

    /// Finds how many engines the deployment starts with.
    fn find(&mut self, counts: &BTreeMap<Zone, Count>, now: Moment) {
        if self.has_begun {
            return;
        }
        for (zone, count) in counts {
            let own = self.subjects.get(&(zone.clone(), true));
            let is_ordered = own.is_some_and(|subject| subject.ordered.is_some());
            let all = count.firm + if is_ordered { 0 } else { count.reclaimable };
            let site = self.sites.entry(zone.clone()).or_default();
            if site.found < all {
                site.found = all;
                self.grown = now;
            }
        }
    }

    /// Notes which data centres have lost their reclaimable engines, and has the others stand in.
    fn note_lost(&mut self, counts: &BTreeMap<Zone, Count>, range: &Range, now: Moment) {
        let mut missing = 0;
        for (zone, site) in &mut self.sites {
            let usual = usual(site.found, range).reclaimable;
            let has = counts.get(zone).map_or(0, |count| count.reclaimable);
            let ordered = self.subjects.get(&(zone.clone(), true));
            let is_awaited = ordered
                .and_then(|subject| subject.ordered)
                .is_none_or(|(_, at)| now.saturating_sub(at) < range.boot + SHOWS);
            if f64::from(has) >= f64::from(usual) * LOST {
                site.lost = None;
            } else if site.lost.is_some() || !is_awaited {
                site.lost.get_or_insert(now);
                missing += usual - has;
            }
        }
        let others = self.sites.values().filter(|site| site.lost.is_none());
        let others = u32::try_from(others.count()).unwrap_or(u32::MAX);
        if missing == 0 || others == 0 {
            return;
        }
        let stand_in = StandIn {
            engines: missing.div_ceil(others),
            until: now + STAND_IN,
        };
        for site in self.sites.values_mut().filter(|site| site.lost.is_none()) {
            let is_less = site.stand_in.until > now && site.stand_in.engines > stand_in.engines;
            let engines = if is_less {
                site.stand_in.engines
            } else {
                stand_in.engines
            };
            site.stand_in = StandIn {
                engines,
                ..stand_in
            };
        }
    }

    fn wanted(&self, zone: &Zone, range: &Range, now: Moment) -> Count {
        let Some(site) = self.sites.get(zone) else {
            return Count::default();
        };
        let usual = usual(site.found, range);
        let is_long = site
            .lost
            .is_some_and(|since| now.saturating_sub(since) >= LONG);
        let firm = if is_long { site.found } else { usual.firm };
        let firm = firm.min(range.max);
        let more = if site.stands_in(now) {
            site.stand_in.engines
        } else {
            0
        };
        let reclaimable = usual.reclaimable + more;
        let fixed = |reclaimable| self.fixed.get(&(zone.clone(), reclaimable)).copied();
        let firm = fixed(false).unwrap_or(firm).min(range.max);
        Count {
            firm,
            reclaimable: fixed(true).unwrap_or(reclaimable).min(range.max - firm),
        }
    }

    fn why(&self, zone: &Zone, reclaimable: bool, now: Moment) -> Reason {
        let is_fixed = self.fixed.contains_key(&(zone.clone(), reclaimable));
        match self.sites.get(zone) {
            _ if is_fixed => Reason::Fixed,
            Some(site) if site.lost.is_some() && !reclaimable => Reason::Missing,
            Some(site) if site.stands_in(now) && reclaimable => Reason::StandsIn,
            _ => Reason::Usual,
        }
    }

    /// The next step from what a data centre has to what it should have. Both kinds count together, and engines that are not reclaimable
    /// go only as far as there are others in their place.
    fn step(&self, zone: &Zone, wanted: Count, has: Count, range: &Range) -> Count {
        let room = range.max.saturating_sub(has.firm.max(wanted.firm));
        let reclaimable = wanted.reclaimable.min(room);
        if has.firm <= wanted.firm {
            return Count {
                reclaimable,
                ..wanted
            };
        }
        let found = self.sites.get(zone).map_or(0, |site| site.found);
        let found = found.min(range.max);
        // Where there is no room for more, a few go first.
        let ahead = if room == 0 { slack(found).max(1) } else { 0 };
        let needed = found.saturating_sub(has.reclaimable + ahead);
        Count {
            firm: wanted.firm.max(needed).min(has.firm),
            reclaimable,
        }
    }

    fn subject(&mut self, zone: &Zone, reclaimable: bool) -> &mut Subject {
        let key = (zone.clone(), reclaimable);
        self.subjects.entry(key).or_default()
    }

    /// What is to be ordered of one kind in a data centre.
    fn look(
        &mut self,
        zone: &Zone,
        reclaimable: bool,
        wanted: Count,
        has: Count,
        range: &Range,
        now: Moment,
    ) -> Option<Order> {
        let (wanted, has) = (wanted.of(reclaimable), has.of(reclaimable));
        let why = self.why(zone, reclaimable, now);
        let subject = self.subject(zone, reclaimable);
        let rests = |at: Moment| now.saturating_sub(at) < REFUSED;
        if subject.refused.is_some_and(rests) {
            return None;
        }
        let is_due = match subject.ordered {
            Some((ordered, at)) if ordered == wanted => {
                let is_off = has.abs_diff(wanted) > slack(wanted);
                let is_over = now.saturating_sub(at) >= range.boot + SHOWS;
                if !is_off || !is_over {
                    subject.off_since = None;
                    return None;
                }
                let since = *subject.off_since.get_or_insert(now);
                now.saturating_sub(since) >= HOLD
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

/// Engines that a data centre should have while nothing is lost.
fn usual(found: u32, range: &Range) -> Count {
    let firm = part(found, FIRM).clamp(range.min, range.max);
    let bought = SPENT / range.reclaimable_price.unwrap_or(1.0);
    let reclaimable = bought.clamp(*RECLAIMABLE.start(), *RECLAIMABLE.end());
    Count {
        firm,
        reclaimable: part(found, reclaimable).min(range.max - firm),
    }
}

fn counts<'a>(engines: impl Iterator<Item = &'a Engine>) -> BTreeMap<Zone, Count> {
    let mut counts: BTreeMap<Zone, Count> = BTreeMap::new();
    for engine in engines {
        let count = counts.entry(engine.record.zone.clone()).or_default();
        if engine.record.reclaimable {
            count.reclaimable += 1;
        } else {
            count.firm += 1;
        }
    }
    counts
}

fn slack(number: u32) -> u32 {
    part(number, SLACK)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn part(number: u32, part: f64) -> u32 {
    (f64::from(number) * part).ceil() as u32
}
