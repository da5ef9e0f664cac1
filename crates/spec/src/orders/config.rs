//! Bounds and mutants of the model of orders.

use std::time::Duration;

/// A guard that is removed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// The order is sent before the entries have confirmed that the engine is closed.
    NoClosing,
    /// The order is sent although streams are open at the engine.
    NoDrain,
    /// The engine accepts orders with an old token although it reports that it checks tokens.
    NoFence,
    /// The token is the fence of the claim, which is the same for all orders of a holder.
    ClaimToken,
    /// An order that has not begun is concluded without a cancellation.
    NoCancel,
    /// A new holder does not wait for the quarantine of engines that ignore fences.
    NoQuarantine,
    /// The lease is not checked before a send.
    NoLease,
}

/// All mutants.
pub const MUTANTS: [Mutant; 7] = [
    Mutant::NoClosing,
    Mutant::NoDrain,
    Mutant::NoFence,
    Mutant::ClaimToken,
    Mutant::NoCancel,
    Mutant::NoQuarantine,
    Mutant::NoLease,
];

/// The bounds of the model.
#[derive(Clone, Debug)]
pub struct Config {
    /// Ticks after which the model stops.
    pub horizon: u32,
    /// Number of processes, one or two; the first holds the scope in the initial state.
    pub processes: usize,
    /// Whether the first process requests a second, opposite change after its first.
    pub second_order: bool,
    /// Whether the engine refuses old tokens.
    pub checks_fence: bool,
    /// Whether messages arrive within the longest delay, and no process pauses between its check of
    /// the lease and its send for longer than a lease.
    pub bounded_delays: bool,
    /// Whether the engine may restart, which counts as a fault.
    pub engine_restarts: bool,
    /// Whether the engine accepts cancellations without remembering them.
    pub forgets_cancellations: bool,
    /// Capacity of the log.
    pub max_records: usize,
    /// Number of streams that the entry may open.
    pub max_streams: u32,
    /// Total number of lost or duplicated records and messages, lost answers, crashes and restarts.
    pub max_faults: u32,
    /// The removed guard.
    pub mutant: Option<Mutant>,
}

impl Config {
    /// A holder and its successor with an engine that checks fences and forgets cancellations;
    /// delays are unbounded.
    pub fn takeover() -> Self {
        Self {
            horizon: 3,
            processes: 2,
            second_order: false,
            checks_fence: true,
            bounded_delays: false,
            engine_restarts: false,
            forgets_cancellations: true,
            max_records: 6,
            max_streams: 1,
            max_faults: 1,
            mutant: None,
        }
    }

    /// One holder that issues two opposite orders in sequence to such an engine.
    pub fn sequence() -> Self {
        Self {
            processes: 1,
            second_order: true,
            max_records: 8,
            ..Self::takeover()
        }
    }

    /// A holder and its successor with an engine that ignores fences and forgets cancellations,
    /// within the delays that the procedure for such engines assumes.
    pub fn unfenced_takeover() -> Self {
        Self {
            horizon: 5,
            checks_fence: false,
            bounded_delays: true,
            max_records: 5,
            max_streams: 0,
            max_faults: 0,
            ..Self::takeover()
        }
    }

    /// One holder that issues two opposite orders to an engine that ignores fences and may restart.
    pub fn unfenced_sequence() -> Self {
        Self {
            horizon: 4,
            engine_restarts: true,
            max_faults: 1,
            max_records: 8,
            processes: 1,
            second_order: true,
            ..Self::unfenced_takeover()
        }
    }

    /// A holder and its successor with an engine that ignores fences, with unbounded delays: shows
    /// the violations that remain possible.
    pub fn residue() -> Self {
        Self {
            bounded_delays: false,
            ..Self::unfenced_takeover()
        }
    }

    /// A holder and its successor with an engine that checks fences and may restart: shows the
    /// violations that remain possible.
    pub fn restart_residue() -> Self {
        Self {
            engine_restarts: true,
            forgets_cancellations: false,
            ..Self::takeover()
        }
    }

    /// The term of the lease in ticks. The model has no renewals; a single process, which would
    /// always read its renewals back, has a long lease instead.
    pub(super) fn lease_ticks(&self) -> u32 {
        if self.processes == 1 {
            100
        } else {
            LEASE_TICKS
        }
    }

    /// The tick of the initial state, at which the quarantine of the first holder is over.
    pub(super) fn start_tick(&self) -> u32 {
        self.lease_ticks() + MAX_DELAY_TICKS + 1
    }
}

pub(super) const TICK: Duration = Duration::from_secs(1);
/// Term of the lease in ticks; also the challenger's wait, since all clocks run at the same rate.
pub(super) const LEASE_TICKS: u32 = 2;
/// The longest delay of an order, in ticks.
pub(super) const MAX_DELAY_TICKS: u32 = 1;
