//! One subject's limits at one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;

use super::bucket::Bucket;
use super::group::{Group, Pair, Parts, Peaks, ROUNDING, Split, Told};
use super::share::{self, Peak, Share};
use super::{Demand, Quota};
use crate::{peers, rate::Rate, request::Subject};

/// Time over which demand is smoothed.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Relative change of demand below which the last told value stands, and the standard errors of a
/// counted rate that come on top. Without them the noise of arrivals would move shares all the time,
/// and as they rise late, their sum would stay below the limit.
const DEAD_BAND: f64 = 0.2;
const DEAD_ERRORS: f64 = 2.0;

/// Part of the places that is divided equally, whatever the demand.
const EQUAL_PLACES: f64 = 0.25;

/// Demand a second below which a subject is not mentioned.
const NEGLIGIBLE: f64 = 0.01;

/// Longest time that a refused caller is told on account of concurrency, where no rate says when a
/// place is free.
const CONCURRENCY_WAIT: Duration = Duration::from_secs(1);

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
pub struct Refused {
    /// Which limit.
    pub kind: Kind,
    /// Time until it would have let the request in, if nothing else came.
    pub wait: Duration,
}

/// What a request used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Used {
    /// Tokens that were charged when it was let in.
    pub expected: u64,
    /// Tokens that it used in the end.
    pub actual: u64,
}

impl Used {
    /// Nothing of what was expected.
    pub fn nothing(expected: u64) -> Self {
        Self {
            expected,
            actual: 0,
        }
    }
}

/// A limited rate.
#[derive(Clone, Debug)]
struct Meter {
    limit: f64,
    share: Share,
    bucket: Bucket,
}

impl Meter {
    fn new(now: Moment, limit: f64, part: f64, least: f64) -> Self {
        Self {
            limit,
            share: Share::new(now, part),
            bucket: Bucket::new(now, limit * part, least),
        }
    }

    fn aim(&mut self, group: &Group<'_>, part: f64) {
        let part = self.share.aim(group.now, part, group.config.settle);
        self.bucket.set_rate(group.now, self.limit * part);
    }
}

/// State of one subject.
#[derive(Clone, Debug)]
pub(super) struct Account {
    initial: f64,
    requests: Option<Meter>,
    tokens: Option<Meter>,
    concurrent: Option<u32>,
    /// Own part of the concurrent requests, as a number of them.
    places: Share,
    open: u32,
    asked: [Rate; 2],
    told: Pair,
    peers: BTreeMap<peers::Id, Told>,
}

impl Account {
    pub(super) fn new(now: Moment, initial: f64) -> Self {
        Self {
            initial,
            requests: None,
            tokens: None,
            concurrent: None,
            places: Share::new(now, 0.0),
            open: 0,
            asked: [Rate::new(now, DEMAND_WINDOW); 2],
            told: Pair::default(),
            peers: BTreeMap::new(),
        }
    }

    pub(super) fn set_terms(&mut self, now: Moment, terms: &Quota) {
        self.requests = renew(now, self.requests.take(), terms.requests, self.initial, 1.0);
        self.tokens = renew(now, self.tokens.take(), terms.tokens, self.initial, 0.0);
        if self.concurrent != terms.concurrent {
            let places = f64::from(terms.concurrent.unwrap_or(0)) * self.initial;
            self.places = Share::new(now, places.max(self.places.in_force()));
        }
        self.concurrent = terms.concurrent;
    }

    pub(super) fn keep_peers(&mut self, peers: &BTreeSet<peers::Id>) {
        self.peers.retain(|peer, _| peers.contains(peer));
    }

