//! Divides contended engines between organisations.
//!
//! One organisation may send most of the calls. While a service is contended, an organisation whose
//! usage is above the water level is over its share: its calls go behind all others and only where
//! they can be on time, and the rest are refused at once. Usage is a decaying rate of engine time;
//! placers announce theirs to each other. See `docs/design/shares.md` for the alternatives.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Moment;

use crate::decaying_rate::retained;
use crate::engine::{Stage, Ticket};
use crate::fleet::PeerId;
use crate::organisation::Id;
use crate::{ServiceName, hash};

mod level;
mod stretch;
mod usage;

pub use level::{MAX_ANNOUNCED, MAX_ANNOUNCED_IN_ALL};
use stretch::Stretch;
use usage::{Hold, Usage};

/// What an organisation may take of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its calls are placed as if it were alone.
    Within,
    /// It uses more than its share of a contended service.
    Over {
        /// Time after which its usage will have decayed to its share.
        retry_after: Duration,
    },
}

/// The usage of a service that a placer announces to the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Use {
    /// The service.
    pub service: ServiceName,
    /// Usage of the organisations that use the most, in milliseconds of engine time per second.
    pub largest: Vec<(Id, f64)>,
    /// Sum of the usage of all others.
    pub rest: f64,
    /// Number of all others.
    pub rest_count: u32,
}

/// A contended service.
#[derive(Clone, Debug, PartialEq)]
pub struct Contention {
    /// The service.
    pub service: ServiceName,
    /// Water level in milliseconds of engine time per second.
    pub level: f64,
    /// The organisations above it that are known by id, with their usage, largest first.
    pub over: Vec<(Id, f64)>,
}

/// What a call costs its organisation.
#[derive(Clone, Debug)]
pub struct Cost {
    /// The service that is called.
    pub service: ServiceName,
    /// Stage of the engine, if the service has a model.
    pub stage: Option<Stage>,
    /// Slots of the engine.
    pub slots: u32,
    /// Time that reading its prompt takes, in milliseconds.
    pub reading_ms: f64,
    /// Forecast of its first answer, if it was placed behind the calls of others.
    pub forecast: Option<Duration>,
}

/// Time after the last sign of contention for which a service counts as contended, and over which
/// calls are counted for that.
const CONTENTION_TIME: Duration = Duration::from_secs(1);
/// Share of its latency target that a call must wait to show contention.
pub(crate) const CONTENDED_WAIT_SHARE: f64 = 0.5;
/// Share of recent calls that must show contention. In the waves of an ordinary mix a few calls
/// wait at times; refusing others for them would serve fewer.
const CONTENDED_CALLS_SHARE: f64 = 0.03;
/// Age after which a placer's announcement is dropped, as its work at engines is.
const ANNOUNCEMENT_AGE: Duration = Duration::from_millis(3_200);
/// Time for which a water level is kept: it changes slowly, and computing it sorts all usage.
const LEVEL_AGE: Duration = Duration::from_millis(20);
/// Range of the time after which a refused organisation may retry. Longer than the upper bound its
/// usage is unknown: it decays only if callers do stay away.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));
/// Range by which retry times are spread, relative to the shortest.
const RETRY_SPREAD: f64 = 0.5;
/// Organisations kept for each service. Beyond, inactive ones are dropped, and no further ones are
/// counted.
const MAX_ORGANISATIONS: usize = 4_096;
/// Interval at which inactive organisations are dropped while there are too many.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Services for which usage is kept. More than any configuration has.
const MAX_SERVICES: usize = 256;

/// Usage of all services by organisation.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    services: HashMap<ServiceName, Service>,
    /// Calls that have been charged and not ended.
    open: HashMap<Ticket, OpenCall>,
}

/// Decaying counts of recent calls, and of those that showed contention.
#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    calls: f64,
    contended: f64,
    updated_at: Moment,
}

impl Waits {
    fn add(&mut self, is_contended: bool, now: Moment) {
        let retained = retained(now.saturating_sub(self.updated_at), CONTENTION_TIME);
        self.calls = self.calls * retained + 1.0;
        self.contended = self.contended * retained + f64::from(u8::from(is_contended));
        self.updated_at = now;
    }

    fn share(&self) -> f64 {
        self.contended / self.calls.max(1.0)
    }
}

#[derive(Clone, Debug, Default)]
struct Service {
    own: HashMap<Id, Usage>,
    /// When inactive organisations were last dropped to make room.
    pruned_at: Option<Moment>,
    peers: BTreeMap<PeerId, Announcement>,
    holds: Hold,
    stretch: Stretch,
    waits: Waits,
    contended_at: Option<Moment>,
    /// The last water level, and when it was computed.
    level: Cell<Option<(Moment, f64)>>,
}

