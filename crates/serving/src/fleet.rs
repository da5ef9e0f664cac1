//! All engines, the work at each, and the parts that each has read.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;

use crate::decaying_rate::DecayingRate;
use crate::engine::{
    Engine, Job, LATE_RANK, Pending, Rank, Record, Stage, StageChange, Ticket, Work,
};
use crate::health::Outcome;
use crate::overrun::WaitOverrun;
use crate::parts::{CachedParts, Part};
use crate::pauses::PauseModel;
use crate::speed::Speed;
use crate::throttle::{Rate, Throttles};
use crate::{EngineId, ServiceName, hash, queue};

mod peer_work;
mod remote;
mod streams;

use remote::RemoteCall;

/// Id of another instance.
pub type PeerId = u64;

/// What other instances said longer ago than this no longer counts. Each tells all once a second,
/// and two of these may be lost.
const PEER_WORK_AGE: Duration = Duration::from_millis(3_200);

/// Longest time that a change of what an engine does is waited for: its calls in hand end within
/// some seconds, and the change itself takes three.
const STAGE_CHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// A call that was sent to an engine, in the books.
#[derive(Clone, Debug)]
pub struct SentCall {
    /// Where it went.
    pub engine: EngineId,
    ticket: Ticket,
}

/// The engines as this instance sees them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    engines: BTreeMap<EngineId, Engine>,
    by_short_hash: HashMap<u32, EngineId>,
    /// Which engine has read what.
    pub parts: CachedParts,
    /// Rate limits that engines have announced.
    pub throttles: Throttles,
    next_ticket: Ticket,
    speeds: HashMap<(ServiceName, Stage), Speed>,
    /// When each other instance was last heard of.
    peer_heard_at: BTreeMap<PeerId, Moment>,
    /// Engines at which each other instance has had work since it last told all. Without this every state of
    /// every instance would cost a look at every engine.
    peer_engines: HashMap<PeerId, Vec<EngineId>>,
    /// Engines at which this instance has calls, since frames tell of these many times a second.
    busy_engines: BTreeSet<EngineId>,
    /// Engines that change what they do.
    stage_changes: BTreeSet<EngineId>,
    /// Calls that this instance placed for others, by the numbers that they have there.
    remote_calls: HashMap<PeerId, HashMap<Ticket, RemoteCall>>,
    /// Work of prompts sent by all instances, by service.
    work_rates: HashMap<ServiceName, DecayingRate>,
    changes: Vec<WorkChange>,
    /// How much longer calls that yield wait, by service.
    overruns: HashMap<ServiceName, WaitOverrun>,
    /// Pauses of streams, by service.
    pauses: HashMap<ServiceName, PauseModel>,
}

/// Something that changed in this instance's work at the engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkChange {
    /// A prompt was sent.
    Started(EngineId, Job),
    /// A prompt was read, at this moment.
    Read(EngineId, Ticket, Moment),
    /// A call ended, with what it tells of the engine.
    Ended(EngineId, Ticket, Option<Outcome>),
    /// An engine has ended although its record stands.
    EngineEnded(EngineId),
}

impl Fleet {
    /// How fast engines of a stage read, as far as is known.
    pub fn speed(&self, engine: &Engine) -> Speed {
        let stage = engine.record.stage.unwrap_or(Stage::Decode);
        let key = (engine.record.service.clone(), stage);
        let known = self.speeds.get(&key).copied();
        known.unwrap_or_else(|| Speed::new(stage))
    }

    /// Takes in an engine's record. Says whether it changed something.
    pub fn put(&mut self, record: Record) -> bool {
        match self.engines.get_mut(&record.id) {
            Some(engine) => {
                let changed = engine.record_gone || engine.record != record;
                engine.record_gone = false;
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

    /// Takes in that an engine's record is gone. Says whether it changed something.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        let changed = !engine.record_gone;
        engine.record_gone = true;
        self.remove_unused();
        changed
    }

    /// Names of all engines whose records stand.
    pub fn names(&self) -> Vec<Rc<str>> {
        let standing = self.engines.values().filter(|engine| !engine.record_gone);
        standing.map(|engine| engine.record.name.clone()).collect()
    }

    /// An engine by id, also one whose record is gone and that still has calls.
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// The engine whose id has this short number.
    pub fn by_hash(&self, hash: u32) -> Option<EngineId> {
        self.by_short_hash.get(&hash).cloned()
    }

    /// Engines of a service that take new calls by their record.
    pub fn ready<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Engine> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.takes_calls() && engine.record.service == *service)
    }

