//! Which engines this instance reaches.
//!
//! An instance can lose its own paths to engines that everybody else reaches, to all of them or to
//! those of one service. An engine's health says nothing of that: it is kept for each engine, as if
//! engines failed independently. Here, failures of several engines of a service in a row, with none
//! reached since the first of them began, show that the cause is the instance's own path. See
//! `docs/design/engine-links.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::{EngineId, ServiceName};

/// Engines of a service that must fail in a row before the instance counts as isolated from it. Two
/// engines may well end at the same time; the third one was tried only because of the others.
const ISOLATION_ENGINES: usize = 3;
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

/// What a failed connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Other engines of the service can be reached, so it is this engine or the path to it alone.
    Engine,
    /// None has been reached since; a connection to another engine will tell.
    Unclear,
    /// This instance reaches no engine of the service.
    Isolation,
}

/// An engine that this instance could not reach.
#[derive(Clone, Debug)]
struct Unreachable {
    service: ServiceName,
    /// When the connection that failed last was begun.
    begun: Moment,
    failure: Failure,
    next_probe: Moment,
    probes: u32,
}

/// Isolation from a service.
#[derive(Clone, Debug)]
struct Isolation {
    since: Moment,
    /// Whether all failures were immediate.
    refused: bool,
    /// Engines that were reached meanwhile.
    reached: BTreeSet<EngineId>,
}

/// The paths from this instance to the engines.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    unreachable: BTreeMap<EngineId, Unreachable>,
    last_opened: BTreeMap<ServiceName, Moment>,
    isolated: BTreeMap<ServiceName, Isolation>,
}

impl Reachability {
    /// How a call gets to an engine of a service.
    pub fn path(&self, engine: &str, service: &str) -> Path {
        if self.unreachable.contains_key(engine) {
            return Path::Forwarded;
        }
        let is_lost = match self.isolated.get(service) {
            Some(isolation) => !isolation.reached.contains(engine),
            None => self.is_isolated_from_all(),
        };
        if is_lost {
            Path::Forwarded
        } else {
            Path::Direct
        }
    }

    /// Whether this instance reaches no engine of a service.
    pub fn is_isolated(&self, service: &str) -> bool {
        self.isolated.contains_key(service) || self.is_isolated_from_all()
    }

    /// Whether this instance is isolated from any service.
    pub fn is_isolated_from_any(&self) -> bool {
        !self.isolated.is_empty()
    }

    /// Whether it is isolated from several services and has reached no engine at all since.
    fn is_isolated_from_all(&self) -> bool {
        let last_opened = self.last_opened.values().max();
        let last_isolated = self
            .isolated
            .values()
            .map(|isolation| isolation.since)
            .max();
        let has_opened_since = last_opened.zip(last_isolated);
        self.isolated.len() >= ISOLATION_SERVICES
            && has_opened_since.is_none_or(|(opened, isolated)| *opened < isolated)
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

    /// What a connection to the service that was begun at `begun` and failed shows by now.
    pub fn cause(&self, service: &str, begun: Moment) -> Cause {
        if self.isolated.contains_key(service) {
            Cause::Isolation
        } else if self.has_opened_since(service, begun) {
            Cause::Engine
        } else {
            Cause::Unclear
        }
    }

    /// Engines of a service that could not be reached.
    pub fn unreachable(&self, service: &str) -> impl Iterator<Item = &EngineId> {
        let lost = self.unreachable.iter();
        lost.filter(move |(_, lost)| &*lost.service == service)
            .map(|(engine, _)| engine)
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

    /// Records a connection that was begun at `begun` and did not open, or fell silent after that.
    /// `engines` is the number of engines of the service. Returns whether the instance has become
    /// isolated from the service by it.
    pub fn on_failed(
        &mut self,
        engine: &EngineId,
        service: &ServiceName,
        begun: Moment,
        failure: Failure,
        engines: usize,
        now: Moment,
    ) -> bool {
        let first_probe = now + MIN_PROBE_INTERVAL;
        let lost = self.unreachable.entry(engine.clone());
        let lost = lost.or_insert_with(|| Unreachable {
            service: service.clone(),
            begun,
            failure,
            next_probe: first_probe,
            probes: 0,
        });
        lost.begun = lost.begun.max(begun);
        lost.failure = failure;
        if let Some(isolation) = self.isolated.get_mut(service) {
            isolation.reached.remove(engine);
            isolation.refused &= failure == Failure::Refused;
            return false;
        }
        let evidence = self.failures_in_a_row(service, now);
        let is_isolated = evidence.len() >= ISOLATION_ENGINES.min(engines);
        if is_isolated {
            let refused = evidence.iter().all(|failure| *failure == Failure::Refused);
            let isolation = Isolation {
                since: now,
                refused,
                reached: BTreeSet::new(),
            };
            self.isolated.insert(service.clone(), isolation);
        }
        is_isolated
    }

    /// How the engines failed that were tried since a connection to the service opened last.
    fn failures_in_a_row(&self, service: &str, now: Moment) -> SmallVec<[Failure; 8]> {
        let lost = self.unreachable.values();
        let of_service = lost.filter(|lost| &*lost.service == service);
        let evidence = of_service.filter(|lost| {
            !self.has_opened_since(service, lost.begun)
                && now.saturating_sub(lost.begun) <= EVIDENCE_WINDOW
        });
        evidence.map(|lost| lost.failure).collect()
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
