//! Division of a limit by demand.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

/// Part of a limit that is divided equally when demand exceeds it, so that an entry without demand so
/// far can serve its first requests.
const FLOOR: f64 = 0.04;

/// Part of an equal share that an entry uses before it knows the others' demand. The others have
/// divided the whole among themselves until they hear of it, so that this comes on top.
const INITIAL: f64 = 0.5;

/// Shares by position of the demands.
pub(super) type Shares = SmallVec<[f64; 8]>;

/// Share of one of `count` entries at its start.
pub(super) fn initial(count: usize) -> f64 {
    INITIAL / count.max(1) as f64
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
    let floor = available * FLOOR / count;
    let divided = available - floor * count;
    demands
        .iter()
        .map(|demand| floor + divided * demand / total)
        .collect()
}

/// Rounds shares of a whole number so that they still add up to it: the largest remainders are
/// rounded up. All entries round alike because the order decides between equals.
pub(super) fn whole(total: u32, shares: &[f64]) -> SmallVec<[u32; 8]> {
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
/// notices it as an owner's usage above its limit at each shift of demand. Here a raise comes into
/// force only after it has stood for the whole settling time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    in_force: f64,
    raise: Option<Raise>,
}

#[derive(Clone, Copy, Debug)]
struct Raise {
    since: Moment,
    least: f64,
}

impl Share {
    pub(super) fn new(in_force: f64) -> Self {
        Self {
            in_force,
            raise: None,
        }
    }

    pub(super) fn in_force(&self) -> f64 {
        self.in_force
    }

    /// Takes in a newly computed share and gives what is in force now.
    pub(super) fn aim(&mut self, now: Moment, target: f64, settle: Duration) -> f64 {
        if target <= self.in_force {
            self.in_force = target;
            self.raise = None;
            return target;
        }
        let raise = self.raise.get_or_insert(Raise {
            since: now,
            least: target,
        });
        raise.least = raise.least.min(target);
        if now.saturating_sub(raise.since) >= settle {
            self.in_force = raise.least;
            self.raise = None;
        }
        self.in_force
    }
}
