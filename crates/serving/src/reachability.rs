//! Which engines this instance reaches.
//!
//! An instance can lose its own paths to engines that everybody else reaches, to all of them or to
//! those of one service. An engine's health says nothing of that: it is kept for each engine, as if
//! engines failed independently. Engines also terminate together, and calls prefer them then, since
//! they look idle. So failures of calls only raise the question. The answer comes from engines that
//! are drawn at random, from bytes that engines sent, and from other instances. See
//! `docs/design/engine-links.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::{EngineId, ServiceName};

/// Engines of a service, drawn at random, that must all fail before a lost path is suspected. If half
/// of the service has terminated, all of them fail once in 256 draws; if a quarter has, once in 65,000.
pub const WITNESSES: usize = 8;
/// Time after a wrong suspicion in which the service is not suspected again, so that other instances
/// are asked at most twice a second.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);
/// Engines of a service that must be reached again before the instance no longer counts as isolated.
const RECOVERY_ENGINES: usize = 2;
/// Services from which an instance must be isolated before it counts as isolated from all.
const ISOLATION_SERVICES: usize = 2;
/// Age after which a failure says nothing about the present any more.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(3);
/// Time until an engine that could not be reached is probed; doubles with each failed probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between probes of one engine.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// The same while the instance is isolated from the engine's service. Only a few are probed then.
const ISOLATED_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How a call gets to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this instance.
    Direct,
    /// Through another instance.
    Forwarded,
}

/// How a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// At once, as by an engine that has ended.
    Refused,
    /// By a time-out.
    Silent,
}

/// Why a connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The engine was chosen, for a call or a probe.
    Choice,
    /// The engine was drawn at random, to find out whose fault another failure is.
    Draw,
}

/// A connection that did not open, or fell silent after that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// When it was begun, or when the request that was not acknowledged was sent.
    pub begun: Moment,
    /// How it failed.
    pub failure: Failure,
    /// Why the engine was connected to.
    pub origin: Origin,
}

/// What a failed connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Other engines of the service can be reached, so it is this engine or the path to it alone.
    Engine,
    /// Nothing shows it yet; connections to engines drawn at random will tell.
    Unclear,
    /// Probably, or certainly, this instance reaches no engine of the service.
    Isolation,
}

/// What other instances say of engines that this instance does not reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// At least one of the engines is reached by another instance.
    Reached,
    /// Instances that reach other engines of the service do not reach these either.
    NotReached,
    /// No instance can tell.
    Unknown,
}

/// What became of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The instance is isolated from the service; how its connections failed.
    Isolated(Failure),
    /// The engines are at fault.
    Engines,
    /// Nothing was suspected any more.
    Settled,
}

/// An engine that this instance could not reach.
#[derive(Clone, Debug)]
struct Unreachable {
    service: ServiceName,
    /// The attempt that failed last.
    attempt: Attempt,
    /// Whether the failure is known to be the engine's fault.
    is_explained: bool,
    next_probe: Moment,
    probes: u32,
}

/// How sure the instance is that it is isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Other instances are being asked.
    Suspected,
    Concluded,
}

/// Isolation from a service.
#[derive(Clone, Debug)]
struct Isolation {
    stage: Stage,
    since: Moment,
    /// When the first of the attempts was begun that led to it.
    first_begun: Moment,
    /// Whether all failures were immediate.
    refused: bool,
    /// Engines that were reached meanwhile.
    reached: BTreeSet<EngineId>,
}

impl Isolation {
    /// Whether a call may try its own path first: nothing is certain, and a failure costs no time.
    fn prefers_own_path(&self) -> bool {
        self.stage == Stage::Suspected && self.refused
    }
}

/// The paths from this instance to the engines.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    unreachable: BTreeMap<EngineId, Unreachable>,
    last_opened: BTreeMap<ServiceName, Moment>,
    /// When an engine of the service last sent anything, on any connection.
    last_received: BTreeMap<ServiceName, Moment>,
    isolated: BTreeMap<ServiceName, Isolation>,
    /// When a suspicion was last found to be wrong.
    refuted: BTreeMap<ServiceName, Moment>,
}

