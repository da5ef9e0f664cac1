//! Rate limits that engines announce, divided among the instances that place calls.
//!
//! A limit applies to all instances together, and no instance counts for all. Each limit is
//! therefore divided among a few of the placers, which every instance determines alike from the
//! live ones, as [`crate::placer`] does; an instance without a share leaves the engine to those
//! that have one. There is no shared counter: a lost frame leaves an old limit in force for a
//! moment, but causes no requests beyond the new one. See `docs/design/rate-limits.md`.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::placer::{self, Placers, ZoneHash};
use crate::{EngineId, ServiceName};

/// Requests per second that an engine accepts from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// A number that is not a valid rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidRate(pub f64);

impl TryFrom<f64> for Rate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(InvalidRate(per_second))
        }
    }
}

impl Rate {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A rate limit that an engine announced, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Announcement {
    /// The limit; `None` if it was lifted.
    pub limit: Option<Rate>,
    /// When it was announced, by this instance's clock: the arrival of an answer that names a
    /// limit, which may be long before it is handled, or the sending of a request whose answer names
    /// none. Answers may overtake each other, and one that left before the limit was set must not
    /// lift it.
    pub at: Moment,
}

/// Number of instances that share a limit below one request per second. More would leave each with
/// a request per minute; fewer would leave a service whose engines are all limited to one instance.
const MIN_HOLDERS: usize = 2;
/// Placers that repeat a limit to all others. Two, so that one that knows it remains if the other
/// ends or is new.
const REPEATERS: usize = 2;
/// Time for which an unused share is kept, beyond one request, so that unevenly spaced calls can
/// use it.
const BURST: Duration = Duration::from_millis(500);
/// Longest time between two requests of one instance. An engine that accepts next to nothing can
/// raise its limit only in an answer.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Longest `Retry-After` of a refusal by rate limits. Announced limits may change in less.
const MAX_DEFERRAL: Duration = Duration::from_secs(10);
/// Time for which a lifted limit is remembered, so that a late older announcement does not restore
/// it.
const LIFTED_MEMORY: Duration = Duration::from_secs(10);

/// One instance's share of a limit: a token bucket, stored as the time of the next request.
#[derive(Clone, Copy, Debug)]
struct Share {
    interval: Duration,
    next: Moment,
}

impl Share {
    /// An empty bucket.
    fn new(per_second: f64, now: Moment) -> Self {
        let interval = interval(per_second);
        Self {
            interval,
            next: now + interval.max(BURST),
        }
    }

    /// Time until one more request may be sent.
    fn wait(&self, now: Moment) -> Duration {
        let burst = BURST.saturating_sub(self.interval);
        self.next.saturating_sub(now + burst)
    }

    fn charge(&mut self, now: Moment) {
        self.next = self.next.max(now) + self.interval;
    }
}

fn interval(per_second: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / per_second)
        .map_or(MAX_INTERVAL, |time| time.min(MAX_INTERVAL))
}

#[derive(Clone, Debug)]
struct Limit {
    last: Announcement,
    /// This instance's share, if it has one.
    share: Option<Share>,
}

/// Whether the rate limit of an engine admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// After this time; zero if at once.
    After(Duration),
    /// Not from this instance, which has no share of the limit. The engine accepts one request in
    /// this time.
    Elsewhere(Duration),
}

/// The rate limits of all engines.
#[derive(Clone, Debug, Default)]
pub struct Throttles {
    limits: BTreeMap<EngineId, Limit>,
    /// When the engines of each service will have accepted the calls that this instance refused for
    /// their limits.
    refused_until: BTreeMap<ServiceName, Moment>,
    own: Option<SocketAddr>,
    placers: Placers,
    /// Engines whose limits have changed since they were last taken.
    changed: Vec<EngineId>,
}

impl Throttles {
    /// Sets who places calls, and divides all limits anew.
    pub fn set_placers(&mut self, own: SocketAddr, placers: &Placers, now: Moment) {
        if self.own == Some(own) && self.placers == *placers {
            return;
        }
        let known = &self.placers.others;
        let is_new = |other: &(SocketAddr, ZoneHash)| !known.contains(other);
        let has_new = placers.others.iter().any(is_new);
        self.own = Some(own);
        self.placers = placers.clone();
        let engines: Vec<EngineId> = self.limits.keys().cloned().collect();
        for engine in &engines {
            self.update_share(engine, now);
        }
        // A new placer knows no limits, and may be the one to repeat them.
        if has_new && placers.includes_self {
            self.changed = engines;
        }
    }

    /// Merges an announcement. Returns whether the engine's limit changed.
    pub fn merge(&mut self, engine: &EngineId, announcement: Announcement, now: Moment) -> bool {
        let before = self.limits.get(engine).map(|limit| limit.last);
        if before.is_none() && announcement.limit.is_none()
            || before.is_some_and(|before| before.at > announcement.at)
        {
            return false;
        }
        let limit = self.limits.entry(engine.clone()).or_insert(Limit {
            last: announcement,
            share: None,
        });
        limit.last = announcement;
        let changed = before.and_then(|before| before.limit) != announcement.limit;
        if changed {
            self.update_share(engine, now);
            if !self.changed.contains(engine) {
                self.changed.push(engine.clone());
            }
        }
        changed
    }