    pub(super) fn forget(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    pub(super) fn take(&mut self, now: Moment, peer: &peers::Id, demand: Option<&Demand>) {
        let peaks = self.peers.get(peer).map(|told| told.peaks);
        let told = Told {
            at: now,
            demand: demand.map_or(Pair::default(), |demand| Pair {
                requests: demand.requests,
                tokens: demand.tokens,
            }),
            open: demand.map_or(0, |demand| demand.in_flight),
            peaks: peaks.unwrap_or_default(),
        };
        self.peers.insert(peer.clone(), told);
    }

    pub(super) fn tell(&mut self, now: Moment, subject: &Subject) -> Option<Demand> {
        let asked = self.asked.map(|rate| rate.per_second(now));
        let noise = DEAD_BAND + DEAD_ERRORS * relative_error(self.told.requests);
        self.told.requests = steady(self.told.requests, asked[0], noise);
        self.told.tokens = steady(self.told.tokens, asked[1], noise);
        if self.told.requests == 0.0 && self.open == 0 {
            return None;
        }
        Some(Demand {
            subject: subject.clone(),
            requests: self.told.requests,
            tokens: self.told.tokens,
            in_flight: self.open,
        })
    }

    pub(super) fn note(&mut self, now: Moment, tokens: f64) {
        self.asked[0].record(now, 1.0);
        self.asked[1].record(now, tokens);
    }

    pub(super) fn check(&mut self, now: Moment, tokens: f64) -> Result<(), Refused> {
        let requests = self.requests.as_mut();
        let wait = requests.map_or(Duration::ZERO, |meter| meter.bucket.wait(now, 1.0));
        refuse_if(Kind::Requests, wait)?;
        let meter = self.tokens.as_mut();
        let wait = meter.map_or(Duration::ZERO, |meter| meter.bucket.wait(now, tokens));
        refuse_if(Kind::Tokens, wait)?;
        let full = self.concurrent.is_some() && f64::from(self.open) + 1.0 > self.places.in_force();
        refuse_if(Kind::Concurrent, CONCURRENCY_WAIT * u32::from(full))
    }

    pub(super) fn charge(&mut self, tokens: f64) {
        self.open += 1;
        if let Some(meter) = &mut self.requests {
            meter.bucket.charge(1.0);
        }
        if let Some(meter) = &mut self.tokens {
            meter.bucket.charge(tokens);
        }
    }

    pub(super) fn release(&mut self, used: Used) {
        self.open = self.open.saturating_sub(1);
        if let Some(meter) = &mut self.tokens {
            meter
                .bucket
                .charge(used.actual as f64 - used.expected as f64);
        }
    }

    /// Computes the shares of all entries and takes its own.
    pub(super) fn share(&mut self, group: &Group<'_>) {
        let Some(peers) = group.peers else {
            return;
        };
        let split = self.split(group, peers);
        if let Some(meter) = &mut self.requests {
            let limit = meter.limit;
            let parts = split.divide(|told| told.requests / limit, |parts| parts.requests);
            meter.aim(group, parts[split.own]);
            self.keep(group, &split, &parts, |own| &mut own.requests);
        }
        if let Some(meter) = &mut self.tokens {
            let limit = meter.limit;
            let parts = split.divide(|told| told.tokens / limit, |parts| parts.tokens);
            meter.aim(group, parts[split.own]);
            self.keep(group, &split, &parts, |own| &mut own.tokens);
        }
        if let Some(limit) = self.concurrent {
            self.share_places(group, &split, limit);
        }
    }

    /// Divides the places of concurrent requests by the demand for requests. A place that another
    /// entry still has in use beyond its part is not given out.
    ///
    /// Demand for places is known as shares only, and shares of all that is asked add up to the
    /// whole: an entry that was not asked yet would get no place, and refuse its first request with
    /// hundreds of places free. So a part is divided equally.
    fn share_places(&mut self, group: &Group<'_>, split: &Split, limit: u32) {
        let total: f64 = split.active.iter().map(|(_, told)| told.requests).sum();
        let available = split.available(|parts| parts.places);
        let by_demand = available * (1.0 - EQUAL_PLACES) / total.max(f64::MIN_POSITIVE);
        let parts = split.divide(|told| told.requests * by_demand, |parts| parts.places);
        let shares: share::Shares = parts.iter().map(|part| part * f64::from(limit)).collect();
        let sum: f64 = shares.iter().sum();
        // A sum of shares that is a whole number but for rounding must not lose a place.
        let places = share::whole((sum + ROUNDING) as u32, &shares);
        let others = split.used_by_others(&places, limit, &self.peers);
        let own = places[split.own].min(limit.saturating_sub(others));
        self.places
            .aim(group.now, f64::from(own), group.config.settle);
        self.keep(group, split, &parts, |own| &mut own.places);
    }

    /// Sorts the entries into those whose demand counts and those whose share is frozen.
    fn split(&self, group: &Group<'_>, peers: &BTreeSet<peers::Id>) -> Split {
        let mut split = Split::default();
        let equal = 1.0 / (peers.len() + 1) as f64;
        for peer in peers {
            match self.peers.get(peer) {
                None => split.frozen.push((peer.clone(), Parts::all(equal))),
                Some(told) if group.now.saturating_sub(told.at) > group.config.silent => {
                    split.frozen.push((peer.clone(), told.peaks.most()));
                }
                Some(told) => split.active.push((peer.clone(), told.demand)),
            }
        }
        let own = (group.own.clone(), self.told);
        split.own = split.active.partition_point(|(peer, _)| peer < group.own);
        split.active.insert(split.own, own);
        split
    }

    /// Remembers the parts of the peers, to freeze them should they fall silent.
    fn keep(
        &mut self,
        group: &Group<'_>,
        split: &Split,
        parts: &[f64],
        field: impl Fn(&mut Peaks) -> &mut Peak,
    ) {
        for ((peer, _), part) in split.active.iter().zip(parts) {
            if let Some(told) = self.peers.get_mut(peer) {
                field(&mut told.peaks).note(group.now, *part, group.config.memory());
            }
        }
    }
}

/// The meter of a limit that may have changed; what was used so far stays used.
fn renew(
    now: Moment,
    old: Option<Meter>,
    limit: Option<f64>,
    initial: f64,
    least: f64,
) -> Option<Meter> {
    let limit = limit?;
    let Some(mut meter) = old else {
        return Some(Meter::new(now, limit, initial, least));
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
fn steady(told: f64, asked: f64, noise: f64) -> f64 {
    if asked < NEGLIGIBLE {
        return 0.0;
    }
    if (asked - told).abs() <= told * noise {
        return told;
    }
    asked
}

fn refuse_if(kind: Kind, wait: Duration) -> Result<(), Refused> {
    if wait.is_zero() {
        return Ok(());
    }
    Err(Refused { kind, wait })
}
