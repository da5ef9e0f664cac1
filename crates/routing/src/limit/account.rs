//! One subject's limits at one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;

use super::bucket::Bucket;
use super::group::{Allocation, Group, LimitShares, PeakShares, PeerState, ROUNDING, RateDemand};
use super::share::{self, Peak, Share};
use super::{Demand, Quota};
use crate::{peers, rate::Rate, request::Subject};

/// Time over which demand is smoothed.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Relative change of demand below which the last told value stands, and the standard errors of a
/// counted rate that come on top. Without them the noise of arrivals would move shares all the time,
/// and as they rise late, their sum would stay below the limit.
const DEAD_BAND: f64 = 0.2;
const DEAD_BAND_ERRORS: f64 = 2.0;

/// Part of the places that is divided equally, whatever the demand.
const EQUAL_SLOTS_SHARE: f64 = 0.25;

/// Demand a second below which a subject is not mentioned.
const MIN_DEMAND: f64 = 0.01;

/// Longest time that a refused caller is told on account of concurrency, where no rate says when a
/// place is free.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Which of its limits refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests a second.
    Requests,
    /// Tokens a second.
    Tokens,
    /// Requests at once.
    Concurrent,
}

/// A refusal by a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Which limit.
    pub kind: Kind,
    /// Time until it would have let the request in, if nothing else came.
    pub wait: Duration,
}

/// What a request used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Tokens that were charged when it was let in.
    pub expected: u64,
    /// Tokens that it used in the end.
    pub actual: u64,
}

impl Usage {
    /// Nothing of what was expected.
    pub fn none(expected: u64) -> Self {
        Self {
            expected,
            actual: 0,
        }
    }
}

/// A limited rate.
#[derive(Clone, Debug)]
struct RateLimit {
    limit: f64,
    share: Share,
    bucket: Bucket,
}

impl RateLimit {
    fn new(now: Moment, limit: f64, part: f64, least: f64) -> Self {
        Self {
            limit,
            share: Share::new(now, part),
            bucket: Bucket::new(now, limit * part, least),
        }
    }

    fn set_share(&mut self, group: &Group<'_>, part: f64) {
        let part = self.share.update(group.now, part, group.config.raise_delay);
        self.bucket.set_rate(group.now, self.limit * part);
    }
}

