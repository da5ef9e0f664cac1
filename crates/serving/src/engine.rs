//! What is known of one engine: its record, the work before it, and how fast it is.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clock::Moment;
use smallvec::SmallVec;

use crate::health::Health;
use crate::{EngineId, ServiceName, Zone};

/// Which half of a generation an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Reads prompts for others.
    Prefill,
    /// Generates, and reads prompts at half the speed.
    Decode,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Is about to leave.
    Draining,
}

/// What an engine says of itself where all engines register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its incarnation.
    pub id: EngineId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Zone,
    /// Calls at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Set for model engines that have a stage.
    pub stage: Option<Stage>,
    /// Version of its weights, where it has a model.
    pub weights: Option<u64>,
}

/// Levels of urgency that are told apart; less urgent ones count as the last.
pub const LEVELS: usize = 4;

/// Work that one instance has at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Calls sent and not ended.
    pub calls: u32,
    /// Prompt tokens sent and not yet read, by urgency.
    pub unread: [u32; LEVELS],
}

impl Work {
    /// Prompt tokens that are read before a new call of this urgency.
    pub fn ahead(&self, level: usize) -> u64 {
        self.unread[..=level].iter().map(|&n| u64::from(n)).sum()
    }
}

/// The level of a route's rank.
pub fn level(priority: u8) -> usize {
    usize::from(priority).min(LEVELS - 1)
}

/// Id of a call in the books of one engine.
pub type Ticket = u64;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub ticket: Ticket,
    pub tokens: u32,
    pub level: usize,
    pub expected: Moment,
    pub sent: Moment,
}

/// An engine as this instance sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What it says of itself.
    pub record: Record,
    /// Outcomes of calls.
    pub health: Health,
    /// Whether its record is gone; kept until its last call ends.
    pub gone: bool,
    /// Time that work takes here against what the speed of its stage gives; 1 is as expected.
    pub pace: f64,
    pub(crate) calls: u32,
    pub(crate) pending: SmallVec<[Pending; 8]>,
    pub(crate) others: BTreeMap<u64, (Moment, Work)>,
    /// When the present head of the line began to be read, as far as this instance knows.
    pub(crate) progress: Moment,
}

/// Weight of one observation in [`Engine::pace`].
const PACE_WEIGHT: f64 = 0.15;
/// Bounds of [`Engine::pace`], so that one odd call does not close an engine.
const PACE_RANGE: (f64, f64) = (0.25, 12.0);
/// Bounds of a single observation of the pace, for the same reason.
const PACE_STEP: (f64, f64) = (0.3, 4.0);

impl Engine {
    /// An engine without work.
    pub fn new(record: Record) -> Self {
        Self {
            record,
            health: Health::default(),
            gone: false,
            pace: 1.0,
            calls: 0,
            pending: SmallVec::new(),
            others: BTreeMap::new(),
            progress: Moment::ZERO,
        }
    }

    /// This instance's work here.
    pub fn own(&self) -> Work {
        let mut work = Work {
            calls: self.calls,
            ..Work::default()
        };
        for pending in &self.pending {
            work.unread[pending.level] = work.unread[pending.level].saturating_add(pending.tokens);
        }
        work
    }

    /// Calls of all instances here.
    pub fn running(&self) -> u32 {
        self.calls
            + self
                .others
                .values()
                .map(|(_, work)| work.calls)
                .sum::<u32>()
    }

    /// Prompt tokens of all instances that are read before a new call of this urgency.
    pub fn ahead(&self, level: usize) -> u64 {
        let others: u64 = self
            .others
            .values()
            .map(|(_, work)| work.ahead(level))
            .sum();
        self.own().ahead(level) + others
    }

    pub(crate) fn observe(&mut self, expected: Moment, actual: Moment) {
        if expected.is_zero() {
            return;
        }
        let ratio = actual.as_secs_f64() / expected.as_secs_f64();
        let ratio = ratio.clamp(PACE_STEP.0, PACE_STEP.1);
        let next = self.pace * ratio.powf(PACE_WEIGHT);
        self.pace = next.clamp(PACE_RANGE.0, PACE_RANGE.1);
    }
}
