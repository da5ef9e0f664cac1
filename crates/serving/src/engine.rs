//! State of one engine: its record, its queued work and its speed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::fleet::PeerId;
use crate::health::{Health, PeerReports};
use crate::pace::{OpenInterval, Pace};
use crate::pauses::ReadActivity;
use crate::quarantine::Build;
use crate::queue;
use crate::{EngineId, ServiceName, Zone, hash};

/// The phase of a generation that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Reads prompts for other engines.
    Prefill,
    /// Generates, and reads prompts at half the speed of a prefill engine.
    Decode,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Is about to leave and takes no new work.
    Draining,
}

/// What an engine registers about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Id of this incarnation, unique among all engines and all their starts.
    pub id: EngineId,
    /// Its name on the platform, which a later start may have again.
    pub name: Rc<str>,
    /// Its start in milliseconds since the Unix epoch, if known. Of two incarnations with the same
    /// name the later one is current.
    pub started_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Zone,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Its stage; set for engines of a model.
    pub stage: Option<Stage>,
    /// Version of its weights, if it has a model.
    pub weights: Option<u64>,
    /// Version of its software, if known.
    pub software: Option<Rc<str>>,
    /// Whether the platform may reclaim it, together with all such engines of its data centre.
    pub reclaimable: bool,
}

impl Record {
    /// Hash of software and weights: a call that crashes one build may run well on the next.
    pub fn build(&self) -> Build {
        let software = self.software.as_deref().unwrap_or_default();
        hash::hash32(&format!("{software} {:?}", self.weights))
    }

    /// Whether it may go on with a stream that engines of this software version began, if one did.
    pub fn continues(&self, software: Option<&str>) -> bool {
        software.is_none_or(|software| self.software.as_deref().unwrap_or_default() == software)
    }
}

/// Scheduling rank at an engine; 0 is the most urgent.
pub type Rank = u8;

/// Added to the rank of a call that cannot be on time, so that it yields to calls that can: its
/// answer is worth the same a second later, while a long prompt could make ten short ones late.
pub const LATE_RANK: Rank = 4;

/// Number of a call at the instance that sent it.
pub type Ticket = u32;

/// A prompt that has been sent to an engine and not been read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number of the call.
    pub ticket: Ticket,
    /// When it was sent, by this instance's clock.
    pub sent_at: Moment,
    /// Its scheduling rank.
    pub rank: Rank,
    /// Its work, in tokens of [`crate::speed::work`].
    pub work: u32,
}

/// The work of one instance at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Calls sent and not yet ended.
    pub calls: u32,
    /// Prompts sent and not yet read.
    pub jobs: SmallVec<[Job; 4]>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub job: Job,
    /// Expected time until it is read, at the engine's speed.
    pub expected_read_time: Duration,
    /// Whether no earlier prompt was known to be queued.
    pub was_idle: bool,
}

/// A stage change that an engine has been ordered to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The new stage.
    pub stage: Stage,
    /// When it was ordered or announced, by this instance's clock.
    pub since: Moment,
    /// Whether this instance ordered it.
    pub own: bool,
}

/// An engine as known to this instance.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its latest record.
    pub record: Record,
    /// [`hash::hash32`] of its id.
    pub(crate) id_hash: u32,
    /// Outcomes of this instance's calls.
    pub health: Health,
    /// Outcomes of other instances' calls.
    pub peer_reports: PeerReports,
    /// Whether its record is gone. The engine is kept until its last call ends.
    pub record_gone: bool,
    /// Whether it has announced that it leaves. It ends soon, so this is never taken back.
    pub leaving: bool,
    /// Set while a stage change is in progress.
    pub stage_change: Option<StageChange>,
    /// Its time per unit of work: of prompts at an engine of a model, of calls at others. See
    /// [`crate::Fleet::slowdown`].
    pub pace: Pace,
    pub(crate) open_interval: OpenInterval,
    pub(crate) own_calls: u32,
    pub(crate) pending: SmallVec<[Pending; 8]>,
    pub(crate) peer_work: BTreeMap<PeerId, Work>,
    /// When the last prompt that is known to have been read was finished.
    pub(crate) last_read_at: Moment,
    /// When it had prompts to read.
    pub(crate) reading: ReadActivity,
}

impl Engine {
    /// Whether this instance has calls there.
    pub fn has_own_calls(&self) -> bool {
        self.own_calls > 0
    }

