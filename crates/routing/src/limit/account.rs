//! Limits of one subject at one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;

use super::bucket::Bucket;
use super::group::{Allocation, Group, LimitShares, PeakShares, PeerState, ROUNDING, RateDemand};
use super::share::{self, Peak, Share};
use super::{Demand, Quota};
use crate::{peers, rate::Rate, request::Subject};

/// Smoothing window of the demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Relative change of demand below which the last advertised value stands, and the number of
/// standard errors of the measured rate added to it. Without them the noise of arrivals would move
/// shares constantly, and since shares rise late, their sum would stay below the limit.
const DEAD_BAND: f64 = 0.2;
const DEAD_BAND_ERRORS: f64 = 2.0;

/// Share of the concurrency slots that is divided equally, regardless of demand.
const EQUAL_SLOTS_SHARE: f64 = 0.25;

/// Demand per second below which a subject is not advertised.
const MIN_DEMAND: f64 = 0.01;

/// Retry time for refusals by the concurrency limit, where no rate predicts when a slot is free.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Kind of limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Concurrent requests.
    Concurrent,
}

/// A refusal because a limit is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The limit that is exceeded.
    pub kind: Kind,
    /// Time until the request would be admitted if no others arrived.
    pub wait: Duration,
}

/// Expected and actual usage of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Tokens charged at admission.
    pub expected: u64,
    /// Tokens used in the end.
    pub actual: u64,
}

impl Usage {
    /// No usage, although `expected` tokens were charged.
    pub fn none(expected: u64) -> Self {
        Self {
            expected,
            actual: 0,
        }
    }
}

/// A rate limit and this entry's share of it.
#[derive(Clone, Debug)]
struct RateLimit {
    limit: f64,
    share: Share,
    bucket: Bucket,
}

impl RateLimit {
    fn new(now: Moment, limit: f64, part: f64, min_capacity: f64) -> Self {
        Self {
            limit,
            share: Share::new(now, part),
            bucket: Bucket::new(now, limit * part, min_capacity),
        }
    }

    fn set_share(&mut self, group: &Group<'_>, part: f64) {
        let part = self.share.update(group.now, part, group.config.raise_delay);
        self.bucket.set_rate(group.now, self.limit * part);
    }
}

/// Limits and demand of one subject.
#[derive(Clone, Debug)]
pub(super) struct Account {
    initial_share: f64,
    requests: Option<RateLimit>,
    tokens: Option<RateLimit>,
    concurrent: Option<u32>,
    /// This entry's share of the concurrency limit, in slots.
    slots: Share,
    in_flight: u32,
    requested: [Rate; 2],
    advertised: RateDemand,
    peers: BTreeMap<peers::Id, PeerState>,
}

impl Account {
    pub(super) fn new(now: Moment, initial_share: f64) -> Self {
        Self {
            initial_share,
            requests: None,
            tokens: None,
            concurrent: None,
            slots: Share::new(now, 0.0),
            in_flight: 0,
            requested: [Rate::new(now, DEMAND_WINDOW); 2],
            advertised: RateDemand::default(),
            peers: BTreeMap::new(),
        }
    }

    pub(super) fn set_quota(&mut self, now: Moment, quota: &Quota) {
        self.requests = updated_rate_limit(
            now,
            self.requests.take(),
            quota.requests,
            self.initial_share,
            1.0,
        );
        self.tokens = updated_rate_limit(
            now,
            self.tokens.take(),
            quota.tokens,
            self.initial_share,
            0.0,
        );
        if self.concurrent != quota.concurrent {
            let slots = f64::from(quota.concurrent.unwrap_or(0)) * self.initial_share;
            self.slots = Share::new(now, slots.max(self.slots.in_force()));
        }
        self.concurrent = quota.concurrent;
    }

    pub(super) fn retain_peers(&mut self, peers: &BTreeSet<peers::Id>) {
        self.peers.retain(|peer, _| peers.contains(peer));
    }

