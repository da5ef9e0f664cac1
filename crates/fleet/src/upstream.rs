//! Types of the upstreams as this entry sees them; [`crate::Upstreams`] implements the rules.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::list::{Kind, Mark, View};
use crate::{Id, Offset, health};

/// Whether an upstream gets new work, and if not, why. If several states apply, the last of them
/// in this order is reported.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// It gets new work.
    Live,
    /// Passive health checks ejected it for a while.
    Ejected,
    /// An unresolved order closes it.
    Closed,
    /// An operator drains it.
    Drained,
    /// The platform is about to remove it.
    Leaving,
    /// It is off the list. Open requests may still finish.
    Gone,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Instance id.
    pub id: Id,
    /// Engine or plain service.
    pub kind: Kind,
    /// Pool that it serves.
    pub pool: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// `ip:port`.
    pub address: String,
    /// State as of the last step.
    pub state: State,
    /// Mark in the list; [`None`] if it is off the list.
    pub listed: Option<Mark>,
    /// Whether an operator drains it.
    pub drained: bool,
    /// Orders that close it.
    pub orders: SmallVec<[Offset; 2]>,
    /// Health as shown by recent attempts.
    pub health: health::Health,
    /// When it was last listed.
    pub(crate) listed_at: Moment,
}

impl Upstream {
    /// Whether new work may be sent to it.
    pub fn takes_work(&self) -> bool {
        self.state == State::Live
    }

    /// Derives the state from the list, drains, orders and health.
    pub(crate) fn derive_state(&self) -> State {
        match self.listed {
            None => State::Gone,
            Some(Mark::Leaving) => State::Leaving,
            Some(Mark::Live) if self.drained => State::Drained,
            Some(Mark::Live) if !self.orders.is_empty() => State::Closed,
            Some(Mark::Live) if self.health.ejected() => State::Ejected,
            Some(Mark::Live) => State::Live,
        }
    }
}

/// Result of one attempt at an upstream, or of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// It answered, with this time to first byte.
    Answered(Duration),
    /// The connection failed or broke, or the upstream answered with an error of its own (a 5xx
    /// that is not a refusal for load).
    Failed,
    /// The first byte did not come in time.
    TimedOut,
}

/// Inputs of [`crate::Upstreams`].
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The instance list was read.
    List(&'a View),
    /// Upstreams with an operator's drain in the catalogue in force.
    Drains(&'a [Id]),
    /// An intent that closes the upstream was folded.
    Close {
        /// Offset of the intent.
        order: Offset,
        /// The upstream.
        upstream: &'a str,
    },
    /// The outcome of this order was folded.
    Open {
        /// Offset of the intent.
        order: Offset,
    },
    /// An attempt of this entry ended.
    Attempt {
        /// The upstream.
        upstream: &'a str,
        /// Its result.
        observation: Observation,
    },
    /// A requested probe ended.
    Probe {
        /// The upstream.
        upstream: &'a str,
        /// Its result.
        observation: Observation,
    },
    /// Time passed; expected about every second.
    Tick,
}

/// Outputs of [`crate::Upstreams`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// The state of an upstream changed.
    Changed {
        /// The upstream.
        id: Id,
        /// Previous state; [`None`] for a new upstream.
        was: Option<State>,
        /// New state.
        state: State,
    },
    /// Probe the upstream (`/engine/state` of an engine, a connection to a plain service) and
    /// report the result as [`Input::Probe`].
    Probe {
        /// The upstream.
        id: Id,
        /// `ip:port`.
        address: String,
    },
    /// The upstream should be ejected, but too many of its pool already are. Operators see it as
    /// a warning: the pool as a whole is at fault.
    EjectionWithheld {
        /// The upstream.
        id: Id,
    },
    /// The upstream was removed; its connections may be closed.
    Forgotten {
        /// The upstream.
        id: Id,
    },
}

/// Outputs of one step.
pub type Outputs = SmallVec<[Output; 4]>;
