//! View that one entry has of the group of entries that divide a limit.

use std::collections::{BTreeMap, BTreeSet};

use clock::Moment;
use smallvec::SmallVec;

use super::Config;
use super::share::{self, Peak};
use crate::peers;

/// An entry's view of its group at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Group<'a> {
    pub(super) now: Moment,
    pub(super) own: &'a peers::Id,
    pub(super) peers: Option<&'a BTreeSet<peers::Id>>,
    pub(super) config: &'a Config,
}

/// Demand for the two limited rates.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateDemand {
    pub(super) requests: f64,
    pub(super) tokens: f64,
}

/// Shares of each limit, 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitShares {
    pub(super) requests: f64,
    pub(super) tokens: f64,
    pub(super) slots: f64,
}

/// Recent peaks of these shares.
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
    pub(super) fn uniform(share: f64) -> Self {
        Self {
            requests: share,
            tokens: share,
            slots: share,
        }
    }
}

/// Last demand advertised by a peer, and its recent shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerState {
    pub(super) at: Moment,
    pub(super) demand: RateDemand,
    pub(super) in_flight: u32,
    /// Peak shares while it was heard, reserved if it falls silent: it may not have received what
    /// lowered its share.
    pub(super) peaks: PeakShares,
}

/// Tolerance for rounding errors in sums of shares.
pub(super) const ROUNDING: f64 = 1e-6;

/// Input of one computation of shares.
#[derive(Clone, Debug, Default)]
pub(super) struct Allocation {
    /// Entries whose demand counts, ordered by id, including this one.
    pub(super) active: SmallVec<[(peers::Id, RateDemand); 8]>,
    /// Position of this entry in `active`.
    pub(super) own: usize,
    /// Entries that are silent or were never heard, with the shares reserved for them.
    pub(super) frozen: SmallVec<[(peers::Id, LimitShares); 8]>,
}

impl Allocation {
    pub(super) fn divide(
        &self,
        demand: impl Fn(&RateDemand) -> f64,
        frozen: impl Fn(&LimitShares) -> f64,
    ) -> share::Shares {
        let demands: share::Shares = self.active.iter().map(|(_, rates)| demand(rates)).collect();
        share::divide(self.available(frozen), &demands)
    }

    /// Share that is not reserved for frozen entries.
    pub(super) fn available(&self, frozen: impl Fn(&LimitShares) -> f64) -> f64 {
        let reserved: f64 = self.frozen.iter().map(|(_, shares)| frozen(shares)).sum();
        (1.0 - reserved).max(0.0)
    }

    /// Slots that the other entries use or may use.
    pub(super) fn used_by_others(
        &self,
        slots: &[u32],
        limit: u32,
        peers: &BTreeMap<peers::Id, PeerState>,
    ) -> u32 {
        let in_flight = |peer: &peers::Id| peers.get(peer).map_or(0, |state| state.in_flight);
        let active = self.active.iter().zip(slots).enumerate();
        let active: u32 = active
            .filter(|(position, _)| *position != self.own)
            .map(|(_, ((peer, _), slots))| (*slots).max(in_flight(peer)))
            .sum();
        let frozen: u32 = self
            .frozen
            .iter()
            .map(|(peer, parts)| ((parts.slots * f64::from(limit)) as u32).max(in_flight(peer)))
            .sum();
        active + frozen
    }
}