#[derive(Clone, Debug)]
struct Announcement {
    used: Use,
    at: Moment,
}

#[derive(Clone, Debug)]
struct OpenCall {
    cost: Cost,
    organisation: Id,
    begun_at: Moment,
    /// When it began to hold a slot.
    holds_since: Option<Moment>,
    /// Engine time charged so far, in milliseconds.
    charged_ms: f64,
}

impl Shares {
    /// The standing of an organisation at a service.
    pub fn standing(&self, service: &ServiceName, organisation: Id, now: Moment) -> Standing {
        let Some(known) = self.services.get(service).filter(|s| s.is_contended(now)) else {
            return Standing::Within;
        };
        let used = known.usage(organisation, now);
        let level = known.level(now);
        // Without a call that is counted there is nothing to compare.
        if used <= level || !known.has_lighter(organisation, used, now) {
            return Standing::Within;
        }
        Standing::Over {
            retry_after: retry_after(used / level, organisation, now),
        }
    }

    /// Whether a service is contended.
    pub fn is_contended(&self, service: &ServiceName, now: Moment) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|service| service.is_contended(now))
    }

    /// Usage of an organisation in milliseconds of engine time per second, as far as it is known.
    pub fn usage(&self, service: &ServiceName, organisation: Id, now: Moment) -> f64 {
        let known = self.services.get(service);
        known.map_or(0.0, |service| service.usage(organisation, now))
    }

    /// Records that an organisation sends a call, whatever becomes of it. It is active from then on, so
    /// that one whose calls are all refused counts among those that want a share.
    pub fn arrive(&mut self, service: &ServiceName, organisation: Id, now: Moment) {
        self.charge(service, organisation, 0.0, now);
    }

    /// Adds engine time in milliseconds to an organisation's usage. Negative amounts correct
    /// earlier ones; usage stays at least zero.
    pub fn charge(&mut self, service: &ServiceName, organisation: Id, cost_ms: f64, now: Moment) {
        if organisation == 0 || !cost_ms.is_finite() {
            return;
        }
        if let Some(service) = self.service(service) {
            service.charge(organisation, cost_ms, now);
        }
    }

    /// Records the wait that a placement forecasts, as a share of the call's latency target.
    pub fn observe_wait(&mut self, service: &ServiceName, share: f64, now: Moment) {
        let Some(service) = self.service(service) else {
            return;
        };
        service.waits.add(share > CONTENDED_WAIT_SHARE, now);
        if service.waits.share() > CONTENDED_CALLS_SHARE {
            service.contended_at = Some(now);
        }
    }

    /// Charges a call that is sent: the reading of its prompt, and a slot for as long as calls
    /// usually hold one. [`Shares::end`] corrects the latter.
    pub fn begin(&mut self, ticket: Ticket, organisation: Id, cost: Cost, now: Moment) {
        let Some(service) = self.service(&cost.service) else {
            return;
        };
        let hold_ms = service.holds.typical_ms(cost.stage);
        let charged_ms = cost.reading_ms + hold_ms / f64::from(cost.slots.max(1));
        service.charge(organisation, charged_ms, now);
        let open = OpenCall {
            // A plain call is run at once; a prompt is read first.
            holds_since: cost.stage.is_none().then_some(now),
            cost,
            organisation,
            begun_at: now,
            charged_ms,
        };
        self.open.insert(ticket, open);
    }

    /// Records that a call's prompt has been read.
    pub(crate) fn on_read(&mut self, ticket: Ticket, at: Moment) {
        let Some(call) = self.open.get_mut(&ticket) else {
            return;
        };
        if call.holds_since.is_some() {
            return;
        }
        call.holds_since = Some(at);
        if let (Some(forecast), Some(service)) = (
            call.cost.forecast,
            self.services.get_mut(&call.cost.service),
        ) {
            let took = at.saturating_sub(call.begun_at);
            service.stretch.observe(ratio(took, forecast), at);
        }
    }

    /// The factor by which calls that are placed behind others wait longer than forecast.
    pub(crate) fn stretch(&self, service: &ServiceName, now: Moment) -> f64 {
        let known = self.services.get(service);
        known.map_or(1.0, |service| service.stretch.ratio(now))
    }

    /// Corrects the cost of a call that has ended.
    pub(crate) fn end(&mut self, ticket: Ticket, now: Moment) {
        let Some(call) = self.open.remove(&ticket) else {
            return;
        };
        let Some(service) = self.services.get_mut(&call.cost.service) else {
            return;
        };
        if let (None, Some(forecast)) = (call.holds_since, call.cost.forecast) {
            // Its caller has left.
            let ratio = ratio(now.saturating_sub(call.begun_at), forecast);
            if ratio > service.stretch.ratio(now) {
                service.stretch.observe(ratio, now);
            }
        }
        let held = call.holds_since.map(|since| now.saturating_sub(since));
        let hold_ms = held.map(|held| held.as_secs_f64() * 1_000.0);
        if let Some(hold_ms) = hold_ms {
            service.holds.observe(call.cost.stage, hold_ms);
        }
        // A prompt that was not read has cost nothing.
        let cost_ms = hold_ms.map_or(0.0, |hold_ms| {
            call.cost.reading_ms + hold_ms / f64::from(call.cost.slots.max(1))
        });
        let age = now.saturating_sub(call.begun_at);
        let correction = (cost_ms - call.charged_ms) * usage::decay(age);
        service.correct(call.organisation, correction, now);
    }

    /// The usage that this instance has counted itself, for the other placers.
    pub fn announce(&self, now: Moment) -> Vec<Use> {
        let listed = level::listed(self.services.len());
        let services = self.services.iter();
        services
            .map(|(name, service)| level::summarize(name, &service.own, listed, now))
            .collect()
    }

    /// Replaces what a placer announced. Returns how many values were ignored because no sum of
    /// usage can have them.
    pub fn merge(&mut self, peer: PeerId, uses: &[Use], now: Moment) -> usize {
        let mut ignored = 0;
        for announced in uses {
            let (used, invalid) = level::checked(announced);
            ignored += invalid;
            let Some(service) = self.service(&announced.service) else {
                ignored += 1;
                continue;
            };
            service.peers.insert(peer, Announcement { used, at: now });
            service.level.set(None);
        }
        ignored
    }

    /// Drops what a placer announced.
    pub fn forget(&mut self, peer: PeerId) {
        for service in self.services.values_mut() {
            service.peers.remove(&peer);
            service.level.set(None);
        }
    }

    /// Names of the services of which usage is known, with the number of organisations over their
    /// share.
    pub fn over_counts(&self, now: Moment) -> Vec<(ServiceName, usize)> {
        let services = self.services.iter();
        services
            .map(|(name, service)| {
                let counts = service.over(now).into_iter();
                let count = counts.map(|(_, _, count)| count as usize).sum();
                (name.clone(), count)
            })
            .collect()
    }

    /// The contended services, by name.
    pub fn contended(&self, now: Moment) -> Vec<Contention> {
        let services = self.services.iter();
        let contended = services.filter(|(_, service)| service.is_contended(now));
        let mut contended: Vec<Contention> = contended
            .map(|(name, service)| service.contention(name, now))
            .collect();
        contended.sort_by(|a, b| a.service.cmp(&b.service));
        contended
    }

    fn service(&mut self, name: &ServiceName) -> Option<&mut Service> {
        if !self.services.contains_key(name) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(name.clone(), Service::default());
        }
        self.services.get_mut(name)
    }
}