    pub(super) fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    pub(super) fn update_peer(&mut self, now: Moment, peer: &peers::Id, demand: Option<&Demand>) {
        let peaks = self.peers.get(peer).map(|state| state.peaks);
        let state = PeerState {
            at: now,
            demand: demand.map_or(RateDemand::default(), |demand| RateDemand {
                requests: demand.requests,
                tokens: demand.tokens,
            }),
            in_flight: demand.map_or(0, |demand| demand.in_flight),
            peaks: peaks.unwrap_or_default(),
        };
        self.peers.insert(peer.clone(), state);
    }

    pub(super) fn advertise(&mut self, now: Moment, subject: &Subject) -> Option<Demand> {
        let requested = self.requested.map(|rate| rate.per_second(now));
        let band = DEAD_BAND + DEAD_BAND_ERRORS * relative_error(self.advertised.requests);
        self.advertised.requests = with_dead_band(self.advertised.requests, requested[0], band);
        self.advertised.tokens = with_dead_band(self.advertised.tokens, requested[1], band);
        if self.advertised.requests == 0.0 && self.in_flight == 0 {
            return None;
        }
        Some(Demand {
            subject: subject.clone(),
            requests: self.advertised.requests,
            tokens: self.advertised.tokens,
            in_flight: self.in_flight,
        })
    }

    pub(super) fn record_request(&mut self, now: Moment, tokens: f64) {
        self.requested[0].record(now, 1.0);
        self.requested[1].record(now, tokens);
    }

    pub(super) fn check(&mut self, now: Moment, tokens: f64) -> Result<(), LimitExceeded> {
        let requests = self.requests.as_mut();
        let wait = requests.map_or(Duration::ZERO, |limiter| limiter.bucket.wait(now, 1.0));
        refuse_if(Kind::Requests, wait)?;
        let limiter = self.tokens.as_mut();
        let wait = limiter.map_or(Duration::ZERO, |limiter| limiter.bucket.wait(now, tokens));
        refuse_if(Kind::Tokens, wait)?;
        let full =
            self.concurrent.is_some() && f64::from(self.in_flight) + 1.0 > self.slots.in_force();
        refuse_if(Kind::Concurrent, CONCURRENCY_RETRY_AFTER * u32::from(full))
    }

    pub(super) fn charge(&mut self, tokens: f64) {
        self.in_flight += 1;
        if let Some(limiter) = &mut self.requests {
            limiter.bucket.charge(1.0);
        }
        if let Some(limiter) = &mut self.tokens {
            limiter.bucket.charge(tokens);
        }
    }

