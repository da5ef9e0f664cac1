//! A baseline: thresholds with hysteresis.

use std::time::Duration;

use clock::Moment;

use super::capacity::{Counts, Demand};
use super::{Config, Move, moves};
use crate::upstream::Role;

/// Utilisation above which a side is busy.
const HIGH: f64 = 0.9;

/// Utilisation below which a side can spare an engine.
const LOW: f64 = 0.7;

/// Time for which both must hold.
const HOLD: Duration = Duration::from_secs(5);

/// Least time between two changes.
const REST: Duration = Duration::from_secs(10);

/// Moves an engine when one side is busy and the other is not.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Threshold {
    since: Option<(Moment, Move)>,
    changed: Option<Moment>,
}

impl Threshold {
    pub(super) fn step(
        &mut self,
        now: Moment,
        config: &Config,
        counts: Counts,
        demand: Demand,
    ) -> Option<Move> {
        let wanted = wanted(config, counts, demand)?;
        let since = match self.since {
            Some((since, same)) if same == wanted => since,
            _ => now,
        };
        self.since = Some((since, wanted));
        let rested = self
            .changed
            .is_none_or(|changed| now.saturating_sub(changed) >= REST);
        (rested && now.saturating_sub(since) >= HOLD).then_some(wanted)
    }

    pub(super) fn changed(&mut self, now: Moment) {
        self.since = None;
        self.changed = Some(now);
    }
}

fn wanted(config: &Config, counts: Counts, demand: Demand) -> Option<Move> {
    let rate = |role, rate: f64| f64::from(counts.get(role)) * rate;
    let frontiers = &config.frontiers;
    let prefill = demand.prefill / rate(Role::Prefill, frontiers.prefill.prefill).max(1.0);
    let decode = demand.decode / rate(Role::Decode, frontiers.decode.decode).max(1.0);
    let (from, to) = if prefill > HIGH && decode < LOW {
        (Role::Decode, Role::Prefill)
    } else if decode > HIGH && prefill < LOW {
        (Role::Prefill, Role::Decode)
    } else {
        return None;
    };
    let wanted = Move { from, to };
    moves(config, counts).contains(&wanted).then_some(wanted)
}
