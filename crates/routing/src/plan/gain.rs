//! The default planner: it changes a role when the expected gain exceeds the price.

use std::time::Duration;

use clock::Moment;

use super::capacity::{Counts, Demand, served_share};
use super::history::{self, History};
use super::{Config, Transition, allowed_transitions};

/// Least gain, in engines, that is considered; below it, errors of the demand estimate dominate.
const MIN_GAIN_ENGINES: f64 = 0.05;

/// Time after a change during which demand does not yet reflect the new roles.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Seconds by which the smoothed demand lags.
const DEMAND_LAG_S: f64 = 3.0;

/// Ranks role changes by their net gain.
#[derive(Clone, Debug, Default)]
pub(super) struct GainPlanner {
    history: History,
    changed_at: Option<Moment>,
}

impl GainPlanner {
    pub(super) fn step(
        &mut self,
        now: Moment,
        config: &Config,
        counts: Counts,
        demand: Demand,
    ) -> Option<Transition> {
        self.history.record(now, demand);
        let settling = self
            .changed_at
            .is_some_and(|changed| now.saturating_sub(changed) < SETTLING_TIME);
        if settling {
            return None;
        }
        let horizon_s = config.change_duration.as_secs_f64() + DEMAND_LAG_S;
        let demand = self.history.forecast(horizon_s).unwrap_or(demand);
        let best = allowed_transitions(config, counts)
            .into_iter()
            .map(|transition| {
                (
                    self.net_gain(config, counts, demand, transition),
                    transition,
                )
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        (best.0 > 0.0).then_some(best.1)
    }

    pub(super) fn record_change(&mut self, now: Moment) {
        self.changed_at = Some(now);
    }

    /// Net gain of a role change in engine-seconds, given how long such demand is expected to
    /// last.
    fn net_gain(
        &self,
        config: &Config,
        counts: Counts,
        demand: Demand,
        transition: Transition,
    ) -> f64 {
        let engines = f64::from(counts.total());
        let after = counts.without(transition.from, 1).with(transition.to, 1);
        let during = counts.without(transition.from, 1);
        let gain = |demand| {
            let frontiers = &config.frontiers;
            engines
                * (served_share(frontiers, after, demand) - served_share(frontiers, counts, demand))
        };
        let current_gain = gain(demand);
        if current_gain < MIN_GAIN_ENGINES {
            return f64::NEG_INFINITY;
        }
        let (past, elapsed) = self
            .history
            .episodes(|demand| gain(demand) >= MIN_GAIN_ENGINES);
        let expected_s =
            history::expected_remaining(&past, elapsed) * history::SAMPLE_INTERVAL.as_secs_f64();
        let change_s = config.change_duration.as_secs_f64();
        let frontiers = &config.frontiers;
        let lost_meanwhile = engines
            * (served_share(frontiers, counts, demand) - served_share(frontiers, during, demand));
        // When the mix reverts, the change is wrong until that is noticed and the change undone.
        let reversal_cost = self
            .history
            .mean_positive(|demand| (-gain(demand)).max(0.0))
            * (change_s + DEMAND_LAG_S);
        current_gain * (expected_s - change_s - DEMAND_LAG_S).max(0.0)
            - lost_meanwhile * change_s
            - reversal_cost
            - config.price * change_s
    }
}