    /// Whether a request may be sent to an engine.
    pub fn permit(&self, engine: &str, now: Moment) -> Permit {
        let Some((limit, rate)) = self.in_force(engine) else {
            return Permit::After(Duration::ZERO);
        };
        match &limit.share {
            Some(share) => Permit::After(share.wait(now)),
            None => Permit::Elsewhere(interval(rate.per_second())),
        }
    }

    /// Charges a request that is sent to an engine, with or without [`Throttles::permit`].
    pub fn charge(&mut self, engine: &str, now: Moment) {
        let limit = self.limits.get_mut(engine);
        if let Some(share) = limit.and_then(|limit| limit.share.as_mut()) {
            share.charge(now);
        }
    }

    /// Counts a call that is refused because engines of a service are limited. Returns the time in
    /// which they accept as many calls as were refused before it, so that callers come back one
    /// after the other, and not while they would be refused again. `per_second` is the sum of the
    /// engines' limits.
    pub fn defer(&mut self, service: &ServiceName, per_second: f64, now: Moment) -> Duration {
        let instances = 1 + self.placers.others.len();
        #[allow(clippy::cast_precision_loss)]
        let own = per_second / instances as f64;
        let until = self.refused_until.entry(service.clone()).or_default();
        *until = (*until).max(now) + interval(own);
        *until = (*until).min(now + MAX_DEFERRAL);
        *until - now
    }

    /// Requests per second that this instance may send to an engine, if the engine is limited.
    pub fn share(&self, engine: &str) -> Option<f64> {
        let (limit, _) = self.in_force(engine)?;
        let share = limit.share.as_ref();
        Some(share.map_or(0.0, |share| 1.0 / share.interval.as_secs_f64()))
    }

    /// The limit of an engine, if it has one.
    pub fn limit(&self, engine: &str) -> Option<Rate> {
        Some(self.in_force(engine)?.1)
    }

    /// Number of engines with a limit.
    pub fn count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.last.limit.is_some()).count()
    }

    /// The latest announcements of engines whose limits have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(EngineId, Announcement)> {
        let changed = std::mem::take(&mut self.changed);
        let announcements = changed.into_iter().filter_map(|engine| {
            let last = self.limits.get(&engine)?.last;
            Some((engine, last))
        });
        announcements.collect()
    }

    /// Announcements that this instance repeats to all others; each is repeated by `REPEATERS`
    /// placers.
    pub fn to_repeat(&self) -> Vec<(EngineId, Announcement)> {
        let own = self.own.filter(|_| self.placers.includes_self);
        let Some(own) = own else {
            return Vec::new();
        };
        let own_limits = self
            .limits
            .iter()
            .filter(|(engine, _)| placer::rank(engine, own, &self.placers.others) < REPEATERS);
        own_limits
            .map(|(engine, limit)| (engine.clone(), limit.last))
            .collect()
    }

    /// Forgets limits that were lifted `LIFTED_MEMORY` ago or earlier.
    pub fn forget_long_lifted_limits(&mut self, now: Moment) {
        self.limits.retain(|_, limit| {
            limit.last.limit.is_some() || now.saturating_sub(limit.last.at) < LIFTED_MEMORY
        });
    }

    /// Forgets the limit of an engine that has gone.
    pub fn forget(&mut self, engine: &str) {
        self.limits.remove(engine);
    }

    fn in_force(&self, engine: &str) -> Option<(&Limit, Rate)> {
        let limit = self.limits.get(engine)?;
        Some((limit, limit.last.limit?))
    }

    fn update_share(&mut self, engine: &EngineId, now: Moment) {
        let own_rate = |rate: Rate| self.own_rate(engine, rate);
        let Some(limit) = self.limits.get(engine) else {
            return;
        };
        let per_second = limit.last.limit.and_then(own_rate);
        let before = limit.share;
        let share = per_second.map(|per_second| {
            let empty = Share::new(per_second, now);
            // Requests sent under the old limit count under the new one, up to an empty bucket.
            let next = before.map_or(empty.next, |before| before.next.min(empty.next));
            Share { next, ..empty }
        });
        if let Some(limit) = self.limits.get_mut(engine) {
            limit.share = share;
        }
    }

    /// This instance's share of a limit, in requests per second.
    fn own_rate(&self, engine: &EngineId, limit: Rate) -> Option<f64> {
        let own = self.own?;
        let others = &self.placers.others;
        let limit = limit.per_second();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let max_holders = (limit as usize).saturating_add(MIN_HOLDERS);
        #[allow(clippy::cast_precision_loss)]
        let divided = |holders: usize| limit / holders as f64;
        if self.placers.includes_self {
            let holders = max_holders.min(1 + others.len());
            let rank = placer::rank(engine, own, others);
            (rank < holders).then(|| divided(holders))
        } else if others.is_empty() {
            // The other placers are not known yet, but some will be.
            Some(divided(max_holders))
        } else {
            None
        }
    }
}
