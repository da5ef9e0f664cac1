//! Plans the number of reclaimable engines by the measured load.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

use super::allocation::{self, Allotment};
use super::demand::Need;
use super::{Count, MAX_LEAVING, Planner, Range, ceil_share};
use crate::Zone;

/// Share by which more engines are planned than are needed, so that a slowly rising need does not
/// cause an order each time.
const MARGIN: f64 = 0.15;
/// Least share by which the number falls. Together with [`MARGIN`] it keeps a varying need from
/// ordering engines back and forth.
const MIN_DROP: f64 = 0.1;
/// Largest share by which the number falls in one step. Engines take their cached prompt parts with
/// them, which the others then read again.
const MAX_DROP: f64 = 0.15;
/// Least time between two such steps: engines leave within it, and the load at the others shows.
const STEP_INTERVAL: Duration = Duration::from_secs(3);
/// Least number of reclaimable engines as a share of the initial number. Fewer hold too few of the
/// callers' cached prompts when the load returns.
const FLOOR_SHARE: f64 = 0.2;
/// Utilisation that the remaining engines may have in the mean after a data centre has lost its
/// reclaimable engines. Calls must still meet their targets, since others stand in only after a boot
/// time, and the prompt parts that only the lost ones cached are read again meanwhile.
const LOSS_UTILISATION: f64 = 0.7;
/// Largest share of reclaimable engines for whose loss the reserve is computed. With one or two data
/// centres the loss of more cannot be made up for by more engines of the same kind.
const MAX_LOSS_SHARE: f64 = 0.6;

/// The service's engines as far as the load plan may change them.
struct Present {
    /// Reclaimable engines of data centres whose number may change.
    allotments: Vec<Allotment>,
    /// Engines whose number the load does not change: on-demand ones, those of fixed numbers, and
    /// those of data centres above their maximum.
    constant: u32,
    /// Engines that the deployment started with, in the data centres whose number may change.
    initial_engines: u32,
    /// Reclaimable engines if the load were not known.
    usual: u32,
}

impl Present {
    fn total(&self) -> u32 {
        let allotments = self.allotments.iter();
        allotments.map(|allotment| allotment.engines).sum()
    }

    fn max(&self) -> u32 {
        let allotments = self.allotments.iter();
        allotments.map(|allotment| allotment.max).sum()
    }

    /// Engines planned in data centres that have not lost theirs.
    fn remaining(&self) -> u32 {
        let remaining = self
            .allotments
            .iter()
            .filter(|allotment| !allotment.is_lost);
        remaining.map(|allotment| allotment.engines).sum()
    }

    /// Engines up to which others stand in for lost ones, and to which the number falls beside lost
    /// ones: as many as a settled plan has, which exceeds what is wanted by up to the least drop.
    fn carrying(&self, need: &Need) -> u32 {
        ceil(self.required(need) * (1.0 + MARGIN) / (1.0 - MIN_DROP) + 1.0)
    }

    /// Engines that must be planned where none are lost before the number falls.
    fn least_remaining(&self, need: &Need, wanted: u32) -> u32 {
        if self.allotments.iter().any(|allotment| allotment.is_lost) {
            self.carrying(need)
        } else {
            wanted
        }
    }

    /// Reclaimable engines that carry the load, also after the loss of a data centre's.
    fn required(&self, need: &Need) -> f64 {
        let constant = f64::from(self.constant);
        let at_peak = need.engines - constant;
        let shares = self.allotments.iter().map(|allotment| allotment.share);
        let largest = shares.fold(0.0, f64::max) * allocation::MAX_PART;
        let remaining = 1.0 - largest.min(MAX_LOSS_SHARE);
        let after_loss = (need.busy / LOSS_UTILISATION - constant) / remaining;
        at_peak.max(after_loss).max(0.0)
    }
}

