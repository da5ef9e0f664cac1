//! Baseline planner: utilisation thresholds with hysteresis.

use std::time::Duration;

use clock::Moment;

use super::capacity::{Counts, Demand};
use super::{Config, Transition, allowed_transitions};
use crate::upstream::Role;

/// Utilisation above which a side is busy.
const BUSY_ABOVE: f64 = 0.9;

/// Utilisation below which a side can spare an engine.
const SPARE_BELOW: f64 = 0.7;

/// Time for which one side must be busy while the other can spare an engine.
const MIN_IMBALANCE_TIME: Duration = Duration::from_secs(5);

/// Least time between changes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// Moves an engine when one side is busy and the other is not.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ThresholdPlanner {
    since: Option<(Moment, Transition)>,
    changed_at: Option<Moment>,
}

impl ThresholdPlanner {
    pub(super) fn step(
        &mut self,
        now: Moment,
        config: &Config,
        counts: Counts,
        demand: Demand,
    ) -> Option<Transition> {
        let transition = desired_transition(config, counts, demand)?;
        let since = match self.since {
            Some((since, same)) if same == transition => since,
            _ => now,
        };
        self.since = Some((since, transition));
        let rested = self
            .changed_at
            .is_none_or(|changed| now.saturating_sub(changed) >= MIN_CHANGE_INTERVAL);
        (rested && now.saturating_sub(since) >= MIN_IMBALANCE_TIME).then_some(transition)
    }

    pub(super) fn record_change(&mut self, now: Moment) {
        self.since = None;
        self.changed_at = Some(now);
    }
}

fn desired_transition(config: &Config, counts: Counts, demand: Demand) -> Option<Transition> {
    let rate = |role, rate: f64| f64::from(counts.get(role)) * rate;
    let frontiers = &config.frontiers;
    let prefill = demand.prefill / rate(Role::Prefill, frontiers.prefill.prefill).max(1.0);
    let decode = demand.decode / rate(Role::Decode, frontiers.decode.decode).max(1.0);
    let (from, to) = if prefill > BUSY_ABOVE && decode < SPARE_BELOW {
        (Role::Decode, Role::Prefill)
    } else if decode > BUSY_ABOVE && prefill < SPARE_BELOW {
        (Role::Prefill, Role::Decode)
    } else {
        return None;
    };
    let transition = Transition { from, to };
    allowed_transitions(config, counts)
        .contains(&transition)
        .then_some(transition)
}