impl Service {
    fn is_contended(&self, now: Moment) -> bool {
        let contended_at = self.contended_at;
        contended_at.is_some_and(|at| now.saturating_sub(at) < CONTENTION_TIME)
    }

    fn charge(&mut self, organisation: Id, cost_ms: f64, now: Moment) {
        if !self.own.contains_key(&organisation) && !self.has_room(now) {
            return;
        }
        let usage = self.own.entry(organisation).or_default();
        usage.add(cost_ms, now);
        usage.touch(now);
    }

    /// Whether one more organisation may be counted. Drops inactive ones if there are too many, at
    /// most once per [`PRUNE_INTERVAL`], since that visits all.
    fn has_room(&mut self, now: Moment) -> bool {
        if self.own.len() < MAX_ORGANISATIONS {
            return true;
        }
        let pruned_at = self.pruned_at;
        if pruned_at.is_none_or(|at| now.saturating_sub(at) >= PRUNE_INTERVAL) {
            self.pruned_at = Some(now);
            self.own.retain(|_, usage| usage.is_active(now));
        }
        self.own.len() < MAX_ORGANISATIONS
    }

    /// Adds to the usage of an organisation without making it active.
    fn correct(&mut self, organisation: Id, cost_ms: f64, now: Moment) {
        if let Some(usage) = self.own.get_mut(&organisation) {
            usage.add(cost_ms, now);
        }
    }