    pub(super) fn release(&mut self, usage: Usage) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(limiter) = &mut self.tokens {
            limiter
                .bucket
                .charge(usage.actual as f64 - usage.expected as f64);
        }
    }

    /// Computes the shares of all entries and applies this entry's.
    pub(super) fn update_shares(&mut self, group: &Group<'_>) {
        let Some(peers) = group.peers else {
            return;
        };
        let allocation = self.allocate(group, peers);
        if let Some(limiter) = &mut self.requests {
            let limit = limiter.limit;
            let parts =
                allocation.divide(|demand| demand.requests / limit, |shares| shares.requests);
            limiter.set_share(group, parts[allocation.own]);
            self.record_peaks(group, &allocation, &parts, |own| &mut own.requests);
        }
        if let Some(limiter) = &mut self.tokens {
            let limit = limiter.limit;
            let parts = allocation.divide(|demand| demand.tokens / limit, |shares| shares.tokens);
            limiter.set_share(group, parts[allocation.own]);
            self.record_peaks(group, &allocation, &parts, |own| &mut own.tokens);
        }
        if let Some(limit) = self.concurrent {
            self.update_slots(group, &allocation, limit);
        }
    }

    /// Divides the concurrency slots by the demand for requests. A slot that another entry still
    /// uses beyond its share is not granted.
    ///
    /// Demand for slots is known only relative to the total, so all of it would be divided among
    /// the entries with demand: an entry without any would get no slot and refuse its first
    /// request while hundreds are free. Some slots are therefore divided equally.
    fn update_slots(&mut self, group: &Group<'_>, allocation: &Allocation, limit: u32) {
        let total: f64 = allocation
            .active
            .iter()
            .map(|(_, demand)| demand.requests)
            .sum();
        let available = allocation.available(|shares| shares.slots);
        let by_demand = available * (1.0 - EQUAL_SLOTS_SHARE) / total.max(f64::MIN_POSITIVE);
        let parts = allocation.divide(|demand| demand.requests * by_demand, |shares| shares.slots);
        let shares: share::Shares = parts.iter().map(|part| part * f64::from(limit)).collect();
        let sum: f64 = shares.iter().sum();
        // Rounding errors must not lose a slot when the shares add up to a whole number.
        let slots = share::round_to_whole((sum + ROUNDING) as u32, &shares);
        let others = allocation.used_by_others(&slots, limit, &self.peers);
        let own = slots[allocation.own].min(limit.saturating_sub(others));
        self.slots
            .update(group.now, f64::from(own), group.config.raise_delay);
        self.record_peaks(group, allocation, &parts, |own| &mut own.slots);
    }

    /// Divides the entries into active ones, whose demand counts, and those with a frozen share.
    fn allocate(&self, group: &Group<'_>, peers: &BTreeSet<peers::Id>) -> Allocation {
        let mut allocation = Allocation::default();
        let equal = 1.0 / (peers.len() + 1) as f64;
        for peer in peers {
            match self.peers.get(peer) {
                None => allocation
                    .frozen
                    .push((peer.clone(), LimitShares::uniform(equal))),
                Some(state)
                    if group.now.saturating_sub(state.at) > group.config.silence_timeout =>
                {
                    allocation.frozen.push((peer.clone(), state.peaks.max()));
                }
                Some(state) => allocation.active.push((peer.clone(), state.demand)),
            }
        }
        let own = (group.own.clone(), self.advertised);
        allocation.own = allocation
            .active
            .partition_point(|(peer, _)| peer < group.own);
        allocation.active.insert(allocation.own, own);
        allocation
    }

    /// Records the peers' shares, which are frozen if they fall silent.
    fn record_peaks(
        &mut self,
        group: &Group<'_>,
        allocation: &Allocation,
        parts: &[f64],
        field: impl Fn(&mut PeakShares) -> &mut Peak,
    ) {
        for ((peer, _), part) in allocation.active.iter().zip(parts) {
            if let Some(state) = self.peers.get_mut(peer) {
                field(&mut state.peaks).record(group.now, *part, group.config.peak_memory());
            }
        }
    }
}

/// The rate limit after a change of its quota; usage so far stays counted.
fn updated_rate_limit(
    now: Moment,
    old: Option<RateLimit>,
    limit: Option<f64>,
    initial_share: f64,
    min_capacity: f64,
) -> Option<RateLimit> {
    let limit = limit?;
    let Some(mut limiter) = old else {
        return Some(RateLimit::new(now, limit, initial_share, min_capacity));
    };
    limiter.limit = limit;
    let part = limiter.share.in_force();
    limiter.bucket.set_rate(now, limit * part);
    Some(limiter)
}

/// Relative standard error of a smoothed rate of independent arrivals.
fn relative_error(rate: f64) -> f64 {
    let counted = 2.0 * DEMAND_WINDOW.as_secs_f64() * rate;
    if counted <= 0.0 {
        return 0.0;
    }
    (1.0 / counted.sqrt()).min(1.0)
}

/// The value to advertise: the last one while the new one is within the dead band.
fn with_dead_band(advertised: f64, requested: f64, band: f64) -> f64 {
    if requested < MIN_DEMAND {
        return 0.0;
    }
    if (requested - advertised).abs() <= advertised * band {
        return advertised;
    }
    requested
}

fn refuse_if(kind: Kind, wait: Duration) -> Result<(), LimitExceeded> {
    if wait.is_zero() {
        return Ok(());
    }
    Err(LimitExceeded { kind, wait })
}