impl Reachability {
    /// How a call gets to an engine of a service.
    pub fn path(&self, engine: &str, service: &str) -> Path {
        if self.unreachable.contains_key(engine) {
            return Path::Forwarded;
        }
        let is_lost = match self.isolated.get(service) {
            Some(isolation) => !isolation.prefers_own_path() && !isolation.reached.contains(engine),
            None => self.is_isolated_from_all(),
        };
        if is_lost {
            Path::Forwarded
        } else {
            Path::Direct
        }
    }

    /// Whether this instance is known to reach no engine of a service.
    pub fn is_isolated(&self, service: &str) -> bool {
        let isolation = self.isolated.get(service);
        isolation.is_some_and(|isolation| isolation.stage == Stage::Concluded)
            || self.is_isolated_from_all()
    }

    /// Whether it may be so that this instance reaches no engine of a service, and others are being
    /// asked.
    pub fn is_suspected(&self, service: &str) -> bool {
        let isolation = self.isolated.get(service);
        isolation.is_some_and(|isolation| isolation.stage == Stage::Suspected)
    }

    /// Whether connections to the service that have not opened yet should be given up.
    pub fn gives_up(&self, service: &str) -> bool {
        let isolation = self.isolated.get(service);
        isolation.is_some_and(|isolation| !isolation.prefers_own_path())
            || self.is_isolated_from_all()
    }

    /// Whether this instance is isolated from any service.
    pub fn is_isolated_from_any(&self) -> bool {
        self.concluded().next().is_some()
    }

    fn concluded(&self) -> impl Iterator<Item = &Isolation> {
        let isolated = self.isolated.values();
        isolated.filter(|isolation| isolation.stage == Stage::Concluded)
    }

    /// Whether it is isolated from several services and has reached no engine at all since.
    fn is_isolated_from_all(&self) -> bool {
        let last_isolated = self.concluded().map(|isolation| isolation.since).max();
        self.concluded().count() >= ISOLATION_SERVICES
            && last_isolated.is_some_and(|isolated| !self.has_any_answered_since(isolated))
    }

    /// Whether a call may be sent on this instance's own path although no other instance sends it: the
    /// engine has not been tried yet, and a failure would cost no time.
    pub fn may_try(&self, engine: &str, service: &str) -> bool {
        !self.unreachable.contains_key(engine) && self.fails_at_once(service)
    }

    /// Whether this instance is isolated from a service and all failures were immediate.
    pub fn fails_at_once(&self, service: &str) -> bool {
        let isolation = self.isolated.get(service);
        isolation.is_some_and(|isolation| isolation.refused)
    }

    /// Whether a connection to an engine of the service has opened after `begun`.
    pub fn has_opened_since(&self, service: &str, begun: Moment) -> bool {
        let opened = self.last_opened.get(service);
        opened.is_some_and(|opened| *opened >= begun)
    }

    /// Whether an engine of the service has sent anything after `begun`.
    fn has_received_since(&self, service: &str, begun: Moment) -> bool {
        let received = self.last_received.get(service);
        received.is_some_and(|received| *received >= begun)
    }

    /// Whether an engine of any service was connected to, or has sent anything, after `begun`.
    fn has_any_answered_since(&self, begun: Moment) -> bool {
        let mut answers = self.last_opened.values().chain(self.last_received.values());
        answers.any(|at| *at >= begun)
    }

    /// Whether the path to the service has worked since a failed attempt began.
    ///
    /// A time-out of an engine drawn at random is outweighed by opened connections only: a fault on
    /// the way may let open connections live on and stop new ones.
    fn is_outweighed(&self, service: &str, attempt: &Attempt) -> bool {
        let is_drawn_timeout = attempt.origin == Origin::Draw && attempt.failure == Failure::Silent;
        self.has_opened_since(service, attempt.begun)
            || !is_drawn_timeout && self.has_received_since(service, attempt.begun)
    }

    /// What a connection to an engine that was begun at `begun` and failed shows by now.
    pub fn cause(&self, engine: &str, service: &str, begun: Moment) -> Cause {
        if self.isolated.contains_key(service) {
            Cause::Isolation
        } else if self.has_opened_since(service, begun)
            || !self.is_silent(engine) && self.has_received_since(service, begun)
        {
            Cause::Engine
        } else {
            Cause::Unclear
        }
    }