    fn announcements(&self, now: Moment) -> impl Iterator<Item = &Use> {
        let peers = self.peers.values();
        peers
            .filter(move |known| now.saturating_sub(known.at) < ANNOUNCEMENT_AGE)
            .map(|known| &known.used)
    }

    /// An organisation's usage at all placers. One that a placer does not list counts as an average
    /// one of the rest there only in the level: whether it uses that placer at all is unknown.
    fn usage(&self, organisation: Id, now: Moment) -> f64 {
        let own = self.own.get(&organisation);
        let elsewhere = self.announcements(now).flat_map(|used| {
            let mut largest = used.largest.iter();
            largest.find(|(id, _)| *id == organisation)
        });
        own.map_or(0.0, |usage| usage.rate(now)) + elsewhere.map(|(_, rate)| rate).sum::<f64>()
    }

    /// Usage of all active organisations, with how many have it.
    fn all(&self, now: Moment) -> Vec<(Id, f64, u32)> {
        let own = self.own.iter().filter(|(_, usage)| usage.is_active(now));
        let mut sums: HashMap<Id, f64> = own.map(|(id, usage)| (*id, usage.rate(now))).collect();
        let mut all = Vec::new();
        for used in self.announcements(now) {
            for (id, rate) in &used.largest {
                *sums.entry(*id).or_default() += rate;
            }
            if used.rest_count > 0 {
                let mean = used.rest / f64::from(used.rest_count);
                all.push((0, mean, used.rest_count));
            }
        }
        all.extend(sums.into_iter().map(|(id, rate)| (id, rate, 1)));
        all
    }

    fn level(&self, now: Moment) -> f64 {
        if let Some((at, level)) = self.level.get()
            && now.saturating_sub(at) < LEVEL_AGE
        {
            return level;
        }
        let level = level::water_level(self.all(now));
        self.level.set(Some((now, level)));
        level
    }

    /// Whether another active organisation uses less.
    fn has_lighter(&self, organisation: Id, used: f64, now: Moment) -> bool {
        let own = self.own.iter();
        let mut own = own.filter(|(id, usage)| **id != organisation && usage.is_active(now));
        if own.any(|(id, _)| self.usage(*id, now) < used) {
            return true;
        }
        self.announcements(now).any(|announced| {
            let mut largest = announced.largest.iter();
            announced.rest_count > 0
                || largest.any(|(id, _)| *id != organisation && self.usage(*id, now) < used)
        })
    }

    /// Usage of the organisations over their share, with how many have it.
    fn over(&self, now: Moment) -> Vec<(Id, f64, u32)> {
        if !self.is_contended(now) {
            return Vec::new();
        }
        let level = self.level(now);
        let all = self.all(now);
        let lightest = all.iter().map(|(_, rate, _)| *rate);
        let lightest = lightest.fold(f64::INFINITY, f64::min);
        let over = all.iter().copied();
        over.filter(|(_, rate, _)| *rate > level && *rate > lightest)
            .collect()
    }

    fn contention(&self, name: &ServiceName, now: Moment) -> Contention {
        let over = self.over(now).into_iter();
        // Id 0 stands for several that a placer summed up.
        let named = over.filter(|(id, _, _)| *id != 0);
        let mut over: Vec<(Id, f64)> = named.map(|(id, rate, _)| (id, rate)).collect();
        over.sort_unstable_by(|a, b| b.1.total_cmp(&a.1));
        Contention {
            service: name.clone(),
            level: self.level(now),
            over,
        }
    }
}

fn ratio(took: Duration, forecast: Duration) -> f64 {
    took.as_secs_f64() / forecast.as_secs_f64().max(1e-3)
}

/// Time after which usage has decayed to the level, if it is a `ratio` of it now. Spread, so that
/// the callers of an organisation do not return together.
fn retry_after(ratio: f64, organisation: Id, now: Moment) -> Duration {
    let bounded = ratio.clamp(1.0, 1e6);
    let decay = usage::TIME_CONSTANT.mul_f64(bounded.ln());
    let (shortest, longest) = RETRY_RANGE;
    #[allow(clippy::cast_possible_truncation)]
    let time = now.as_nanos() as u64;
    let draw = hash::mix64(organisation ^ hash::mix64(time));
    #[allow(clippy::cast_possible_truncation)]
    let spread = f64::from(draw as u32) / f64::from(u32::MAX);
    decay
        .clamp(shortest, longest)
        .mul_f64(1.0 + RETRY_SPREAD * spread)
}
