//! All known engines with the work at each and the prompt parts that each caches.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;

use crate::decaying_rate::DecayingRate;
use crate::engine::{
    Engine, Job, LATE_RANK, Pending, Rank, Record, Stage, StageChange, State, Ticket, Work,
};
use crate::health::{Health, Outcome};
use crate::organisation;
use crate::origin::Software;
use crate::overrun::WaitOverrun;
use crate::parts::{CachedParts, Part};
use crate::pauses::PauseModel;
use crate::shares::{Cost, Shares};
use crate::speed::Speed;
use crate::throttle::{Rate, Throttles};
use crate::{EngineId, ServiceName, hash, queue};

mod peer_work;
mod remote;
mod restarts;
mod streams;

use remote::RemoteCall;
pub use restarts::Restart;

/// Longest pause that an engine may ask for. A longer one is more likely an error, and would leave
/// the engine out for good.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Id of another instance.
pub type PeerId = u64;

/// Age after which the work that another instance reported is dropped. Each instance reports all of
/// its work once a second, and two of these frames may be lost.
const PEER_WORK_AGE: Duration = Duration::from_millis(3_200);

/// Longest time to wait for a stage change: the engine's calls end within some seconds, and the
/// change itself takes three.
const STAGE_CHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// A call that was sent to an engine.
#[derive(Clone, Debug)]
pub struct SentCall {
    /// The engine that it was sent to.
    pub engine: EngineId,
    ticket: Ticket,
}

/// The engines as known to this instance.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    engines: BTreeMap<EngineId, Engine>,
    by_short_hash: HashMap<u32, EngineId>,
    /// The prompt parts that each engine caches.
    pub parts: CachedParts,
    /// Rate limits announced by engines.
    pub throttles: Throttles,
    /// Organisations' usage of the engines.
    pub shares: Shares,
    /// Number of engines by service and software version.
    versions: HashMap<ServiceName, BTreeMap<Software, usize>>,
    next_ticket: Ticket,
    /// The learned speeds, a few in all, looked up for each engine that a call may go to.
    speeds: Vec<(ServiceName, Stage, Speed)>,
    /// When each other instance was last heard from.
    peer_heard_at: BTreeMap<PeerId, Moment>,
    /// Engines at which each other instance has had work since it last reported all of it, so that
    /// a full report does not require a scan of all engines.
    peer_engines: HashMap<PeerId, Vec<EngineId>>,
    /// Engines at which this instance has calls, because frames with these are built many times a
    /// second.
    busy_engines: BTreeSet<EngineId>,
    /// Engines with a stage change in progress.
    stage_changes: BTreeSet<EngineId>,
    /// Calls that this instance placed for others, by their ticket there.
    remote_calls: HashMap<PeerId, HashMap<Ticket, RemoteCall>>,
    /// Rate of prompt work sent by all instances, by service.
    work_rates: HashMap<ServiceName, DecayingRate>,
    changes: Vec<WorkChange>,
    restarts: Vec<Restart>,
    /// Engines that have announced that they leave, ahead of their records.
    leaving: BTreeSet<EngineId>,
    /// Until when engines want no requests from this instance, as they said when they turned one
    /// away.
    paused_until: BTreeMap<EngineId, Moment>,
    /// How much longer than expected late calls wait, by service.
    overruns: HashMap<ServiceName, WaitOverrun>,
    /// Pauses between stream events, by service.
    pauses: HashMap<ServiceName, PauseModel>,
}

/// A change in this instance's work at the engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkChange {
    /// A prompt was sent.
    Started(EngineId, Job),
    /// A prompt was read at this moment.
    Read(EngineId, Ticket, Moment),
    /// A call ended, with its outcome for the engine's health.
    Ended(EngineId, Ticket, Option<Outcome>),
    /// An engine has ended although its record still exists.
    EngineEnded(EngineId),
}

impl Fleet {
    /// The learned reading speed of an engine's stage.
    pub fn speed(&self, engine: &Engine) -> Speed {
        let stage = engine.record.stage.unwrap_or(Stage::Decode);
        let service = &engine.record.service;
        let known = self
            .speeds
            .iter()
            .find(|(of, at, _)| *at == stage && of == service);
        known.map_or_else(|| Speed::new(stage), |(_, _, speed)| *speed)
    }