impl Planner {
    /// Changes the planned numbers of reclaimable engines as the load requires: at once if more are
    /// needed, and in small steps after a whole window if fewer are.
    pub(super) fn update_planned(
        &mut self,
        counts: &BTreeMap<Zone, Count>,
        range: &Range,
        now: Moment,
    ) {
        let Some(need) = self.load.need(now) else {
            return;
        };
        let mut present = self.present(counts, range);
        let total = present.total();
        let required = present.required(&need);
        let wanted = ceil(required * (1.0 + MARGIN));
        let floor = ceil_share(present.initial_engines, FLOOR_SHARE);
        let next = if required > f64::from(total) {
            // The caches of a deployment that has just started are empty, so that its load is no
            // reason for more than the regular number.
            let most = if need.is_whole {
                present.max()
            } else {
                present.usual.max(total)
            };
            wanted.min(most).max(total)
        } else if need.is_whole && self.may_shrink(&present, range, now) {
            let least_drop = ceil_share(total, MIN_DROP).max(1);
            let largest_drop = ceil_share(total, MAX_DROP).min(MAX_LEAVING);
            // Engines that are lost at present do not count as carrying any load.
            let lost = total - present.remaining();
            let least = present.least_remaining(&need, wanted);
            let goal = least.max(floor) + kept_lost(least.max(floor), lost, total);
            if goal + least_drop > total {
                return;
            }
            goal.max(total - largest_drop)
        } else {
            return;
        };
        if next == total {
            return;
        }
        allocation::allocate(&mut present.allotments, next);
        if next < total {
            if present.remaining() < present.least_remaining(&need, wanted) {
                return;
            }
            self.shrunk_at = now;
        }
        for allotment in present.allotments {
            if let Some(plan) = self.zones.get_mut(&allotment.zone)
                && plan.target(range).reclaimable != allotment.engines
            {
                plan.planned = Some(allotment.engines);
            }
        }
    }

    /// Engines that may stand in for lost ones, by the measured load; `None` while it is not known.
    /// None are needed while the data centres that have not lost theirs carry it.
    pub(super) fn stand_in_limit(
        &self,
        counts: &BTreeMap<Zone, Count>,
        range: &Range,
        now: Moment,
    ) -> Option<u32> {
        let need = self.load.need(now).filter(|need| need.is_whole)?;
        let present = self.present(counts, range);
        Some(present.carrying(&need).saturating_sub(present.remaining()))
    }

    /// Whether fewer engines may be planned: the last step was ordered wherever engines are to be
    /// had.
    fn may_shrink(&self, present: &Present, range: &Range, now: Moment) -> bool {
        let is_ordered = |allotment: &Allotment| {
            if allotment.is_lost {
                return true;
            }
            let wanted = self.wanted(&allotment.zone, range, now).reclaimable;
            let state = self.order_states.get(&(allotment.zone.clone(), true));
            let ordered = state.and_then(|state| state.ordered);
            ordered.is_some_and(|(engines, _)| engines == wanted)
        };
        now.saturating_sub(self.shrunk_at) >= STEP_INTERVAL
            && present.allotments.iter().all(is_ordered)
    }

    fn present(&self, counts: &BTreeMap<Zone, Count>, range: &Range) -> Present {
        let mut present = Present {
            allotments: Vec::new(),
            constant: 0,
            initial_engines: 0,
            usual: 0,
        };
        for (zone, plan) in &self.zones {
            let has = counts.get(zone).copied().unwrap_or_default();
            if plan.initial_engines > range.max {
                present.constant += has.on_demand + has.reclaimable;
                continue;
            }
            let target = plan.target(range);
            let fixed = |reclaimable| self.fixed.get(&(zone.clone(), reclaimable)).copied();
            let on_demand = fixed(false).unwrap_or(target.on_demand).min(range.max);
            present.constant += on_demand;
            let max = range.max - on_demand;
            if let Some(engines) = fixed(true) {
                present.constant += engines.min(max);
                continue;
            }
            present.initial_engines += plan.initial_engines;
            present.usual += super::usual_count(plan.initial_engines, range).reclaimable;
            present.allotments.push(Allotment {
                zone: zone.clone(),
                engines: target.reclaimable.min(max),
                max,
                share: f64::from(plan.initial_engines),
                price: range.zone_price(zone),
                is_lost: plan.lost_since.is_some(),
            });
        }
        present.allotments.retain(|allotment| allotment.share > 0.0);
        for allotment in &mut present.allotments {
            allotment.share /= f64::from(present.initial_engines);
        }
        present
    }
}

/// Engines planned for data centres that have lost theirs, beside `remaining` elsewhere, in the same
/// proportion as at present.
fn kept_lost(remaining: u32, lost: u32, total: u32) -> u32 {
    let present = total.saturating_sub(lost).max(1);
    ceil(f64::from(remaining) * f64::from(lost) / f64::from(present))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn ceil(number: f64) -> u32 {
    number.ceil() as u32
}
