//! Whose turn it is to give engines orders. An instance that wants to appends a claim to a log on the
//! condition that the log ends where it read to; the claim's offset is the fencing token of the
//! orders that follow at once. Nobody holds a turn beyond that, so there is nothing to renew. See
//! `docs/design/platform.md`, "Roles".

use std::time::Duration;

use clock::Moment;

/// Place of a claim in the log; the fencing token of its orders.
pub type Fence = u64;

/// How often the log has come back from an older copy.
pub type Era = u64;

/// Orders leave within this time of the moment before their claim was sent, as measured by a clock that
/// also runs while the machine is suspended. Some orders and the store's answer fit.
pub const ORDER_WINDOW: Duration = Duration::from_millis(700);

/// Time that an order may be on its way after it left: to open a connection, and until the kernel gives
/// an unacknowledged one up.
const MAX_ORDER_TRANSIT: Duration = Duration::from_millis(800);

/// A claim as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// Where it stands.
    pub fence: Fence,
    /// The instance that made it.
    pub holder: &'a str,
}

/// What one instance knows of the turns.
#[derive(Clone, Debug)]
pub struct Claimant {
    takeover_delay: Duration,
    is_first_start: bool,
    newest_seen: Option<(Fence, Moment)>,
    /// Whether that claim is this instance's own.
    newest_is_own: bool,
    /// Era of the log, and since when it is another one than this instance knew before.
    era: Option<Era>,
    rolled_back_at: Option<Moment>,
}

impl Claimant {
    /// Turns of different instances that must be `lease` apart. `is_first_start` says that nobody can have claimed before this process began.
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

    /// Takes in how often the log has come back from an older copy.
    ///
    /// A claim of another instance may be gone with what was written since, and its orders may still be on their way, so that nobody may claim
    /// by what the log says then until every such turn is over. Two instances that order within one lease would show it. Whoever has just
    /// started cannot know whether the log went back a moment ago.
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

    /// Takes in a claim of another instance, of which that one told.
    pub fn observe_claim(&mut self, fence: Fence, now: Moment) {
        if self.newest_seen.is_none_or(|(known, _)| known < fence) {
            self.newest_seen = Some((fence, now));
            self.newest_is_own = false;
        }
    }

    /// How long it is of no use to look whether this instance may claim: another one did a moment ago, as it told. Looking costs a call.
    pub fn time_to_wait(&self, now: Moment) -> Duration {
        let announced = self.newest_seen.filter(|_| !self.newest_is_own);
        let until = announced.map_or(Duration::ZERO, |(_, at)| at + self.takeover_delay);
        until.saturating_sub(now)
    }

    /// Whether the instance `me` may claim after a read that showed `newest`.
    ///
    /// Two instances that order within one lease would each undo what the other one did, and one would
    /// notice it by engines that change back and forth. The newest claim's own instance may claim
    /// again at once; others wait from when they first saw it, which is never before it was made.
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
