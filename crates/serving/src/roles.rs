//! Plans which engines read prompts and which generate. With prompts of thousands of tokens and
//! answers of some tens, generating engines have most of their slots free while calls wait to be
//! read. An engine that only reads is twice as fast at it, and the others then generate
//! undisturbed. See `docs/design/platform.md`, "Roles".

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::{Engine, Stage};
use crate::{EngineId, Fleet, ServiceName, Zone};

/// A change of one engine's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub engine: EngineId,
    /// Its new stage.
    pub stage: Stage,
}

/// Changes that are made together.
pub type RoleChanges = SmallVec<[RoleChange; 4]>;

/// Least share of engines that generate. The fewer there are, the more streams each failing one
/// cuts, and the sooner the rest is full. See `docs/MEASUREMENTS.md` for shares between 0.2 and
/// 0.65 on both of the users' deployments.
const MIN_DECODE_SHARE: f64 = 0.45;
/// Least share of engines that read: the split that deployments start with.
const MIN_PREFILL_SHARE: f64 = 0.35;
/// Share of filled slots of generating engines up to which no more of them are needed. At 0.25 and
/// 0.45 engines change back and forth with the mix, at a loss.
const TARGET_FILL: f64 = 0.7;
/// Half-life of the recorded peaks. Mixes change within seconds, and a stage change takes three.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Least number of engines for which changes are planned: of fewer, one changing engine is too
/// large a part.
const MIN_ENGINES: usize = 6;
/// Tolerated deviation of the split as a share of all engines, at least two. A change takes an
/// engine away for seconds, so correcting the last one costs more than it gains.
const SLACK_SHARE: f64 = 0.1;
/// Share of all engines that change at the same time under load, at least one.
const CONCURRENT_SHARE: f64 = 0.08;
/// Time for which a split must be off before it is changed. The work of other instances is known a
/// second after a start, and engines are replaced one after the other.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Share of the total reading capacity above which reading is scarce. Below it calls hardly wait
/// for each other, and every order is paid for.
const SCARCE_READ_SHARE: f64 = 0.2;
/// Engines that change before any load is known. On a small deployment these are all, so none
/// changes under the first load; on a large one they cost little if the load never comes.
const MAX_BLIND_CHANGES: usize = 16;

/// Planner for the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Decaying peak of the share of filled slots on generating engines.
    peak_fill: f64,
    updated_at: Option<Moment>,
    /// Decaying peak of the prompt work, as a share of the total reading capacity.
    peak_read: f64,
    /// Since when the split has been off.
    off_since: Option<Moment>,
    /// Engines that were to change before any load was known.
    blind: BTreeSet<EngineId>,
}

/// The engines of a service by target stage.
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

    /// Reading speed of all engines together, in tokens of work per millisecond.
    fn speed(&self, fleet: &Fleet) -> f64 {
        let all = self.decode.iter().chain(&self.prefill);
        all.map(|engine| fleet.speed(engine).tokens_per_ms).sum()
    }

    /// Share of filled slots on generating engines.
    fn fill(&self) -> f64 {
        let (mut running, mut slots) = (0.0, 0.0);
        for engine in &self.decode {
            running += f64::from(engine.running_calls());
            slots += f64::from(engine.record.slots);
        }
        running / f64::max(slots, 1.0)
    }
}

impl Planner {
    /// The changes to order now.
    ///
    /// Without any load up to `MAX_BLIND_CHANGES` engines change at once, since no call waits for
    /// them.
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
        let count_limit = allowed.min(more_prefill.unsigned_abs());
        let (from, stage) = if more_prefill > 0 {
            (split.decode, Stage::Prefill)
        } else {
            (split.prefill, Stage::Decode)
        };
        let changes = pick(from, count_limit, stage);
        if is_idle {
            let ids = changes.iter().map(|change| change.engine.clone());
            self.blind.extend(ids);
        }
        changes
    }

    /// Engines planned without load whose change was ordered, by any instance. Changes that were
    /// only planned do not count: an instance that cannot claim, or waits for another one, would
    /// use them up.
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

    /// Number of further engines that should read; negative if fewer should, zero within the
    /// tolerated deviation.
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

/// The larger of the decayed peak and the current value. Very small values count as zero.
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

/// Chooses the engines with the fewest running calls, from the data centres that have the most
/// engines of that stage, so that each keeps some of both.
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
