//! The chosen planner: a change is made when the gain that can be expected exceeds its price.

use std::time::Duration;

use clock::Moment;

use super::capacity::{Counts, Demand, served};
use super::history::{self, History};
use super::{Config, Move, moves};

/// Least gain, in engines, that is worth looking at; below it the estimate of demand decides.
const LEAST_GAIN: f64 = 0.05;

/// Time after a change in which demand is not yet what the new roles make of it.
const SETTLE: Duration = Duration::from_secs(2);

/// Seconds by which smoothed demand is late.
const LAG: f64 = 3.0;

/// Weighs moves by their gain.
#[derive(Clone, Debug, Default)]
pub(super) struct Gain {
    history: History,
    changed: Option<Moment>,
}

impl Gain {
    pub(super) fn step(
        &mut self,
        now: Moment,
        config: &Config,
        counts: Counts,
        demand: Demand,
    ) -> Option<Move> {
        self.history.note(now, demand);
        let settling = self
            .changed
            .is_some_and(|changed| now.saturating_sub(changed) < SETTLE);
        if settling {
            return None;
        }
        let ahead = config.change_duration.as_secs_f64() + LAG;
        let demand = self.history.ahead(ahead).unwrap_or(demand);
        let best = moves(config, counts)
            .into_iter()
            .map(|wanted| (self.surplus(config, counts, demand, wanted), wanted))
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        (best.0 > 0.0).then_some(best.1)
    }

    pub(super) fn changed(&mut self, now: Moment) {
        self.changed = Some(now);
    }

    /// Engine-seconds that a move brings beyond its price, given how long such demand lasts.
    fn surplus(&self, config: &Config, counts: Counts, demand: Demand, wanted: Move) -> f64 {
        let engines = f64::from(counts.total());
        let after = counts.without(wanted.from, 1).with(wanted.to, 1);
        let during = counts.without(wanted.from, 1);
        let gain = |demand| {
            let frontiers = &config.frontiers;
            engines * (served(frontiers, after, demand) - served(frontiers, counts, demand))
        };
        let now = gain(demand);
        if now < LEAST_GAIN {
            return f64::NEG_INFINITY;
        }
        let (past, elapsed) = self.history.episodes(|demand| gain(demand) >= LEAST_GAIN);
        let lasts = history::remaining(&past, elapsed) * history::EVERY.as_secs_f64();
        let takes = config.change_duration.as_secs_f64();
        let frontiers = &config.frontiers;
        let away =
            engines * (served(frontiers, counts, demand) - served(frontiers, during, demand));
        // When the mix turns back, the move is wrong until that is seen and undone.
        let undone = self.history.mean(|demand| (-gain(demand)).max(0.0)) * (takes + LAG);
        now * (lasts - takes - LAG).max(0.0) - away * takes - undone - config.price * takes
    }
}