    /// Whether an engine could not be reached when it was tried last.
    pub fn is_unreachable(&self, engine: &str) -> bool {
        self.unreachable.contains_key(engine)
    }

    /// Whether the last connection to an engine that could not be reached has timed out.
    pub fn is_silent(&self, engine: &str) -> bool {
        let lost = self.unreachable.get(engine);
        lost.is_some_and(|lost| lost.attempt.failure == Failure::Silent)
    }

    /// Whether an engine could not be reached and the path to others of its service has worked since.
    pub fn is_at_fault(&self, engine: &str) -> bool {
        self.unreachable.get(engine).is_some_and(|lost| {
            !self.isolated.contains_key(&lost.service)
                && (lost.is_explained || self.is_outweighed(&lost.service, &lost.attempt))
        })
    }

    /// Engines of a service that could not be reached.
    pub fn unreachable(&self, service: &str) -> impl Iterator<Item = &EngineId> {
        self.lost(service).map(|(engine, _)| engine)
    }

    fn lost(&self, service: &str) -> impl Iterator<Item = (&EngineId, &Unreachable)> {
        let lost = self.unreachable.iter();
        lost.filter(move |(_, lost)| &*lost.service == service)
    }

    /// Engines of a service to ask other instances about: those drawn at random first, since the others
    /// may have been chosen because they had terminated.
    pub fn disputed(&self, service: &str) -> Vec<&EngineId> {
        let mut lost: Vec<_> = self.lost(service).collect();
        lost.sort_by_key(|(_, lost)| (lost.attempt.origin == Origin::Choice, lost.is_explained));
        lost.into_iter().map(|(engine, _)| engine).collect()
    }

    /// Records bytes that an engine of a service sent.
    pub fn on_received(&mut self, service: &ServiceName, now: Moment) {
        match self.last_received.get_mut(service) {
            Some(last) => *last = now,
            None => drop(self.last_received.insert(service.clone(), now)),
        }
        let isolation = self.isolated.get(service);
        if isolation.is_some_and(Isolation::prefers_own_path) {
            self.isolated.remove(service);
        }
    }

    /// Records a connection that opened. `engines` is the number of engines of the service. Returns
    /// since when the instance was isolated from the service, if it no longer is.
    pub fn on_opened(
        &mut self,
        engine: &EngineId,
        service: &ServiceName,
        engines: usize,
        now: Moment,
    ) -> Option<Moment> {
        self.unreachable.remove(engine);
        self.last_opened.insert(service.clone(), now);
        let isolation = self.isolated.get_mut(service)?;
        if isolation.stage == Stage::Suspected {
            self.isolated.remove(service);
            return None;
        }
        isolation.reached.insert(engine.clone());
        if isolation.reached.len() < RECOVERY_ENGINES.min(engines) {
            return None;
        }
        let since = isolation.since;
        self.isolated.remove(service);
        // All of them are probably back.
        for lost in self.unreachable.values_mut() {
            lost.next_probe = now;
            lost.probes = 0;
        }
        Some(since)
    }

    /// Records a failed attempt. `engines` is the number of engines of the service. Returns whether
    /// isolation from the service is suspected by it, so that other instances should be asked about
    /// the [disputed](Self::disputed) engines.
    pub fn on_failed(
        &mut self,
        engine: &EngineId,
        service: &ServiceName,
        attempt: Attempt,
        engines: usize,
        now: Moment,
    ) -> bool {
        let lost = self.unreachable.entry(engine.clone());
        let lost = lost.or_insert_with(|| Unreachable {
            service: service.clone(),
            attempt,
            is_explained: false,
            next_probe: now + MIN_PROBE_INTERVAL,
            probes: 0,
        });
        if attempt.begun >= lost.attempt.begun {
            lost.attempt = attempt;
            lost.is_explained = false;
        }
        if let Some(isolation) = self.isolated.get_mut(service) {
            isolation.reached.remove(engine);
            isolation.refused &= attempt.failure == Failure::Refused;
            return false;
        }
        let refuted = self.refuted.get(service);
        if refuted.is_some_and(|at| now.saturating_sub(*at) < SUSPICION_INTERVAL) {
            return false;
        }
        let Some(isolation) = self.suspicion(service, engines, now) else {
            return false;
        };
        self.isolated.insert(service.clone(), isolation);
        true
    }

