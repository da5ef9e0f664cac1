//! Planning of the engines' roles in one pool, for the holder of the pool's control.
//!
//! A planner sees the demand in tokens a second and the engines' roles, and proposes few changes. A
//! change takes an engine away for seconds, so it must pay: see docs/design/roles.md.

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

/// Which planner a pool uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// Roles stay as they are.
    Static,
    /// One engine moves when one side is busy and the other is not, for a while.
    Threshold,
    /// One engine moves when the gain that can be expected exceeds the price.
    #[default]
    Gain,
}

/// How many engines may have a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleBounds {
    /// Changes never go below.
    pub min: u32,
    /// Changes never go above.
    pub max: u32,
}

/// Settings of planning for a pool.
#[derive(Clone, Debug)]
pub struct Config {
    /// Which planner.
    pub kind: Kind,
    /// Factor on the engine-seconds that a change loses: low where goodput weighs more, high where
    /// each absence of an engine hurts.
    pub price: f64,
    /// How long an engine is away.
    pub change_duration: Duration,
    /// Changes that may be in work at once.
    pub max_parallel: usize,
    /// Bounds by role, in the order of [`Role`]: mixed, prefill, decode.
    pub bounds: [RoleBounds; 3],
    /// What an engine does in each role.
    pub frontiers: Frontiers,
}

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Instance id.
    pub id: Id,
    /// Role in force, or the one that it is changing to.
    pub role: Role,
    /// Whether a change of its role is in work.
    pub changing: bool,
    /// Whether it may be changed: it is live and open, and no order is in work on it.
    pub eligible: bool,
    /// Requests in hand; the engine with the fewest is changed.
    pub in_flight: u32,
}

/// What is known at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Tokens a second that callers ask for, smoothed over some seconds, cached prompt tokens left
    /// out.
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

/// A change from one role to another, of whichever engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Transition {
    from: Role,
    to: Role,
}

/// A planner of one pool.
#[derive(Clone, Debug)]
pub struct Planner {
    config: Config,
    threshold: ThresholdPlanner,
    gain: GainPlanner,
}

impl Planner {
    /// A planner that knows nothing of the past.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            threshold: ThresholdPlanner::default(),
            gain: GainPlanner::default(),
        }
    }

    /// Changes the settings; what was seen stays.
    pub fn configure(&mut self, config: Config) {
        self.config = config;
    }

    /// Takes in what is known and proposes at most one change. To be called about once a second,
    /// also while a change is in work, so that the past has no holes.
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
        let change = transition.and_then(|wanted| choose_engine(input.engines, wanted));
        if change.is_some() {
            self.threshold.record_change(now);
            self.gain.record_change(now);
        }
        change.into_iter().collect()
    }
}

/// The engine that loses least by a change.
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

/// All moves of one engine that the bounds allow.
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