    /// Adds or updates an engine by its record. Returns whether anything changed.
    ///
    /// The first notice of a leaving engine is kept. It shrinks with each renewal of the record,
    /// which would otherwise be a change to log and announce each time.
    pub fn put(&mut self, mut record: Record) -> bool {
        let before = self.engines.get(&record.id).map(|engine| &engine.record);
        let is_counted = before.is_some_and(|before| {
            before.software == record.software && before.service == record.service
        });
        if !is_counted {
            let before = before.cloned();
            self.count_version(&record);
            before
                .iter()
                .for_each(|before| self.uncount_version(before));
        }
        match self.engines.get_mut(&record.id) {
            Some(engine) => {
                record.notice = engine.record.notice.or(record.notice);
                let changed = engine.record_gone || engine.record != record;
                engine.record_gone = false;
                engine.leaving |= record.state == State::Draining;
                engine.record = record;
                let is_done = |change: &mut StageChange| engine.record.stage == Some(change.stage);
                engine.stage_change.take_if(is_done);
                changed
            }
            None => {
                self.by_short_hash
                    .insert(hash::hash32(&record.id), record.id.clone());
                self.engines.insert(record.id.clone(), Engine::new(record));
                true
            }
        }
    }

    /// Marks an engine as leaving. Returns whether that is new.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        self.leaving.insert(engine.record.id.clone());
        !std::mem::replace(&mut engine.leaving, true)
    }

    /// Records that an engine wants no requests from this instance for `pause`, while others may send
    /// to it. A shorter pause does not end a longer one, since answers overtake each other.
    pub fn pause(&mut self, id: &str, pause: Duration, now: Moment) {
        let Some((id, _)) = self.engines.get_key_value(id) else {
            return;
        };
        let until = now + pause.min(MAX_PAUSE);
        let known = self.paused_until.entry(id.clone()).or_default();
        *known = until.max(*known);
    }

    /// Whether an engine wants no requests from this instance now.
    pub fn is_paused(&self, id: &str, now: Moment) -> bool {
        self.paused_until.get(id).is_some_and(|until| now < *until)
    }

    /// How long an engine still wants no requests from this instance.
    pub fn pause_left(&self, id: &str, now: Moment) -> Duration {
        let until = self.paused_until.get(id).copied().unwrap_or_default();
        until.saturating_sub(now)
    }

    /// Engines that want no requests from this instance now.
    pub fn paused(&self, now: Moment) -> impl Iterator<Item = &EngineId> {
        let paused = self.paused_until.iter();
        paused
            .filter(move |(_, until)| now < **until)
            .map(|(id, _)| id)
    }

    /// Engines that leave although their records do not say so.
    pub fn leaving_unrecorded(&self) -> impl Iterator<Item = &EngineId> {
        let is_ready = |id: &&EngineId| {
            let engine = self.get(id);
            engine.is_some_and(|engine| engine.record.state == State::Ready)
        };
        self.leaving.iter().filter(is_ready)
    }

    /// Marks an engine's record as gone. Returns whether anything changed.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        let changed = !engine.record_gone;
        engine.record_gone = true;
        self.remove_if_unused(id);
        changed
    }

    /// Names of all engines with a record.
    pub fn names(&self) -> Vec<Rc<str>> {
        let registered = self.engines.values().filter(|engine| !engine.record_gone);
        registered
            .map(|engine| engine.record.name.clone())
            .collect()
    }

    /// An engine by id, including one whose record is gone but that still has calls.
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// The engine whose id has this [`hash::hash32`].
    pub fn by_hash(&self, hash: u32) -> Option<EngineId> {
        self.by_short_hash.get(&hash).cloned()
    }

    /// Engines of a service that take new calls now.
    pub fn ready<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Engine> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.takes_calls() && engine.record.service == *service)
    }

    /// Engines of a service that take new calls now or after their stage change.
    pub fn active<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Engine> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.is_active() && engine.record.service == *service)
    }

    /// Records that an engine was ordered to change its stage. It gets no calls until its record
    /// shows the new stage, or for `STAGE_CHANGE_TIMEOUT`.
    pub fn begin_stage_change(&mut self, id: &str, change: StageChange) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.record.stage != Some(change.stage)
        {
            engine.stage_change.get_or_insert(change);
            self.stage_changes.insert(engine.record.id.clone());
        }
    }

    /// Records that an engine does not change its stage after all.
    pub fn cancel_stage_change(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.stage_change = None;
        }
    }

    /// Stage changes in progress that this instance ordered.
    pub fn own_stage_changes(&self) -> impl Iterator<Item = (&EngineId, Stage)> {
        self.stage_changes.iter().filter_map(|id| {
            let change = self
                .engines
                .get(id)?
                .stage_change
                .filter(|change| change.own)?;
            Some((id, change.stage))
        })
    }

    /// All engines.
    pub fn all(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// Software versions of a service's engines, including those that leave.
    pub fn versions(&self, service: &ServiceName) -> impl Iterator<Item = &Software> {
        let versions = self.versions.get(service);
        versions.into_iter().flat_map(BTreeMap::keys)
    }

    /// Services that have engines.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.versions.keys()
    }

    fn count_version(&mut self, record: &Record) {
        let versions = self.versions.entry(record.service.clone()).or_default();
        let software = record.software.clone().unwrap_or_default();
        *versions.entry(software).or_default() += 1;
    }

    fn uncount_version(&mut self, record: &Record) {
        let Some(versions) = self.versions.get_mut(&record.service) else {
            return;
        };
        let software = record.software.clone().unwrap_or_default();
        if let Some(count) = versions.get_mut(&software) {
            *count -= 1;
            if *count == 0 {
                versions.remove(&software);
            }
        }
        if versions.is_empty() {
            self.versions.remove(&record.service);
        }
    }

    /// Number of known engines.
    pub fn count(&self) -> usize {
        self.engines.len()
    }

    /// Forgets what calls showed of an engine's health, because the fault was not its own.
    pub fn reset_health(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id)
            && !engine.health.has_ended()
        {
            engine.health = Health::default();
        }
    }

    /// Records a call that is about to be sent, with the work that its prompt is at this engine.
    pub fn begin_call(&mut self, id: &EngineId, work: u32, rank: Rank, now: Moment) -> SentCall {
        self.next_ticket = self.next_ticket.wrapping_add(1);
        let ticket = self.next_ticket;
        let job = Job {
            ticket,
            sent_at: now,
            rank,
            work,
        };
        let pending = self.pending_call(id, job);
        if let (Some(engine), Some(pending)) = (self.engines.get_mut(id), pending) {
            engine.own_calls += 1;
            self.busy_engines.insert(id.clone());
            engine.pending.push(pending);
            engine.update_reading(now);
            self.changes.push(WorkChange::Started(id.clone(), job));
            if work > 0 {
                let service = engine.record.service.clone();
                self.work_rates.entry(service).or_default().add(work, now);
            }
        }
        SentCall {
            engine: id.clone(),
            ticket,
        }
    }

    /// Charges a call that was just sent to the organisation that it is for. `expected` is the
    /// forecast of its first answer.
    pub fn charge_call(
        &mut self,
        sent: &SentCall,
        organisation: organisation::Id,
        expected: Duration,
        now: Moment,
    ) {
        let Some(engine) = self.engines.get(&sent.engine) else {
            return;
        };
        let mut pending = engine.pending.iter();
        let pending = pending.find(|pending| pending.job.ticket == sent.ticket);
        let job = pending.map(|pending| pending.job);
        let work = job.map_or(0, |job| job.work);
        let is_behind = job.is_some_and(|job| work > 0 && job.rank == LATE_RANK - 1);
        let cost = Cost {
            service: engine.record.service.clone(),
            stage: engine.record.stage,
            slots: engine.record.slots,
            reading_ms: self.speed(engine).millis(u64::from(work)),
            forecast: is_behind.then_some(expected),
        };
        self.shares.begin(sent.ticket, organisation, cost, now);
    }

    /// A job at an engine, with its expected reading time at the speed of the engine's stage.
    fn pending_call(&self, id: &EngineId, job: Job) -> Option<Pending> {
        let engine = self.engines.get(id)?;
        let jobs = engine.pending_jobs();
        let rate = self.speed(engine).tokens_per_ms;
        Some(Pending {
            job,
            expected_read_time: queue::time_until_read(&jobs, engine.last_read_at, job, rate),
            was_idle: jobs.is_empty(),
        })
    }

    /// Records that the first answer of a call has arrived, so its prompt has been read.
    pub fn prompt_read(&mut self, sent: &SentCall, now: Moment) {
        self.shares.on_read(sent.ticket, now);
        let Some(engine) = self.engines.get_mut(&sent.engine) else {
            return;
        };
        let mut pending = engine.pending.iter();
        let index = pending.position(|p| p.job.ticket == sent.ticket);
        let Some(pending) = index.map(|at| engine.pending.remove(at)) else {
            return;
        };
        if pending.job.work == 0 {
            return;
        }
        engine.update_reading(now);
        self.changes
            .push(WorkChange::Read(sent.engine.clone(), sent.ticket, now));
        self.learn(&sent.engine, &pending, now);
    }

    /// Learns speed, slowdown and overrun from a prompt that has been read.
    fn learn(&mut self, id: &EngineId, pending: &Pending, at: Moment) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let took = at.saturating_sub(pending.job.sent_at);
        let stage = engine.record.stage.unwrap_or(Stage::Decode);
        let service = &engine.record.service;
        let known = self
            .speeds
            .iter()
            .position(|(of, at, _)| *at == stage && of == service);
        let known = known.unwrap_or_else(|| {
            self.speeds
                .push((service.clone(), stage, Speed::new(stage)));
            self.speeds.len() - 1
        });
        let speed = &mut self.speeds[known].2;
        if pending.was_idle {
            speed.observe(pending.job.work, took);
        }
        let setup = Duration::from_secs_f64(speed.setup_ms / 1_000.0);
        engine.last_read_at = engine.last_read_at.max(at.saturating_sub(setup));
        let expected = pending.expected_read_time + setup;
        if pending.job.rank >= LATE_RANK {
            let overrun = self.overruns.entry(engine.record.service.clone());
            let factor = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
            overrun.or_default().observe(factor, at);
        }
        engine.observe_slowdown(expected.as_secs_f64(), took.as_secs_f64(), pending.was_idle);
    }

    /// Records that a call has ended.
    pub fn end_call(&mut self, sent: &SentCall, outcome: Option<Outcome>, now: Moment) {
        self.learn_from_unread(sent, now);
        self.shares.end(sent.ticket, now);
        if let Some(engine) = self.engines.get_mut(&sent.engine) {
            engine.pending.retain(|p| p.job.ticket != sent.ticket);
            engine.update_reading(now);
            engine.own_calls = engine.own_calls.saturating_sub(1);
            if engine.own_calls == 0 {
                self.busy_engines.remove(&sent.engine);
            }
            if let Some(outcome) = outcome {
                if outcome == Outcome::Ended && !engine.health.has_ended() {
                    self.changes
                        .push(WorkChange::EngineEnded(sent.engine.clone()));
                }
                engine.health.record(outcome, now);
            }
            let ended = WorkChange::Ended(sent.engine.clone(), sent.ticket, outcome);
            self.changes.push(ended);
            if engine.record_gone {
                self.remove_if_unused(&sent.engine);
            }
        }
    }

    /// Learns from how long a late call had waited if it ends before its prompt was read.
    fn learn_from_unread(&mut self, sent: &SentCall, now: Moment) {
        let Some(engine) = self.engines.get(&sent.engine) else {
            return;
        };
        let is_late = |pending: &&Pending| pending.job.rank >= LATE_RANK && pending.job.work > 0;
        let mut own = engine.pending.iter().filter(is_late);
        let Some(pending) = own.find(|pending| pending.job.ticket == sent.ticket) else {
            return;
        };
        let expected =
            pending.expected_read_time.as_secs_f64() + self.speed(engine).setup_ms / 1_000.0;
        let took = now.saturating_sub(pending.job.sent_at).as_secs_f64();
        let overrun = self.overruns.entry(engine.record.service.clone());
        overrun
            .or_default()
            .observe_abandoned(took / expected.max(1e-3), now);
    }

    /// The factor by which late calls wait longer than the work queued before them takes.
    pub(crate) fn wait_overrun(&self, service: &ServiceName, now: Moment) -> f64 {
        let overrun = self.overruns.get(service);
        overrun.map_or(1.0, |overrun| overrun.factor(now))
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<WorkChange> {
        std::mem::take(&mut self.changes)
    }

    /// This instance's unread prompts that were sent less than `age` ago.
    pub fn recent_jobs(&self, age: Duration, now: Moment) -> Vec<(EngineId, Job)> {
        let jobs = self.busy().flat_map(|engine| {
            let id = &engine.record.id;
            engine.pending.iter().map(move |p| (id.clone(), p.job))
        });
        jobs.filter(|(_, job)| job.work > 0 && now.saturating_sub(job.sent_at) < age)
            .collect()
    }

    /// Rate of prompt work sent by all instances lately, in tokens per millisecond.
    pub fn work_rate(&self, service: &ServiceName, now: Moment) -> f64 {
        self.work_rates
            .get(service)
            .map_or(0.0, |flow| flow.rate(now))
    }

    /// Counts a call that is refused because of rate limits. Returns the time after which its
    /// caller may retry.
    pub(crate) fn defer(&mut self, service: &ServiceName, now: Moment) -> Duration {
        let limits = self
            .ready(service)
            .filter_map(|engine| self.throttles.limit(&engine.record.id));
        let per_second = limits.map(Rate::per_second).sum();
        self.throttles.defer(service, per_second, now)
    }

    /// Drops the work of silent instances, and stage changes that did not happen in time.
    pub fn expire(&mut self, now: Moment) {
        self.throttles.forget_long_lifted_limits(now);
        self.paused_until.retain(|_, until| now < *until);
        let engines = &mut self.engines;
        self.stage_changes.retain(|id| {
            let Some(engine) = engines.get_mut(id) else {
                return false;
            };
            let is_over =
                |change: &mut StageChange| now.saturating_sub(change.since) > STAGE_CHANGE_TIMEOUT;
            engine.stage_change.take_if(is_over);
            engine.stage_change.is_some()
        });
        let peers = self.peer_heard_at.iter();
        let silent = peers.filter(|(_, heard)| now.saturating_sub(**heard) > PEER_WORK_AGE);
        let silent: Vec<PeerId> = silent.map(|(peer, _)| *peer).collect();
        for peer in silent {
            self.forget_peer(peer, now);
        }
    }

    /// This instance's work at each engine, for reports to others.
    pub fn own_work(&self) -> Vec<(EngineId, Work)> {
        self.busy()
            .map(|engine| (engine.record.id.clone(), engine.own_work()))
            .collect()
    }

    fn busy(&self) -> impl Iterator<Item = &Engine> {
        self.busy_engines
            .iter()
            .filter_map(|id| self.engines.get(id))
    }

    /// Records that an engine reads these parts, and caches them.
    pub fn cache_parts(
        &mut self,
        id: &EngineId,
        prompt: &[Part],
        kv_capacity_tokens: u64,
        now: Moment,
    ) {
        if self.engines.contains_key(id) {
            self.parts.record(id, prompt, kv_capacity_tokens, now);
        }
    }

    /// Removes an engine whose record is gone, unless this instance has calls there.
    fn remove_if_unused(&mut self, id: &str) {
        let is_unused = |engine: &Engine| engine.record_gone && engine.own_calls == 0;
        if !self.engines.get(id).is_some_and(is_unused) {
            return;
        }
        let Some((id, engine)) = self.engines.remove_entry(id) else {
            return;
        };
        self.uncount_version(&engine.record);
        self.parts.forget(&id);
        self.throttles.forget(&id);
        self.leaving.remove(&id);
        self.paused_until.remove(&id);
        self.by_short_hash.remove(&hash::hash32(&id));
    }
}
