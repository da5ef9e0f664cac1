//! Decides when an instance may claim the right to give orders to engines. An instance appends a
//! claim to a log on the condition that the log still ends where the instance read it; the offset
//! of the claim is the fencing token of the orders that follow at once. A claim is valid for these
//! orders only, so nothing has to be renewed. See `docs/design/platform.md`, "Roles".

use std::time::Duration;

use clock::Moment;

/// Offset of a claim in the log, used as the fencing token of its orders.
pub type Fence = u64;

/// Number of times that the log was restored from an older copy.
pub type Era = u64;

/// Orders must be sent within this time from just before their claim was sent, by a clock that also
/// runs while the machine is suspended. It leaves room for the store's answer and a few orders.
pub const ORDER_WINDOW: Duration = Duration::from_millis(700);

/// Longest time between sending an order and its arrival: opening a connection, and until the
/// kernel gives up an unacknowledged one.
const MAX_ORDER_TRANSIT: Duration = Duration::from_millis(800);

/// A claim as read from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// Its offset.
    pub fence: Fence,
    /// The instance that appended it.
    pub holder: &'a str,
}

/// The state of one instance that may want to claim.
#[derive(Clone, Debug)]
pub struct Claimant {
    takeover_delay: Duration,
    is_first_start: bool,
    newest_seen: Option<(Fence, Moment)>,
    /// Whether the newest claim seen is this instance's own.
    newest_is_own: bool,
    /// The newest era seen.
    era: Option<Era>,
    rolled_back_at: Option<Moment>,
}

impl Claimant {
    /// Keeps the orders of different instances at least `lease` apart. `is_first_start` says that
    /// nobody can have claimed before this process began.
    pub fn new(lease: Duration, is_first_start: bool) -> Self {
        Self {
            is_first_start,
            takeover_delay: lease + ORDER_WINDOW + MAX_ORDER_TRANSIT,
            newest_seen: None,
            newest_is_own: false,
            era: None,
            rolled_back_at: None,
        }
    }

    /// Records the era of the log.
    ///
    /// A restore may remove claims of other instances whose orders are still in flight, so nobody
    /// may claim until every such claim has expired. Otherwise two instances could order within one
    /// lease. An instance that has just started cannot know whether the log was restored a moment
    /// ago, and waits as well.
    pub fn observe_era(&mut self, era: Era, now: Moment) {
        let may_be_restored = match self.era {
            Some(known) => known < era,
            None => !self.is_first_start,
        };
        if may_be_restored {
            self.rolled_back_at = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Records a claim that another instance announced.
    pub fn observe_claim(&mut self, fence: Fence, now: Moment) {
        if self.newest_seen.is_none_or(|(known, _)| known < fence) {
            self.newest_seen = Some((fence, now));
            self.newest_is_own = false;
        }
    }

    /// Time until it is worth reading the log to claim, given the claims that other instances
    /// announced. Each read is a call that is paid for.
    pub fn time_to_wait(&self, now: Moment) -> Duration {
        let announced = self.newest_seen.filter(|_| !self.newest_is_own);
        let until = announced.map_or(Duration::ZERO, |(_, at)| at + self.takeover_delay);
        until.saturating_sub(now)
    }

    /// Whether the instance `me` may claim after a read that returned `newest`.
    ///
    /// Two instances that order within one lease would undo each other's orders, which shows as
    /// engines that change back and forth. The holder of the newest claim may claim again at once;
    /// others wait from when they first saw that claim, which is never before it was appended.
    pub fn may_claim(&mut self, newest: Option<Claim>, me: &str, now: Moment) -> bool {
        if self
            .rolled_back_at
            .is_some_and(|at| now.saturating_sub(at) < self.takeover_delay)
        {
            return false;
        }
        let Some(newest) = newest else {
            return true;
        };
        let seen = match self.newest_seen {
            Some((fence, at)) if fence == newest.fence => at,
            _ => now,
        };
        self.newest_seen = Some((newest.fence, seen));
        self.newest_is_own = newest.holder == me;
        self.newest_is_own || now.saturating_sub(seen) >= self.takeover_delay
    }
}