    /// Engines of a service that take new calls, or will once they have changed.
    pub fn active<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Engine> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.is_active() && engine.record.service == *service)
    }

    /// Takes in that an engine was ordered to change what it does. It gets no calls until its record
    /// says that it has, or for [`CHANGE`].
    pub fn begin_stage_change(&mut self, id: &str, change: StageChange) {
        if let Some(engine) = self.engines.get_mut(id)
            && engine.record.stage != Some(change.stage)
        {
            engine.stage_change.get_or_insert(change);
            self.stage_changes.insert(engine.record.id.clone());
        }
    }

    /// Takes in that an engine does not change after all.
    pub fn cancel_stage_change(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.stage_change = None;
        }
    }

    /// Engines that this instance has ordered to change what they do.
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

    /// Enters a call that is about to be sent, with the work that its prompt is there.
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

    /// A prompt at an engine, with when it will be read if the engine keeps the pace of its stage.
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

    /// Takes in that the first answer of a call is there, so that its prompt has been read.
    pub fn prompt_read(&mut self, sent: &SentCall, now: Moment) {
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

    /// Learns from when a prompt was read.
    fn learn(&mut self, id: &EngineId, pending: &Pending, at: Moment) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let took = at.saturating_sub(pending.job.sent_at);
        let stage = engine.record.stage.unwrap_or(Stage::Decode);
        let key = (engine.record.service.clone(), stage);
        let speed = self.speeds.entry(key).or_insert_with(|| Speed::new(stage));
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

    /// Takes in that a call has ended.
    pub fn end_call(&mut self, sent: &SentCall, outcome: Option<Outcome>, now: Moment) {
        self.learn_from_unread(sent, now);
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
                self.remove_unused();
            }
        }
    }

    /// Takes in how long a call that yields had waited if it ends before its prompt was read.
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

    /// How much longer than what is before it a call that yields waits, as a factor.
    pub(crate) fn wait_overrun(&self, service: &ServiceName, now: Moment) -> f64 {
        let overrun = self.overruns.get(service);
        overrun.map_or(1.0, |overrun| overrun.factor(now))
    }

    /// What changed since the last question.
    pub fn take_changes(&mut self) -> Vec<WorkChange> {
        std::mem::take(&mut self.changes)
    }

    /// This instance's prompts that are not read yet and were sent less than `age` ago.
    pub fn recent_jobs(&self, age: Duration, now: Moment) -> Vec<(EngineId, Job)> {
        let jobs = self.busy().flat_map(|engine| {
            let id = &engine.record.id;
            engine.pending.iter().map(move |p| (id.clone(), p.job))
        });
        jobs.filter(|(_, job)| job.work > 0 && now.saturating_sub(job.sent_at) < age)
            .collect()
    }

    /// Tokens of work that all instances have had read lately, in a millisecond.
    pub fn work_rate(&self, service: &ServiceName, now: Moment) -> f64 {
        self.work_rates
            .get(service)
            .map_or(0.0, |flow| flow.rate(now))
    }

    /// Counts a call that limits of a service's engines keep away. Gives the time after which its caller may come back.
    pub(crate) fn defer(&mut self, service: &ServiceName, now: Moment) -> Duration {
        let limits = self
            .ready(service)
            .filter_map(|engine| self.throttles.limit(&engine.record.id));
        let per_second = limits.map(Rate::per_second).sum();
        self.throttles.defer(service, per_second, now)
    }

    /// Drops what silent instances said, and orders that had no effect.
    pub fn expire(&mut self, now: Moment) {
        self.throttles.expire(now);
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

    /// What this instance has at the engines, for the others.
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

    /// Takes in that an engine reads these parts.
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

    fn remove_unused(&mut self) {
        let parts = &mut self.parts;
        let throttles = &mut self.throttles;
        let by_short_hash = &mut self.by_short_hash;
        self.engines.retain(|id, engine| {
            let keep = !engine.record_gone || engine.own_calls > 0;
            if !keep {
                parts.forget(id);
                throttles.forget(id);
                by_short_hash.remove(&hash::hash32(id));
            }
            keep
        });
    }
}