    /// The isolation that the failures suggest: enough engines drawn at random have failed, or there is
    /// no engine left to draw, and nothing has shown since that the path works.
    fn suspicion(&self, service: &ServiceName, engines: usize, now: Moment) -> Option<Isolation> {
        let evidence = self.lost(service).map(|(_, lost)| lost).filter(|lost| {
            !lost.is_explained
                && now.saturating_sub(lost.attempt.begun) <= EVIDENCE_WINDOW
                && !self.is_outweighed(service, &lost.attempt)
        });
        let evidence: SmallVec<[&Attempt; 16]> = evidence.map(|lost| &lost.attempt).collect();
        let drawn = evidence.iter().filter(|lost| lost.origin == Origin::Draw);
        let is_enough = drawn.count() >= WITNESSES || self.lost(service).count() >= engines;
        let first_begun = evidence.iter().map(|lost| lost.begun).min()?;
        is_enough.then(|| Isolation {
            stage: Stage::Suspected,
            since: now,
            first_begun,
            refused: evidence.iter().all(|lost| lost.failure == Failure::Refused),
            reached: BTreeSet::new(),
        })
    }

    /// Decides a suspicion by what other instances say.
    ///
    /// If none can tell, refusals were sent by the engines' hosts, and answers of other services show
    /// that this instance has paths; only silence of everything is a loss of its own.
    pub fn on_report(&mut self, service: &ServiceName, report: Report, now: Moment) -> Verdict {
        // A connection may have opened meanwhile, and an earlier question may have been answered late.
        let isolation = self.isolated.get(service);
        let suspected = isolation.filter(|isolation| isolation.stage == Stage::Suspected);
        let Some(isolation) = suspected else {
            return Verdict::Settled;
        };
        let failure = match isolation.refused {
            true => Failure::Refused,
            false => Failure::Silent,
        };
        let is_own_loss = match report {
            Report::Reached => true,
            Report::NotReached => false,
            Report::Unknown => {
                !isolation.refused && !self.has_any_answered_since(isolation.first_begun)
            }
        };
        if is_own_loss {
            if let Some(isolation) = self.isolated.get_mut(service) {
                isolation.stage = Stage::Concluded;
                isolation.since = now;
            }
            return Verdict::Isolated(failure);
        }
        self.isolated.remove(service);
        self.refuted.insert(service.clone(), now);
        let lost = self.unreachable.values_mut();
        for lost in lost.filter(|lost| lost.service == *service) {
            lost.is_explained = true;
        }
        Verdict::Engines
    }

    /// Engines to which a connection should be opened now, at most `count`, so that no caller's call
    /// finds out whether they are reached again.
    pub fn due_probes(&mut self, count: usize, now: Moment) -> Vec<EngineId> {
        let mut due: Vec<_> = self
            .unreachable
            .iter_mut()
            .filter(|(_, lost)| now >= lost.next_probe)
            .collect();
        due.sort_by_key(|(_, lost)| lost.next_probe);
        due.truncate(count);
        let due = due.into_iter().map(|(engine, lost)| {
            let interval = MIN_PROBE_INTERVAL * 2_u32.saturating_pow(lost.probes.min(8));
            let longest = if self.isolated.contains_key(&lost.service) {
                ISOLATED_PROBE_INTERVAL
            } else {
                MAX_PROBE_INTERVAL
            };
            lost.probes += 1;
            lost.next_probe = now + interval.min(longest);
            engine.clone()
        });
        due.collect()
    }

    /// Drops engines that are gone, and isolations without any engine left to probe.
    pub fn retain(&mut self, lives: impl Fn(&EngineId) -> bool) {
        self.unreachable.retain(|engine, _| lives(engine));
        let unreachable = &self.unreachable;
        self.isolated.retain(|service, _| {
            let mut lost = unreachable.values();
            lost.any(|lost| lost.service == *service)
        });
    }
}
