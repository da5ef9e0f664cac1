//! Decides which instances leave the list of instances because they have gone for good.
//!
//! The list names all that ever registered. Whoever draws from it, or counts it, would draw more and more
//! instances that no longer exist, and share limits with them. Nobody knows whether a silent instance has gone,
//! is stopped or cut off, so one that is removed by mistake has to lose little: it is a member again as soon as
//! it is heard, and registers again once it reads that it was removed. See `docs/design/members-that-leave.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::placer::ZoneHash;

/// Silence after which an instance counts as gone. Longer than a restart, and than most stops.
pub const GONE_AFTER: Duration = Duration::from_secs(10);
/// The same for an instance that hears no other one: it is more likely to be cut off itself.
const GONE_AFTER_ALONE: Duration = Duration::from_secs(60);
/// Time for which an instance that came back after it was removed is not removed again. It may be cut off from
/// the others only, and would be removed and come back in turn.
const RETURN_GRACE: Duration = Duration::from_secs(600);
/// Longest time between two steps. After a longer one this process was stopped, and heard nobody.
const MAX_STEP: Duration = Duration::from_secs(3);

/// Another instance, as this one hears it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneHash,
    /// Its position in the common order.
    pub order: Option<u64>,
    /// When it was heard last, or became known.
    pub heard_at: Moment,
    /// Whether it lives, as far as is known, and places calls. Placers announce themselves to all, and all others
    /// to the placers of their data centre.
    pub is_placer: bool,
    /// Whether it was heard from lately.
    pub is_heard: bool,
}

/// This instance among the others.
#[derive(Clone, Copy, Debug)]
pub struct Own {
    /// Its data centre.
    pub zone: ZoneHash,
    /// Its position in the common order.
    pub order: u64,
}

/// Removes instances that have gone.
#[derive(Debug, Default)]
pub struct Eviction {
    last_step: Option<Moment>,
    /// Since when this process has run without a stop.
    running_since: Moment,
    removed: HashMap<SocketAddr, Moment>,
    /// Those that came back, and until when they stay whatever is heard of them.
    returned: HashMap<SocketAddr, Moment>,
}

impl Eviction {
    /// Instances to remove now, if this one is a placer and it falls to it. To be called at least every second.
    pub fn due(&mut self, own: Own, members: &[Member], now: Moment) -> Vec<SocketAddr> {
        let before = self.last_step.replace(now);
        if before.is_none_or(|before| now.saturating_sub(before) > MAX_STEP) {
            self.running_since = now;
        }
        self.returned.retain(|_, until| now < *until);
        self.removed
            .retain(|_, at| now.saturating_sub(*at) < RETURN_GRACE);
        let gone_after = match members.iter().any(|member| member.is_heard) {
            true => GONE_AFTER,
            false => GONE_AFTER_ALONE,
        };
        let is_gone = |member: &&Member| {
            let silent_since = member.heard_at.max(self.running_since);
            now.saturating_sub(silent_since) >= gone_after
                && !self.returned.contains_key(&member.address)
                && is_judge(own, members, member.zone)
        };
        let gone = members.iter().filter(is_gone);
        gone.map(|member| member.address).collect()
    }

    /// Records that the store accepted a removal.
    pub fn on_removed(&mut self, address: SocketAddr, now: Moment) {
        self.removed.insert(address, now);
    }

    /// Records that an instance has registered.
    pub fn on_registered(&mut self, address: SocketAddr, now: Moment) {
        if self.removed.remove(&address).is_some() {
            self.returned.insert(address, now + RETURN_GRACE);
        }
    }
}

/// Whether this placer is the first of those that hear the instances of a data centre: its own placers, or all if
/// it has none any more.
fn is_judge(own: Own, members: &[Member], zone: ZoneHash) -> bool {
    let mut placers = members.iter().filter(|member| member.is_placer);
    let is_after = |other: &Member| other.order.is_none_or(|order| own.order < order);
    if own.zone == zone {
        placers.all(|other| other.zone != zone || is_after(other))
    } else {
        placers.all(|other| other.zone != zone && is_after(other))
    }
}