    /// An engine without calls.
    pub fn new(record: Record) -> Self {
        Self {
            leaving: record.state == State::Draining,
            id_hash: hash::hash32(&record.id),
            record,
            health: Health::default(),
            peer_reports: PeerReports::default(),
            record_gone: false,
            stage_change: None,
            pace: Pace::default(),
            open_interval: OpenInterval::default(),
            own_calls: 0,
            pending: SmallVec::new(),
            peer_work: BTreeMap::new(),
            last_read_at: Moment::ZERO,
            reading: ReadActivity::default(),
        }
    }

    /// Its stage once a change in progress has finished.
    pub fn target_stage(&self) -> Option<Stage> {
        self.stage_change
            .map_or(self.record.stage, |change| Some(change.stage))
    }

    /// Whether it takes new calls now or after its stage change: its record is there, and it is
    /// neither leaving nor known to have ended.
    pub fn is_active(&self) -> bool {
        !self.record_gone && !self.health.has_ended() && !self.leaving
    }

    /// Whether it takes new calls now.
    pub fn takes_calls(&self) -> bool {
        self.is_active() && self.stage_change.is_none()
    }

    /// Whether the outcomes of recent calls allow one more now.
    pub fn is_available(&self, now: Moment) -> bool {
        self.health.is_available(now) && self.peer_reports.is_available(now)
    }

    /// Share of recent calls that failed, from 0 to 1.
    pub fn failures(&self, now: Moment) -> f64 {
        self.health
            .failures(now)
            .max(self.peer_reports.failures(now))
    }

    /// This instance's work at the engine.
    pub fn own_work(&self) -> Work {
        Work {
            calls: self.own_calls,
            jobs: self.pending.iter().map(|pending| pending.job).collect(),
        }
    }

    /// Number of calls of all instances at the engine.
    pub fn running_calls(&self) -> u32 {
        let peer_calls = self.peer_work.values().map(|work| work.calls);
        self.own_calls + peer_calls.sum::<u32>()
    }

    /// Number of calls beyond its slots.
    pub fn waiting_calls(&self) -> u32 {
        self.running_calls().saturating_sub(self.record.slots)
    }

    /// Share of its slots that are occupied, above one if calls wait for a slot.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.running_calls()) / f64::from(self.record.slots.max(1))
    }

    /// Unread prompts of all instances, oldest first.
    pub fn pending_jobs(&self) -> SmallVec<[Job; 16]> {
        let own = self.pending.iter().map(|pending| pending.job);
        let peer_jobs = self
            .peer_work
            .values()
            .flat_map(|work| work.jobs.iter().copied());
        let mut jobs: SmallVec<[Job; 16]> = own.chain(peer_jobs).collect();
        jobs.sort_by_key(|job| job.sent_at);
        jobs
    }

    /// Time from now until a new job has been read, if the engine reads `rate` tokens of work per
    /// millisecond.
    pub fn time_until_read(&self, new: Job, rate: f64) -> Duration {
        let is_idle = self.pending.is_empty() && self.peer_work.is_empty();
        let jobs = if is_idle {
            SmallVec::new()
        } else {
            self.pending_jobs()
        };
        queue::time_until_read(&jobs, self.last_read_at, new, rate)
    }

    /// Records that a prompt has been read. Returns the work and the milliseconds in which the engine
    /// was busy with it, once both are known.
    ///
    /// The engine was busy all the time since the previous end if another prompt was waiting; else
    /// since the oldest prompt was sent. An earlier prompt that still waits may have taken most of
    /// the time, and its report be late or lost.
    pub(crate) fn end_interval(&mut self, job: Job, end: Moment) -> Option<(f64, f64)> {
        let jobs = self.pending_jobs();
        let mut waiting = jobs.iter().filter(|job| job.work > 0);
        let is_before = |waiting: &Job| (waiting.rank, waiting.sent_at) < (job.rank, job.sent_at);
        let is_overtaking = waiting.clone().any(is_before);
        let oldest = waiting
            .next()
            .map_or(job.sent_at, |waiting| waiting.sent_at.min(job.sent_at));
        let begun = self.last_read_at.max(oldest);
        self.last_read_at = self.last_read_at.max(end);
        self.open_interval.work += f64::from(job.work);
        self.open_interval.busy_ms += end.saturating_sub(begun).as_secs_f64() * 1_000.0;
        if is_overtaking {
            return None;
        }
        let interval = std::mem::take(&mut self.open_interval);
        (!interval.lost_prompt).then_some((interval.work, interval.busy_ms))
    }

    /// Updates whether the engine has prompts to read.
    pub(crate) fn update_reading(&mut self, now: Moment) {
        let own = self.pending.iter().any(|pending| pending.job.work > 0);
        let reads = |work: &Work| work.jobs.iter().any(|job| job.work > 0);
        let is_reading = own || self.peer_work.values().any(reads);
        self.reading.set(is_reading, now);
    }
}
