//! Offline optimum: what a planner could achieve if it knew the whole demand in advance.
//!
//! It is an upper bound for the online planners under the same capacity model: any number of
//! engines may change at once, and each change takes its full duration.

use std::collections::BTreeMap;

use super::capacity::{Counts, Demand, served_share};
use super::{Config, history};
use crate::upstream::Role;

/// Result of the optimal plan.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Optimum {
    /// Share of the demand that is served in time.
    pub served: f64,
    /// Number of role changes of single engines.
    pub changes: u32,
}

/// Value of a state from some step to the end.
#[derive(Clone, Copy, Debug, Default)]
struct Value {
    /// Served share, summed over the steps, less the price of the changes.
    net: f64,
    served: f64,
    changes: u32,
}

/// Computes the optimal plan for demand sampled every second, by backward dynamic programming. A
/// change is priced as in the planner; with a price of 0 the result is the most that can be
/// served.
pub fn solve(config: &Config, start: Counts, trace: &[Demand]) -> Optimum {
    let change_steps =
        config.change_duration.as_secs_f64() / history::SAMPLE_INTERVAL.as_secs_f64();
    let takes = (change_steps.round() as usize).max(1);
    let states = states(config, start.total());
    let mut values: Vec<BTreeMap<Counts, Value>> = vec![BTreeMap::new(); trace.len() + 1];
    for at in (0..trace.len()).rev() {
        let column: BTreeMap<Counts, Value> = states
            .iter()
            .map(|state| {
                (
                    *state,
                    best_value(config, *state, at, takes, trace, &values),
                )
            })
            .collect();
        values[at] = column;
    }
    let value = values[0].get(&start).copied().unwrap_or_default();
    Optimum {
        served: value.served / trace.len().max(1) as f64,
        changes: value.changes,
    }
}

fn best_value(
    config: &Config,
    state: Counts,
    at: usize,
    change_steps: usize,
    trace: &[Demand],
    values: &[BTreeMap<Counts, Value>],
) -> Value {
    let now = served_share(&config.frontiers, state, trace[at]);
    let mut best = extend(value(values, at + 1, state), now, 0.0, 0);
    let end = (at + change_steps).min(trace.len());
    for from in Role::ALL {
        for to in Role::ALL {
            for engines in 1..=state.get(from) {
                let after = state.without(from, engines).with(to, engines);
                if from == to || !within_bounds(config, after) {
                    continue;
                }
                let during = state.without(from, engines);
                let meanwhile: f64 = trace[at..end]
                    .iter()
                    .map(|demand| served_share(&config.frontiers, during, *demand))
                    .sum();
                let lost = f64::from(engines) * change_steps as f64 / f64::from(state.total());
                let price = config.price * lost;
                let other = extend(value(values, end, after), meanwhile, price, engines);
                if other.net > best.net {
                    best = other;
                }
            }
        }
    }
    best
}

fn value(values: &[BTreeMap<Counts, Value>], at: usize, state: Counts) -> Value {
    values[at].get(&state).copied().unwrap_or_default()
}

fn extend(value: Value, served: f64, price: f64, changes: u32) -> Value {
    Value {
        net: value.net + served - price,
        served: value.served + served,
        changes: value.changes + changes,
    }
}

fn states(config: &Config, total: u32) -> Vec<Counts> {
    let mut states = Vec::new();
    for mixed in 0..=total {
        for prefill in 0..=total - mixed {
            let counts = Counts::new([mixed, prefill, total - mixed - prefill]);
            if within_bounds(config, counts) {
                states.push(counts);
            }
        }
    }
    states
}

fn within_bounds(config: &Config, counts: Counts) -> bool {
    Role::ALL.iter().all(|role| {
        let span = config.bounds[*role as usize];
        (span.min..=span.max).contains(&counts.get(*role))
    })
}
