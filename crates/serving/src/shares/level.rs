//! The water level of usage, and its summary for other placers.

use std::collections::HashMap;

use clock::Moment;

use super::Use;
use super::usage::Usage;
use crate::ServiceName;
use crate::organisation::Id;

/// Organisations that an announcement lists for each service; the others are summed up.
pub const MAX_ANNOUNCED: usize = 64;
/// Organisations listed for all services together. An entry has 16 bytes, and a datagram of more than
/// 48 KB, which also contains the placer's work at engines, is lost as a whole.
pub const MAX_ANNOUNCED_IN_ALL: usize = 512;
/// Share of all usage that has to go while a service is contended.
const CUT_SHARE: f64 = 0.1;
/// Largest rate that an announcement may contain: all of 100,000 engines.
const MAX_RATE: f64 = 1e8;
/// Largest number of organisations that an announcement may sum up.
const MAX_REST: u32 = 1_000_000;

/// The level to which usage would have to be cut if [`CUT_SHARE`] of it had to go; each entry has
/// the number of organisations with this usage.
pub(super) fn water_level(mut all: Vec<(Id, f64, u32)>) -> f64 {
    all.sort_unstable_by(|a, b| b.1.total_cmp(&a.1));
    let total: f64 = all
        .iter()
        .map(|(_, rate, count)| rate * f64::from(*count))
        .sum();
    let cut = total * CUT_SHARE;
    let (mut above, mut count) = (0.0, 0.0);
    for (index, (_, rate, weight)) in all.iter().enumerate() {
        above += rate * f64::from(*weight);
        count += f64::from(*weight);
        let level = (above - cut) / count;
        let next = all.get(index + 1).map_or(0.0, |(_, next, _)| *next);
        if level >= next {
            return level;
        }
    }
    0.0
}

/// Organisations to list for each of so many services.
pub(super) fn listed(services: usize) -> usize {
    (MAX_ANNOUNCED_IN_ALL / services.max(1)).clamp(1, MAX_ANNOUNCED)
}

/// The active organisations' usage: the `listed` largest, and a sum of the rest.
pub(super) fn summarize(
    service: &ServiceName,
    own: &HashMap<Id, Usage>,
    listed: usize,
    now: Moment,
) -> Use {
    let active = own.iter().filter(|(_, usage)| usage.is_active(now));
    let mut largest: Vec<(Id, f64)> = active.map(|(id, usage)| (*id, usage.rate(now))).collect();
    largest.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    let rest = largest.split_off(largest.len().min(listed));
    Use {
        service: service.clone(),
        largest,
        rest: rest.iter().map(|(_, rate)| rate).sum(),
        rest_count: u32::try_from(rest.len()).unwrap_or(u32::MAX),
    }
}

/// An announcement without the values that no sum of usage can have, and the number of these.
pub(super) fn checked(announced: &Use) -> (Use, usize) {
    let is_rate = |rate: f64| rate.is_finite() && (0.0..=MAX_RATE).contains(&rate);
    let mut largest: Vec<(Id, f64)> =
        Vec::with_capacity(announced.largest.len().min(MAX_ANNOUNCED));
    for (id, rate) in announced.largest.iter().take(MAX_ANNOUNCED) {
        let is_new = largest.iter().all(|(known, _)| known != id);
        if *id != 0 && is_rate(*rate) && is_new {
            largest.push((*id, *rate));
        }
    }
    let mut ignored = announced.largest.len() - largest.len();
    let is_rest = is_rate(announced.rest) && announced.rest_count <= MAX_REST;
    ignored += usize::from(!is_rest);
    let used = Use {
        service: announced.service.clone(),
        largest,
        rest: if is_rest { announced.rest } else { 0.0 },
        rest_count: if is_rest { announced.rest_count } else { 0 },
    };
    (used, ignored)
}
