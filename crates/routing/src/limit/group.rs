//! The entries that divide a limit, as one of them sees them.

use std::collections::{BTreeMap, BTreeSet};

use clock::Moment;
use smallvec::SmallVec;

use super::Config;
use super::share::{self, Peak};
use crate::peers;

/// The entries that divide a limit, as one of them sees them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Group<'a> {
    pub(super) now: Moment,
    pub(super) own: &'a peers::Id,
    pub(super) peers: Option<&'a BTreeSet<peers::Id>>,
    pub(super) config: &'a Config,
}

/// Amounts of the two divided rates.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateDemand {
    pub(super) requests: f64,
    pub(super) tokens: f64,
}

/// Parts of the whole, 0 to 1, in each limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitShares {
    pub(super) requests: f64,
    pub(super) tokens: f64,
    pub(super) slots: f64,
}

/// The most that these parts were lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeakShares {
    pub(super) requests: Peak,
    pub(super) tokens: Peak,
    pub(super) slots: Peak,
}

impl PeakShares {
    pub(super) fn max(&self) -> LimitShares {
        LimitShares {
            requests: self.requests.max(),
            tokens: self.tokens.max(),
            slots: self.slots.max(),
        }
    }
}

impl LimitShares {
    pub(super) fn uniform(part: f64) -> Self {
        Self {
            requests: part,
            tokens: part,
            slots: part,
        }
    }
}

/// What a peer told last, and the parts of the limit that it had by it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerState {
    pub(super) at: Moment,
    pub(super) demand: RateDemand,
    pub(super) in_flight: u32,
    /// Parts while it was heard, to be reserved should it fall silent: it may not have heard what
    /// made its part smaller.
    pub(super) peaks: PeakShares,
}

/// Slack for sums of fractions.
pub(super) const ROUNDING: f64 = 1e-6;

/// The entries, sorted for one computation.
#[derive(Clone, Debug, Default)]
pub(super) struct Allocation {
    /// Entries whose demand counts, by id, this one among them.
    pub(super) active: SmallVec<[(peers::Id, RateDemand); 8]>,
    /// Position of this entry among them.
    pub(super) own: usize,
    /// Entries that are silent or were never heard, with the parts reserved for them.
    pub(super) frozen: SmallVec<[(peers::Id, LimitShares); 8]>,
}

impl Allocation {
    pub(super) fn divide(
        &self,
        demand: impl Fn(&RateDemand) -> f64,
        frozen: impl Fn(&LimitShares) -> f64,
    ) -> share::Shares {
        let demands: share::Shares = self.active.iter().map(|(_, told)| demand(told)).collect();
        share::divide(self.available(frozen), &demands)
    }

    /// What is not reserved for the frozen ones.
    pub(super) fn available(&self, frozen: impl Fn(&LimitShares) -> f64) -> f64 {
        let reserved: f64 = self.frozen.iter().map(|(_, parts)| frozen(parts)).sum();
        (1.0 - reserved).max(0.0)
    }

    /// Places that the other entries have or may have in use.
    pub(super) fn used_by_others(
        &self,
        slots: &[u32],
        limit: u32,
        peers: &BTreeMap<peers::Id, PeerState>,
    ) -> u32 {
        let open = |peer: &peers::Id| peers.get(peer).map_or(0, |told| told.in_flight);
        let active = self.active.iter().zip(slots).enumerate();
        let active: u32 = active
            .filter(|(position, _)| *position != self.own)
            .map(|(_, ((peer, _), places))| (*places).max(open(peer)))
            .sum();
        let frozen: u32 = self
            .frozen
            .iter()
            .map(|(peer, parts)| ((parts.slots * f64::from(limit)) as u32).max(open(peer)))
            .sum();
        active + frozen
    }
}
