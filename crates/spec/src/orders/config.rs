//! Bounds and mutants of the order model.

use std::time::Duration;

/// A guard that is taken away.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// The order is sent without the entries' confirmation.
    NoClosing,
    /// The order is sent although the engine has streams open.
    NoDrain,
    /// The engine takes orders with an old token, and says that it does not.
    NoFence,
    /// The token is the claim's, the same for all orders of a holder.
    ClaimToken,
    /// An unbegun order is concluded without a cancellation.
    NoCancel,
    /// A new holder does not wait before it uses an engine that ignores fences.
    NoQuarantine,
    /// The lease is not asked before a send.
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

/// The bounds.
#[derive(Clone, Debug)]
pub struct Config {
    /// Ticks after which the model stops.
    pub horizon: u32,
    /// Processes, the first of which holds the scope in the first state; one or two.
    pub processes: usize,
    /// Whether the first process wants a second, contrary order after its first.
    pub second: bool,
    /// Whether the engine refuses old tokens.
    pub checks_fence: bool,
    /// Whether what is sent arrives within the longest delay, and no process is paused between
    /// its check and its send for longer than a lease.
    pub bounded: bool,
    /// Whether the engine may restart, which counts as a fault.
    pub restarts: bool,
    /// Whether the engine answers a cancellation and then forgets it.
    pub forgets: bool,
    /// Records that the log holds at most.
    pub records: usize,
    /// Streams that entries open at most.
    pub streams: u32,
    /// Copies, lost answers, crashes and restarts, over all.
    pub faults: u32,
    /// The removed guard.
    pub mutant: Option<Mutant>,
}

impl Config {
    /// A holder and its successor before an engine that checks fences and forgets cancellations;
    /// anything may be late for any time.
    pub fn takeover() -> Self {
        Self {
            horizon: 3,
            processes: 2,
            second: false,
            checks_fence: true,
            bounded: false,
            restarts: false,
            forgets: true,
            records: 6,
            streams: 1,
            faults: 1,
            mutant: None,
        }
    }

    /// One holder with two contrary orders, one after the other, before such an engine.
    pub fn sequence() -> Self {
        Self {
            processes: 1,
            second: true,
            records: 8,
            ..Self::takeover()
        }
    }

    /// A holder and its successor before an engine that ignores fences and forgets cancellations,
    /// within the delays that its procedure assumes.
    pub fn unfenced_takeover() -> Self {
        Self {
            horizon: 5,
            checks_fence: false,
            bounded: true,
            records: 5,
            streams: 0,
            faults: 0,
            ..Self::takeover()
        }
    }

    /// One holder with two contrary orders before an engine that ignores fences and may restart.
    pub fn unfenced_sequence() -> Self {
        Self {
            horizon: 4,
            restarts: true,
            faults: 1,
            records: 8,
            processes: 1,
            second: true,
            ..Self::unfenced_takeover()
        }
    }

    /// A holder and its successor before an engine that ignores fences, with delays of any length:
    /// what remains possible.
    pub fn residue() -> Self {
        Self {
            bounded: false,
            ..Self::unfenced_takeover()
        }
    }

    /// A holder and its successor before an engine that checks fences and may restart: what remains
    /// possible.
    pub fn restart_residue() -> Self {
        Self {
            restarts: true,
            forgets: false,
            ..Self::takeover()
        }
    }

    /// The lease in ticks. Renewals are left out of this model; without a challenger they would be
    /// read back each time, so the lease is long.
    pub(super) fn lease(&self) -> u32 {
        if self.processes == 1 { 100 } else { LEASE }
    }

    /// The tick of the first state, at which the quarantine of the first holder is over.
    pub(super) fn start(&self) -> u32 {
        self.lease() + DELAY + 1
    }
}

pub(super) const TICK: Duration = Duration::from_secs(1);
/// Lease, and with equal rates of the clocks the challenger's wait, in ticks.
pub(super) const LEASE: u32 = 2;
/// The longest delay of an order, in ticks.
pub(super) const DELAY: u32 = 1;