/// State of one subject.
#[derive(Clone, Debug)]
pub(super) struct Account {
    initial_share: f64,
    requests: Option<RateLimit>,
    tokens: Option<RateLimit>,
    concurrent: Option<u32>,
    /// Own part of the concurrent requests, as a number of them.
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
            let places = f64::from(quota.concurrent.unwrap_or(0)) * self.initial_share;
            self.slots = Share::new(now, places.max(self.slots.in_force()));
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
        let peaks = self.peers.get(peer).map(|told| told.peaks);
        let told = PeerState {
            at: now,
            demand: demand.map_or(RateDemand::default(), |demand| RateDemand {
                requests: demand.requests,
                tokens: demand.tokens,
            }),
            in_flight: demand.map_or(0, |demand| demand.in_flight),
            peaks: peaks.unwrap_or_default(),
        };
        self.peers.insert(peer.clone(), told);
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
        let wait = requests.map_or(Duration::ZERO, |meter| meter.bucket.wait(now, 1.0));
        refuse_if(Kind::Requests, wait)?;
        let meter = self.tokens.as_mut();
        let wait = meter.map_or(Duration::ZERO, |meter| meter.bucket.wait(now, tokens));
        refuse_if(Kind::Tokens, wait)?;
        let full =
            self.concurrent.is_some() && f64::from(self.in_flight) + 1.0 > self.slots.in_force();
        refuse_if(Kind::Concurrent, CONCURRENCY_RETRY_AFTER * u32::from(full))
    }

    pub(super) fn charge(&mut self, tokens: f64) {
        self.in_flight += 1;
        if let Some(meter) = &mut self.requests {
            meter.bucket.charge(1.0);
        }
        if let Some(meter) = &mut self.tokens {
            meter.bucket.charge(tokens);
        }
    }

    pub(super) fn release(&mut self, used: Usage) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(meter) = &mut self.tokens {
            meter
                .bucket
                .charge(used.actual as f64 - used.expected as f64);
        }
    }

    /// Computes the shares of all entries and takes its own.
    pub(super) fn update_shares(&mut self, group: &Group<'_>) {
        let Some(peers) = group.peers else {
            return;
        };
        let split = self.allocate(group, peers);
        if let Some(meter) = &mut self.requests {
            let limit = meter.limit;
            let parts = split.divide(|told| told.requests / limit, |parts| parts.requests);
            meter.set_share(group, parts[split.own]);
            self.record_peaks(group, &split, &parts, |own| &mut own.requests);
        }
        if let Some(meter) = &mut self.tokens {
            let limit = meter.limit;
            let parts = split.divide(|told| told.tokens / limit, |parts| parts.tokens);
            meter.set_share(group, parts[split.own]);
            self.record_peaks(group, &split, &parts, |own| &mut own.tokens);
        }
        if let Some(limit) = self.concurrent {
            self.update_slots(group, &split, limit);
        }
    }

    /// Divides the places of concurrent requests by the demand for requests. A place that another
    /// entry still has in use beyond its part is not given out.
    ///
    /// Demand for places is known as shares only, and shares of all that is asked add up to the
    /// whole: an entry that was not asked yet would get no place, and refuse its first request with
    /// hundreds of places free. So a part is divided equally.
    fn update_slots(&mut self, group: &Group<'_>, split: &Allocation, limit: u32) {
        let total: f64 = split.active.iter().map(|(_, told)| told.requests).sum();
        let available = split.available(|parts| parts.slots);
        let by_demand = available * (1.0 - EQUAL_SLOTS_SHARE) / total.max(f64::MIN_POSITIVE);
        let parts = split.divide(|told| told.requests * by_demand, |parts| parts.slots);
        let shares: share::Shares = parts.iter().map(|part| part * f64::from(limit)).collect();
        let sum: f64 = shares.iter().sum();
        // A sum of shares that is a whole number but for rounding must not lose a place.
        let slots = share::round_to_whole((sum + ROUNDING) as u32, &shares);
        let others = split.used_by_others(&slots, limit, &self.peers);
        let own = slots[split.own].min(limit.saturating_sub(others));
        self.slots
            .update(group.now, f64::from(own), group.config.raise_delay);
        self.record_peaks(group, split, &parts, |own| &mut own.slots);
    }

    /// Sorts the entries into those whose demand counts and those whose share is frozen.
    fn allocate(&self, group: &Group<'_>, peers: &BTreeSet<peers::Id>) -> Allocation {
        let mut split = Allocation::default();
        let equal = 1.0 / (peers.len() + 1) as f64;
        for peer in peers {
            match self.peers.get(peer) {
                None => split
                    .frozen
                    .push((peer.clone(), LimitShares::uniform(equal))),
                Some(told) if group.now.saturating_sub(told.at) > group.config.silence_timeout => {
                    split.frozen.push((peer.clone(), told.peaks.max()));
                }
                Some(told) => split.active.push((peer.clone(), told.demand)),
            }
        }
        let own = (group.own.clone(), self.advertised);
        split.own = split.active.partition_point(|(peer, _)| peer < group.own);
        split.active.insert(split.own, own);
        split
    }

    /// Remembers the parts of the peers, to freeze them should they fall silent.
    fn record_peaks(
        &mut self,
        group: &Group<'_>,
        split: &Allocation,
        parts: &[f64],
        field: impl Fn(&mut PeakShares) -> &mut Peak,
    ) {
        for ((peer, _), part) in split.active.iter().zip(parts) {
            if let Some(told) = self.peers.get_mut(peer) {
                field(&mut told.peaks).record(group.now, *part, group.config.peak_memory());
            }
        }
    }
}

/// The meter of a limit that may have changed; what was used so far stays used.
fn updated_rate_limit(
    now: Moment,
    old: Option<RateLimit>,
    limit: Option<f64>,
    initial: f64,
    least: f64,
) -> Option<RateLimit> {
    let limit = limit?;
    let Some(mut meter) = old else {
        return Some(RateLimit::new(now, limit, initial, least));
    };
    meter.limit = limit;
    let part = meter.share.in_force();
    meter.bucket.set_rate(now, limit * part);
    Some(meter)
}

/// Standard error of a smoothed rate of independent arrivals, as a share of the rate.
fn relative_error(rate: f64) -> f64 {
    let counted = 2.0 * DEMAND_WINDOW.as_secs_f64() * rate;
    if counted <= 0.0 {
        return 0.0;
    }
    (1.0 / counted.sqrt()).min(1.0)
}

/// The value to tell: the old one while the new one is near.
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
