//! Which engines should read prompts and which should generate. The load that this answers: prompts of
//! thousands of tokens with answers of some tens, so that engines which generate have most of their
//! slots free while calls wait to be read. An engine that only reads is twice as fast at it, and the
//! others then generate undisturbed. See `docs/design/platform.md`, "Roles".

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::{Engine, Stage};
use crate::{EngineId, Fleet, ServiceName, Zone};

/// One engine that should change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub engine: EngineId,
    /// What it should do.
    pub stage: Stage,
}

/// What is changed at once.
pub type RoleChanges = SmallVec<[RoleChange; 4]>;

/// Engines that generate, at the least, of all. The fewer they are, the more streams each failing one
/// takes along and the sooner the rest of them is full. Origin: measured on both of the users'
/// deployments between 20 and 65 in 100, see `docs/MEASUREMENTS.md`.
const MIN_DECODE_SHARE: f64 = 0.45;
/// Engines that read, at the least, of all: the split that deployments start with.
const MIN_PREFILL_SHARE: f64 = 0.35;
/// Share of the slots of engines that generate up to which nothing speaks for more of them. Origin:
/// measured; at 0.25 and 0.45 engines change back and forth with the mix, at a loss.
const TARGET_FILL: f64 = 0.7;
/// The peak of the filled share is forgotten by half in this time. Mixes swing within seconds, and a
/// change takes three.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Fewest engines that are worth a plan: of fewer, one that changes is too large a part.
const MIN_ENGINES: usize = 6;
/// Engines that a split may be off before it is changed, as a share of all; two at least. A change
/// takes an engine away for seconds, so that chasing the last one costs more than it gains.
const SLACK_SHARE: f64 = 0.1;
/// Engines that change at once under load, as a share of all; one at least.
const CONCURRENT_SHARE: f64 = 0.08;
/// Time for which a split must be off before it is changed. What others have at engines is known a
/// second after a start, and engines that are replaced come one after the other.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Share of what all engines could read at which reading is scarce. Below it calls hardly wait for each other, and
/// every order is paid for.
const SCARCE_READ_SHARE: f64 = 0.2;
/// Engines that change before any load is known. On a small deployment these are all, and none changes under the
/// first load; on a large one they cost little if the load never comes.
const MAX_BLIND_CHANGES: usize = 16;

/// The plan for one service's engines.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Peak of the share of slots filled at engines that generate, and when it was looked at.
    peak_fill: f64,
    updated_at: Option<Moment>,
    /// Peak of what is read, as a share of what all engines could read.
    peak_read: f64,
    /// Since when the split has been off.
    off_since: Option<Moment>,
    /// Engines that were to change before any load was known.
    blind: BTreeSet<EngineId>,
}

/// Engines of a service as the plan sees them.
struct Split<'a> {
    decode: Vec<&'a Engine>,
    prefill: Vec<&'a Engine>,
    changing_count: usize,
}

impl<'a> Split<'a> {
    fn new(fleet: &'a Fleet, service: &'a ServiceName) -> Self {
        let mut split = Self {
            decode: Vec::new(),
            prefill: Vec::new(),
            changing_count: 0,
        };
        for engine in fleet.active(service) {
            split.changing_count += usize::from(engine.stage_change.is_some());
            match engine.target_stage() {
                Some(Stage::Decode) => split.decode.push(engine),
                Some(Stage::Prefill) => split.prefill.push(engine),
                None => {}
            }
        }
        split
    }

    fn count(&self) -> usize {
        self.decode.len() + self.prefill.len()
    }

    /// Tokens of work that the engines of a data centre, or all, read in a millisecond.
    fn speed(&self, fleet: &Fleet) -> f64 {
        let all = self.decode.iter().chain(&self.prefill);
        all.map(|engine| fleet.speed(engine).tokens_per_ms).sum()
    }

    /// Share of the slots that are taken at engines that generate.
    fn fill(&self) -> f64 {
        let (mut running, mut slots) = (0, 0);
        for engine in &self.decode {
            running += engine.running_calls();
            slots += engine.record.slots;
        }
        f64::from(running) / f64::from(slots.max(1))
    }
}

