//! Division of a limit by demand.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

/// Part of a limit that is divided equally when demand exceeds it, so that an entry without demand so
/// far can serve its first requests.
const EQUAL_FLOOR: f64 = 0.04;

/// Part of an equal share that an entry uses before it knows the others' demand. The others have
/// divided the whole among themselves until they hear of it, so that this comes on top.
const INITIAL_FACTOR: f64 = 0.5;

/// Shares by position of the demands.
pub(super) type Shares = SmallVec<[f64; 8]>;

/// Share of one of `count` entries at its start.
pub(super) fn initial(count: usize) -> f64 {
    INITIAL_FACTOR / count.max(1) as f64
}

/// Divides `available` by demand: everyone gets what it asks for and an equal part of the rest, or,
/// if all ask for more than there is, a part in proportion.
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

/// Rounds shares of a whole number so that they still add up to it: the largest remainders are
/// rounded up. All entries round alike because the order decides between equals.
pub(super) fn round_to_whole(total: u32, shares: &[f64]) -> SmallVec<[u32; 8]> {
    let mut parts: SmallVec<[u32; 8]> = shares.iter().map(|share| *share as u32).collect();
    let given: u32 = parts.iter().sum();
    let mut order: SmallVec<[usize; 8]> = (0..shares.len()).collect();
    order.sort_by(|a, b| shares[*b].fract().total_cmp(&shares[*a].fract()));
    let left = total.saturating_sub(given) as usize;
    for position in order.into_iter().take(left) {
        parts[position] += 1;
    }
    parts
}

/// A share in force: it falls at once and rises late.
///
/// An entry learns of its own demand before the others do. If it raised its share at once, all
/// shares together would exceed the limit until the others have heard and lowered theirs; one
/// notices it as an owner's usage above its limit at each shift of demand. Here the least of what was
/// computed during the settling time is in force.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// Shares with the moment at which each was computed last, smallest and oldest first; the first is
    /// in force.
    computed: VecDeque<(Moment, f64)>,
}

impl Share {
    /// A share that is in force from the beginning.
    pub(super) fn new(now: Moment, share: f64) -> Self {
        Self {
            computed: VecDeque::from([(now, share)]),
        }
    }

    pub(super) fn in_force(&self) -> f64 {
        self.computed.front().map_or(0.0, |first| first.1)
    }

    /// Takes in a newly computed share and gives what is in force now.
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

    /// Whether the first share was last computed before the settling time.
    fn outdated(&self, now: Moment, settle: Duration) -> bool {
        let first = self.computed.front();
        first.is_some_and(|(at, _)| now.saturating_sub(*at) > settle)
    }
}

/// The most that a peer's part may be while its knowledge lags behind ours: the most that was
/// computed for it during the remembered time, or up to twice that. Two numbers do for a sliding
/// window, because looking back further is only more careful.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peak {
    since: Moment,
    current: f64,
    previous: f64,
}

impl Peak {
    pub(super) fn record(&mut self, now: Moment, part: f64, memory: Duration) {
        if now.saturating_sub(self.since) >= memory {
            self.previous = self.current;
            self.current = 0.0;
            self.since = now;
        }
        self.current = self.current.max(part);
    }

    pub(super) fn max(&self) -> f64 {
        self.current.max(self.previous)
    }
}
