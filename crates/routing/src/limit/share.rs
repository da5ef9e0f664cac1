//! Division of a limit by demand.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

/// Share of a limit that is divided equally when demand exceeds it, so that an entry without
/// demand so far can serve its first requests.
const EQUAL_FLOOR: f64 = 0.04;

/// Part of an equal share that an entry uses before it knows the demand of its peers. They divide
/// the whole limit among themselves until they hear of it, so this usage comes on top.
const INITIAL_FACTOR: f64 = 0.5;

/// Shares, in the order of the demands.
pub(super) type Shares = SmallVec<[f64; 8]>;

/// Initial share of one of `count` entries.
pub(super) fn initial(count: usize) -> f64 {
    INITIAL_FACTOR / count.max(1) as f64
}

/// Divides `available` by demand. Each entry gets its demand and an equal part of the rest or, if
/// the total demand exceeds what is available, a proportional share above an equal floor.
pub(super) fn divide(available: f64, demands: &[f64]) -> Shares {
    let count = demands.len().max(1) as f64;
    let total: f64 = demands.iter().sum();
    if total <= available {
        let rest = (available - total) / count;
        return demands.iter().map(|demand| demand + rest).collect();
    }
    let floor = available * EQUAL_FLOOR / count;
    let divided = available - floor * count;
    demands
        .iter()
        .map(|demand| floor + divided * demand / total)
        .collect()
}

/// Rounds shares to whole numbers that add up to `total`, by the largest remainder method. Ties
/// are broken by position, so that all entries round alike.
pub(super) fn round_to_whole(total: u32, shares: &[f64]) -> SmallVec<[u32; 8]> {
    let mut parts: SmallVec<[u32; 8]> = shares.iter().map(|share| *share as u32).collect();
    let assigned: u32 = parts.iter().sum();
    let mut order: SmallVec<[usize; 8]> = (0..shares.len()).collect();
    order.sort_by(|a, b| shares[*b].fract().total_cmp(&shares[*a].fract()));
    let left = total.saturating_sub(assigned) as usize;
    for position in order.into_iter().take(left) {
        parts[position] += 1;
    }
    parts
}

/// A share that falls at once and rises late.
///
/// An entry learns of its own demand before its peers do. If it raised its share at once, the sum
/// of all shares would exceed the limit until the peers have heard and lowered theirs, and each
/// shift of demand would put the owner over its limit. The share in force is therefore the least
/// one computed during the raise delay.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// Shares with the time at which each was last computed, smallest and oldest first; the first
    /// is in force.
    computed: VecDeque<(Moment, f64)>,
}

impl Share {
    /// A share that is in force at once.
    pub(super) fn new(now: Moment, share: f64) -> Self {
        Self {
            computed: VecDeque::from([(now, share)]),
        }
    }

    pub(super) fn in_force(&self) -> f64 {
        self.computed.front().map_or(0.0, |first| first.1)
    }

    /// Adds a newly computed share and returns the share in force.
    pub(super) fn update(&mut self, now: Moment, target: f64, settle: Duration) -> f64 {
        while self.computed.back().is_some_and(|last| last.1 >= target) {
            self.computed.pop_back();
        }
        self.computed.push_back((now, target));
        while self.outdated(now, settle) {
            self.computed.pop_front();
        }
        self.in_force()
    }

    /// Whether the first share was last computed before the raise delay.
    fn outdated(&self, now: Moment, settle: Duration) -> bool {
        let first = self.computed.front();
        first.is_some_and(|(at, _)| now.saturating_sub(*at) > settle)
    }
}

/// Upper bound of a peer's share while its knowledge lags behind ours: the largest share computed
/// for it within the memory, or within up to twice that time. Two values approximate the sliding
/// window; looking back further only errs on the safe side.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peak {
    since: Moment,
    current: f64,
    previous: f64,
}

impl Peak {
    pub(super) fn record(&mut self, now: Moment, share: f64, memory: Duration) {
        if now.saturating_sub(self.since) >= memory {
            self.previous = self.current;
            self.current = 0.0;
            self.since = now;
        }
        self.current = self.current.max(share);
    }

    pub(super) fn max(&self) -> f64 {
        self.current.max(self.previous)
    }
}