impl Planner {
    /// What should change now.
    ///
    /// Without any load up to [`BLIND`] engines change at once, since nobody waits for them.
    pub fn plan(&mut self, fleet: &Fleet, service: &ServiceName, now: Moment) -> RoleChanges {
        let split = Split::new(fleet, service);
        let read_share = fleet.work_rate(service, now) / split.speed(fleet).max(1.0);
        self.update_peaks(split.fill(), read_share, now);
        let count = split.count();
        let more_prefill = if count < MIN_ENGINES || split.prefill.is_empty() {
            0
        } else {
            self.more_prefill(&split)
        };
        if more_prefill == 0 {
            self.off_since = None;
            return RoleChanges::new();
        }
        let since = *self.off_since.get_or_insert(now);
        if now.saturating_sub(since) < HOLD_TIME {
            return RoleChanges::new();
        }
        let is_idle = self.peak_fill == 0.0 && self.peak_read == 0.0;
        let allowed = if is_idle {
            MAX_BLIND_CHANGES.saturating_sub(self.blind_changes(fleet))
        } else {
            ceil_share(count, CONCURRENT_SHARE)
                .max(1)
                .saturating_sub(split.changing_count)
        };
        let room = allowed.min(more_prefill.unsigned_abs());
        let (from, stage) = if more_prefill > 0 {
            (split.decode, Stage::Prefill)
        } else {
            (split.prefill, Stage::Decode)
        };
        let changes = pick(from, room, stage);
        if is_idle {
            let ids = changes.iter().map(|change| change.engine.clone());
            self.blind.extend(ids);
        }
        changes
    }

    /// Engines that were to change before any load was known and do, whoever ordered them. What was only
    /// planned does not count: an instance that cannot claim, or waits for another one, would use it up.
    fn blind_changes(&self, fleet: &Fleet) -> usize {
        let is_reading = |id: &&EngineId| {
            let engine = fleet.get(id);
            engine.is_some_and(|engine| engine.target_stage() == Some(Stage::Prefill))
        };
        self.blind.iter().filter(is_reading).count()
    }

    fn update_peaks(&mut self, fill: f64, read: f64, now: Moment) {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.peak_fill = peak(self.peak_fill * decay, fill);
        self.peak_read = peak(self.peak_read * decay, read);
        self.updated_at = Some(now);
    }

    /// Engines that should read beyond those that do, below zero if fewer; zero within the slack.
    fn more_prefill(&self, split: &Split) -> isize {
        let count = split.count();
        let by_load = ceil_share(split.decode.len(), self.peak_fill / TARGET_FILL);
        let most = count - ceil_share(count, MIN_PREFILL_SHARE);
        let decode = ceil_share(count, MIN_DECODE_SHARE).max(by_load).min(most);
        let more = split.decode.len().cast_signed() - decode.cast_signed();
        let slack = ceil_share(count, SLACK_SHARE).max(2);
        let is_known = self.peak_fill > 0.0 || self.peak_read > 0.0;
        if more.unsigned_abs() < slack
            || (more > 0 && is_known && self.peak_read < SCARCE_READ_SHARE)
        {
            return 0;
        }
        more
    }
}

/// What is left of a peak, or what is there now. Very little counts as none.
fn peak(decayed: f64, current: f64) -> f64 {
    let peak = decayed.max(current);
    if peak < 1e-3 { 0.0 } else { peak }
}

fn ceil_share(count: usize, share: f64) -> usize {
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let rounded = (count as f64 * share).ceil() as usize;
    rounded
}

/// The engines with the least to do, from the data centres that have the most of them, so that each
/// keeps some of both.
fn pick(mut candidates: Vec<&Engine>, most: usize, stage: Stage) -> RoleChanges {
    let mut remaining: BTreeMap<Zone, usize> = BTreeMap::new();
    for engine in &candidates {
        *remaining.entry(engine.record.zone.clone()).or_default() += 1;
    }
    candidates.retain(|engine| engine.takes_calls());
    let mut changes = RoleChanges::new();
    while changes.len() < most {
        let best = candidates.iter().enumerate().min_by_key(|(_, engine)| {
            let zone = remaining
                .get(&engine.record.zone)
                .copied()
                .unwrap_or_default();
            (
                std::cmp::Reverse(zone),
                engine.running_calls(),
                &engine.record.id,
            )
        });
        let Some((index, _)) = best else { break };
        let engine = candidates.swap_remove(index);
        if let Some(left) = remaining.get_mut(&engine.record.zone) {
            *left -= 1;
        }
        changes.push(RoleChange {
            engine: engine.record.id.clone(),
            stage,
        });
    }
    changes
}
