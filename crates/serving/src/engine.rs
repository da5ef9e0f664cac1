//! What is known of one engine: its record, the work before it, and how fast it is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::fleet::PeerId;
use crate::health::{Health, PeerReports};
use crate::pauses::ReadActivity;
use crate::quarantine::Build;
use crate::queue;
use crate::{EngineId, ServiceName, Zone, hash};

/// Which half of a generation an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Reads prompts for others.
    Prefill,
    /// Generates, and reads prompts at half the speed.
    Decode,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Is about to leave.
    Draining,
}

/// What an engine says of itself where all engines register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its incarnation, which no other engine and no other start of the same one shares.
    pub id: EngineId,
    /// Its name on the platform, which a later start may bear again.
    pub name: Rc<str>,
    /// Its start, in milliseconds since the Unix epoch, where it says so. Of two incarnations with one name
    /// the later one counts.
    pub started_ms: Option<u64>,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Zone,
    /// Calls at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Set for model engines that have a stage.
    pub stage: Option<Stage>,
    /// Version of its weights, where it has a model.
    pub weights: Option<u64>,
    /// Version of its software, where it says so.
    pub software: Option<Rc<str>>,
    /// Whether it may be reclaimed, together with all such engines of its data centre.
    pub reclaimable: bool,
}

impl Record {
    /// What it runs: a call that ends one build may run well on the next.
    pub fn build(&self) -> Build {
        let software = self.software.as_deref().unwrap_or_default();
        hash::hash32(&format!("{software} {:?}", self.weights))
    }
}

/// Urgency at an engine; 0 is first.
pub type Rank = u8;

/// Ranks by which a call that cannot be on time yields to calls that can: its answer is worth the same a second
/// later, and a long prompt that cannot be on time would make ten short ones late.
pub const LATE_RANK: Rank = 4;

/// Number of a call in the books of the instance that sent it.
pub type Ticket = u32;

/// A prompt that an engine has been sent and has not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number of the call.
    pub ticket: Ticket,
    /// When it was sent, on this instance's clock.
    pub sent_at: Moment,
    /// Its urgency.
    pub rank: Rank,
    /// Work that it is, in tokens of [`crate::speed::work`].
    pub work: u32,
}

/// What one instance has at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Calls sent and not ended.
    pub calls: u32,
    /// Prompts that are not read yet.
    pub jobs: SmallVec<[Job; 4]>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub job: Job,
    /// When it was expected to be read, at the speed of its stage.
    pub expected_read_time: Duration,
    /// Whether nothing was known to be before it.
    pub was_idle: bool,
}

/// A change that an engine has been ordered to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// What it will do.
    pub stage: Stage,
    /// When it was ordered, or heard of, on this instance's clock.
    pub since: Moment,
    /// Whether this instance ordered it.
    pub own: bool,
}

/// An engine as this instance sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What it says of itself.
    pub record: Record,
    /// Outcomes of this instance's calls.
    pub health: Health,
    /// Outcomes of the calls of others.
    pub peer_reports: PeerReports,
    /// Whether its record is gone; kept until its last call ends.
    pub record_gone: bool,
    /// Set while it changes what it does.
    pub stage_change: Option<StageChange>,
    /// Time that work takes here against what the speed of its stage gives; 1 is as expected.
    pub slowdown: f64,
    pub(crate) own_calls: u32,
    pub(crate) pending: SmallVec<[Pending; 8]>,
    pub(crate) peer_work: BTreeMap<PeerId, Work>,
    /// When the last prompt that is known to be read was read.
    pub(crate) last_read_at: Moment,
    /// When it has had prompts to read.
    pub(crate) reading: ReadActivity,
}

/// Weight of one observation in [`Engine::pace`], where nothing was before the call.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Weight where something was: what others sent just before is not known yet, and a wait for it says
/// little of the engine's pace.
const QUEUED_SLOWDOWN_WEIGHT: f64 = 0.04;
/// Bounds of [`Engine::pace`], so that one odd call does not close an engine.
const SLOWDOWN_RANGE: (f64, f64) = (0.25, 12.0);
/// Bounds of a single observation of the pace, for the same reason.
const SLOWDOWN_SAMPLE_RANGE: (f64, f64) = (0.3, 8.0);

impl Engine {
    /// An engine without work.
    pub fn new(record: Record) -> Self {
        Self {
            record,
            health: Health::default(),
            peer_reports: PeerReports::default(),
            record_gone: false,
            stage_change: None,
            slowdown: 1.0,
            own_calls: 0,
            pending: SmallVec::new(),
            peer_work: BTreeMap::new(),
            last_read_at: Moment::ZERO,
            reading: ReadActivity::default(),
        }
    }

    /// What it does, or will do once it has changed.
    pub fn target_stage(&self) -> Option<Stage> {
        self.stage_change
            .map_or(self.record.stage, |change| Some(change.stage))
    }

    /// Whether it takes new calls, or will once it has changed: its record says so, and nothing that it has ended.
    pub fn is_active(&self) -> bool {
        !self.record_gone && !self.health.has_ended() && self.record.state == State::Ready
    }

    /// Whether it takes new calls now.
    pub fn takes_calls(&self) -> bool {
        self.is_active() && self.stage_change.is_none()
    }

    /// Whether nothing that calls came to speaks against one more now.
    pub fn is_available(&self, now: Moment) -> bool {
        self.health.is_available(now) && self.peer_reports.is_available(now)
    }

    /// Share of recent calls that failed, from 0 to 1.
    pub fn failures(&self, now: Moment) -> f64 {
        self.health
            .failures(now)
            .max(self.peer_reports.failures(now))
    }

    /// This instance's work here.
    pub fn own_work(&self) -> Work {
        Work {
            calls: self.own_calls,
            jobs: self.pending.iter().map(|pending| pending.job).collect(),
        }
    }

    /// Calls of all instances here.
    pub fn running_calls(&self) -> u32 {
        let peer_calls = self.peer_work.values().map(|work| work.calls);
        self.own_calls + peer_calls.sum::<u32>()
    }

    /// Prompts of all instances that are not read yet, the oldest first.
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

    /// Time from now until a new job has been read, if a millisecond reads `rate` tokens of work.
    pub fn time_until_read(&self, new: Job, rate: f64) -> Duration {
        queue::time_until_read(
            &self.pending_jobs(),
            self.last_read_at,
            new,
            rate / self.slowdown,
        )
    }

    /// Takes in whether there are prompts to read from now on.
    pub(crate) fn update_reading(&mut self, now: Moment) {
        let own = self.pending.iter().any(|pending| pending.job.work > 0);
        let reads = |work: &Work| work.jobs.iter().any(|job| job.work > 0);
        let is_reading = own || self.peer_work.values().any(reads);
        self.reading.set(is_reading, now);
    }

    /// Takes in that work took `took` milliseconds where `expected` were expected.
    pub(crate) fn observe_slowdown(&mut self, expected: f64, took: f64, was_idle: bool) {
        if expected <= 0.0 {
            return;
        }
        let weight = if was_idle {
            SLOWDOWN_WEIGHT
        } else {
            QUEUED_SLOWDOWN_WEIGHT
        };
        let ratio = (took / expected).clamp(SLOWDOWN_SAMPLE_RANGE.0, SLOWDOWN_SAMPLE_RANGE.1);
        let next = self.slowdown * (ratio / self.slowdown).powf(weight);
        self.slowdown = next.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
    }
}
