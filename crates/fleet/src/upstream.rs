//! Types of the upstreams as this entry sees them; [`crate::Upstreams`] holds the rules.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::list::{Kind, Mark, View};
use crate::{Id, Offset, health};

/// Why an upstream gets new work, or doesn't. Where several hold, the one that stands last below
/// shows.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// It gets new work.
    Live,
    /// Passive health took it out for a while.
    Ejected,
    /// An order that is not resolved closes it.
    Closed,
    /// An operator's drain stands.
    Drained,
    /// The platform is about to take it away.
    Leaving,
    /// It is off the list. Work in hand may still go on.
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
    /// Data centre in which it stands.
    pub data_centre: String,
    /// `ip:port`.
    pub address: String,
    /// Its state as of the last step.
    pub state: State,
    /// How the list marks it; [`None`] if it is off the list.
    pub listed: Option<Mark>,
    /// Whether an operator's drain stands.
    pub drained: bool,
    /// Orders that close it.
    pub orders: SmallVec<[Offset; 2]>,
    /// What the answers of late say.
    pub health: health::Health,
    /// When it was last listed.
    pub(crate) listed_at: Moment,
}

impl Upstream {
    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        self.state == State::Live
    }

    /// The state that its marks mean.
    pub(crate) fn judge(&self) -> State {
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

/// How one attempt at an upstream, or a probe, ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// It answered; the first byte came after this time.
    Answered(Duration),
    /// The connection failed or broke, or the answer was an error of the upstream's own (5xx that
    /// is no refusal for load).
    Failed,
    /// The first byte did not come in time.
    TimedOut,
}

/// What drives [`crate::Upstreams`].
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
        /// How it ended.
        observation: Observation,
    },
    /// A probe that was asked for ended.
    Probe {
        /// The upstream.
        upstream: &'a str,
        /// How it ended.
        observation: Observation,
    },
    /// Time passed; to be given every second or so.
    Tick,
}

/// What [`crate::Upstreams`] wants done or known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// The state of an upstream changed.
    Changed {
        /// The upstream.
        id: Id,
        /// State before; [`None`] for a new one.
        was: Option<State>,
        /// State now.
        state: State,
    },
    /// Ask the upstream for a sign of life (an engine for `/engine/state`, a plain service for a
    /// connection) and report it as [`Input::Probe`].
    Probe {
        /// The upstream.
        id: Id,
        /// `ip:port`.
        address: String,
    },
    /// Health would eject the upstream, but too many of its pool are ejected already. Operators
    /// see it as a warning: the pool as a whole is at fault.
    EjectionWithheld {
        /// The upstream.
        id: Id,
    },
    /// The upstream is forgotten; its connections may be closed.
    Forgotten {
        /// The upstream.
        id: Id,
    },
}

/// Outputs of one step.
pub type Outputs = SmallVec<[Output; 4]>;
