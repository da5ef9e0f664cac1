//! Planning of the engines' roles in one pool, run by the holder of the pool's control.
//!
//! A planner sees the demand in tokens per second and the engines' roles, and proposes few role
//! changes. A change takes an engine out of service for seconds, so its gain must exceed that
//! cost; see docs/design/roles.md.

pub mod capacity;
mod gain;
mod history;
pub mod optimum;
mod threshold;

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use self::capacity::{Counts, Demand, Frontiers};
use self::gain::GainPlanner;
use self::threshold::ThresholdPlanner;
use crate::upstream::{Id, Role};

/// Planner of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// Never changes a role.
    Static,
    /// Moves an engine when one side has been busy, and the other not, for some time.
    Threshold,
    /// Moves an engine when the expected gain exceeds the price.
    #[default]
    Gain,
}

/// Bounds of the number of engines in a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleBounds {
    /// Least number that a change may leave.
    pub min: u32,
    /// Largest number that a change may lead to.
    pub max: u32,
}

/// Planner settings of a pool.
#[derive(Clone, Debug)]
pub struct Config {
    /// Planner to use.
    pub kind: Kind,
    /// Factor on the engine-seconds that a change loses: low to favour goodput, high to favour
    /// availability of engines.
    pub price: f64,
    /// Time for which a change takes an engine out of service.
    pub change_duration: Duration,
    /// Most concurrent changes.
    pub max_parallel: usize,
    /// Bounds by role, in the order of [`Role`]: mixed, prefill, decode.
    pub bounds: [RoleBounds; 3],
    /// Capacity of an engine in each role.
    pub frontiers: Frontiers,
}

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Instance id.
    pub id: Id,
    /// Current role, or the one that it is changing to.
    pub role: Role,
    /// Whether its role is being changed.
    pub changing: bool,
    /// Whether its role may be changed: it is live and open, and no order is pending on it.
    pub eligible: bool,
    /// Requests in flight; the engine with the fewest is changed first.
    pub in_flight: u32,
}

/// Input of a planning step.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Tokens per second requested by callers, smoothed over some seconds, without cached prompt
    /// tokens.
    pub demand: Demand,
    /// All live engines of the pool.
    pub engines: &'a [Engine],
}

/// A proposed change of an engine's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Engine.
    pub engine: Id,
    /// Its new role.
    pub role: Role,
}

/// A role change of any one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Transition {
    from: Role,
    to: Role,
}

/// The planner of one pool.
#[derive(Clone, Debug)]
pub struct Planner {
    config: Config,
    threshold: ThresholdPlanner,
    gain: GainPlanner,
}

impl Planner {
    /// A planner without history.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            threshold: ThresholdPlanner::default(),
            gain: GainPlanner::default(),
        }
    }

    /// Replaces the settings and keeps the history.
    pub fn configure(&mut self, config: Config) {
        self.config = config;
    }

    /// Records the input and proposes at most one change. Call it about once per second, also
    /// during a change, so that the history has no gaps.
    pub fn step(&mut self, now: Moment, input: &Input<'_>) -> SmallVec<[Change; 1]> {
        let counts = Counts::of(input.engines.iter().map(|engine| engine.role));
        let transition = match self.config.kind {
            Kind::Static => None,
            Kind::Threshold => self.threshold.step(now, &self.config, counts, input.demand),
            Kind::Gain => self.gain.step(now, &self.config, counts, input.demand),
        };
        let changing = input
            .engines
            .iter()
            .filter(|engine| engine.changing)
            .count();
        if changing >= self.config.max_parallel {
            return SmallVec::new();
        }
        let change = transition.and_then(|transition| choose_engine(input.engines, transition));
        if change.is_some() {
            self.threshold.record_change(now);
            self.gain.record_change(now);
        }
        change.into_iter().collect()
    }
}

/// The engine that loses least by the change.
fn choose_engine(engines: &[Engine], transition: Transition) -> Option<Change> {
    let candidates = engines
        .iter()
        .filter(|engine| engine.eligible && engine.role == transition.from);
    let engine = candidates.min_by(|a, b| (a.in_flight, &a.id).cmp(&(b.in_flight, &b.id)))?;
    Some(Change {
        engine: engine.id.clone(),
        role: transition.to,
    })
}

/// All role changes of one engine within the bounds.
fn allowed_transitions(config: &Config, counts: Counts) -> SmallVec<[Transition; 6]> {
    let mut transitions = SmallVec::new();
    for from in Role::ALL {
        for to in Role::ALL {
            let allowed = from != to
                && counts.get(from) > config.bounds[from as usize].min
                && counts.get(to) < config.bounds[to as usize].max;
            if allowed {
                transitions.push(Transition { from, to });
            }
        }
    }
    transitions
}
