//! Learns how the engines of one service differ in speed.
//!
//! The load pattern: a third of the engines takes more than twice as long as the others, some stall
//! for a part of a second, and each has a queue most of the time. The time from sending a prompt to
//! its first answer then says more about the queue than about the engine. So only the time in which
//! the engine is known to have worked on the prompt counts: from the end of the previous prompt, or
//! from sending if the engine was idle. See `docs/design/pace.md`.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::Job;
use crate::linear_fit::LinearFit;
use crate::speed::Speed;

/// Time per unit of work at one engine, learned from samples.
///
/// The absolute time is stored, not the ratio to the service's mean: the mean is learned from the
/// same samples, and ratios to a mean that moves would drift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Mean logarithm of the time per unit of work.
    log: f64,
    /// Weight of the samples in the mean.
    weight: f64,
    /// Weight of the prior, the service's mean.
    prior: f64,
    /// Deviation of the last samples from the mean, in logarithms.
    deviation: f64,
    /// Number of last samples that deviate in the same direction.
    streak: u32,
    updated_at: Moment,
}

/// Share of the weight of earlier samples that is kept with each new one. About ten samples count,
/// a second or two of an engine under load.
const RETAINED: f64 = 0.9;
/// Weight of the prior, in samples.
const PRIOR_WEIGHT: f64 = 1.0;
/// Expected time at which a sample counts half. Frames, links and event loops add some milliseconds
/// to every time.
const NOISE_MS: f64 = 20.0;
/// Logarithm by which a sample of full weight deviates from the mean if its engine has changed.
const OUTLIER_LOG: f64 = 0.3;
/// Deviating samples in a row from which an engine counts as changed. A single one may be a lost
/// report or a long link delay.
const CHANGED_STREAK: u32 = 2;
/// Deviating samples in a row after which the deviation becomes the mean. A stall of 600 ms is over
/// before that many prompts.
const LASTING_STREAK: u32 = 8;
/// Time constant with which a deviation is forgotten without samples: an engine that is avoided
/// because it stalled gets none.
const DEVIATION_TIME: Duration = Duration::from_millis(1_500);
/// Bounds of the ratio of one sample to the service's mean, and of [`Pace::factor`], so that an
/// impossible duration or a wrong clock does not shut an engine out.
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);

impl Default for Pace {
    fn default() -> Self {
        Self {
            log: 0.0,
            weight: 0.0,
            prior: PRIOR_WEIGHT,
            deviation: 0.0,
            streak: 0,
            updated_at: Moment::ZERO,
        }
    }
}

impl Pace {
    /// Records that `work` took `took_ms` where an engine of mean speed takes `mean_ms`, all without
    /// times that do not depend on the engine.
    pub fn observe(&mut self, work: f64, took_ms: f64, mean_ms: f64, now: Moment) {
        if !(work > 0.0 && mean_ms > 0.0 && took_ms.is_finite()) {
            return;
        }
        let took_ms = took_ms.clamp(mean_ms * FACTOR_RANGE.0, mean_ms * FACTOR_RANGE.1);
        let log = (took_ms / work).ln();
        let sample_weight = mean_ms / (mean_ms + NOISE_MS);
        let experience = self.weight / (self.weight + self.prior);
        let mean = (mean_ms / work).ln();
        let expected = mean + experience * (self.log - mean);
        self.track_deviation(log - expected, sample_weight, now);
        if self.streak >= LASTING_STREAK {
            self.log = expected + self.deviation;
            (self.deviation, self.streak) = (0.0, 0);
        } else if self.streak < CHANGED_STREAK {
            // The bound is wide while there are few samples, which determine the mean.
            let bound = OUTLIER_LOG + 1.0 / (self.weight + self.prior).powi(2);
            let log = expected + (log - expected).clamp(-bound, bound);
            let retained = RETAINED.powf(sample_weight);
            self.prior *= retained;
            let before = self.weight * retained;
            self.weight = before + sample_weight;
            self.log = (self.log * before + log * sample_weight) / self.weight;
        }
        self.updated_at = now;
    }

    /// Time of this engine for some work as a multiple of `mean_ms`, the service's mean for a unit
    /// of work.
    pub fn factor(&self, mean_ms: f64, now: Moment) -> f64 {
        let experience = self.weight / (self.weight + self.prior);
        let ratio = if self.weight > 0.0 {
            experience * (self.log - mean_ms.ln())
        } else {
            0.0
        };
        let deviation = if self.streak >= CHANGED_STREAK {
            self.present_deviation(now)
        } else {
            0.0
        };
        (ratio + deviation)
            .exp()
            .clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }

    /// Adapts the pace to another kind of work, whose mean time per unit is `ratio` times that of
    /// the present kind. The engine is taken to be as fast or slow at it, relative to the others.
    pub(crate) fn rescale(&mut self, ratio: f64) {
        self.log += ratio.ln();
    }

    fn track_deviation(&mut self, residual: f64, sample_weight: f64, now: Moment) {
        let before = self.present_deviation(now);
        let is_outlier = residual.abs() * sample_weight > OUTLIER_LOG;
        if !is_outlier {
            (self.deviation, self.streak) = (0.0, 0);
        } else if self.streak > 0 && residual * self.deviation > 0.0 {
            self.streak += 1;
            self.deviation = (before + residual) / 2.0;
        } else {
            (self.deviation, self.streak) = (residual, 1);
        }
    }

    fn present_deviation(&self, now: Moment) -> f64 {
        let past = now.saturating_sub(self.updated_at).as_secs_f64();
        self.deviation * (-past / DEVIATION_TIME.as_secs_f64()).exp()
    }
}

/// Time of the work at the engines of one service by their occupancy, relative to that at the mean
/// occupancy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OccupancyCurve {
    observations: LinearFit,
}

/// Decay of earlier observations of the curve with each new one.
const CURVE_RETAINED: f64 = 1.0 - 1.0 / 400.0;
/// Weight of the observations below which no curve is known.
const MIN_CURVE_WEIGHT: f64 = 40.0;
/// Least variance of the occupied share of slots for which a slope is computed.
const MIN_CURVE_VARIANCE: f64 = 0.005;
/// Bounds of the curve and of one observation.
const CURVE_RANGE: (f64, f64) = (0.5, 2.0);

impl OccupancyCurve {
    /// Records that work took `ratio` times as long as expected of its engine, which had this share
    /// of its slots occupied.
    pub(crate) fn observe(&mut self, occupancy: f64, ratio: f64) {
        let ratio = ratio.clamp(CURVE_RANGE.0, CURVE_RANGE.1);
        self.observations
            .observe(occupancy.clamp(0.0, 1.0), ratio, CURVE_RETAINED);
    }

    /// The factor at an occupancy.
    pub(crate) fn factor(&self, occupancy: f64) -> f64 {
        if self.observations.weight() < MIN_CURVE_WEIGHT {
            return 1.0;
        }
        let (Some((mean, ratio)), Some(slope)) = (
            self.observations.mean(),
            self.observations.slope(MIN_CURVE_VARIANCE),
        ) else {
            return 1.0;
        };
        // Occupied slots never make an engine quicker.
        let slope = (slope / ratio).max(0.0);
        let factor = 1.0 + slope * (occupancy.clamp(0.0, 1.0) - mean);
        factor.clamp(CURVE_RANGE.0, CURVE_RANGE.1)
    }
}

/// What is known of the engines of one service and stage together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageModel {
    pub speed: Speed,
    pub curve: OccupancyCurve,
    /// Mean factor of the engines that the speed was learned from.
    mean_factor: f64,
    idle_samples: u32,
}

/// Prompts at idle engines from which the setup is known well enough to be subtracted from the time
/// of a single prompt.
const SETUP_SAMPLES: u32 = 20;

/// Weight of one sample in the mean factor, as in the speed.
const MEAN_FACTOR_WEIGHT: f64 = 1.0 / 40.0;

/// Share of the expected reading time by which a prompt may deviate from it in the speed.
const MAX_DEVIATION: f64 = 0.8;

impl StageModel {
    pub(crate) fn new(speed: Speed) -> Self {
        Self {
            speed,
            curve: OccupancyCurve::default(),
            mean_factor: 1.0,
            idle_samples: 0,
        }
    }

    /// Learns the speed from a prompt that an idle engine of this factor took `took` for, including
    /// the setup.
    pub(crate) fn observe_idle(&mut self, work: u32, took: Duration, factor: f64) {
        self.idle_samples = self.idle_samples.saturating_add(1);
        self.observe_factor(factor);
        // Without the differences between engines the setup is found from fewer samples.
        let took_ms = took.as_secs_f64() * 1_000.0;
        let reading = (took_ms - self.speed.setup_ms).max(0.0);
        let even = took_ms - reading * (1.0 - self.mean_factor / factor);
        let even = self.bounded(work, even - self.speed.setup_ms) + self.speed.setup_ms;
        self.speed
            .observe(work, Duration::from_secs_f64(even.max(0.0) / 1_000.0));
    }

    /// Learns the speed from a prompt that an engine of this factor read in `took` after another one,
    /// without the setup.
    pub(crate) fn observe_queued(&mut self, work: u32, took: Duration, factor: f64) {
        self.observe_factor(factor);
        let even = took.as_secs_f64() * 1_000.0 * self.mean_factor / factor;
        let even = self.bounded(work, even).max(0.0);
        self.speed
            .observe_queued(work, Duration::from_secs_f64(even / 1_000.0));
    }

    /// A reading time, bounded once it is known what to expect: an engine that begins to stall says
    /// nothing of the others, but would move the setup of all.
    fn bounded(&self, work: u32, reading_ms: f64) -> f64 {
        if !self.knows_setup() {
            return reading_ms;
        }
        let expected = self.speed.millis(u64::from(work));
        let bound = expected * MAX_DEVIATION + NOISE_MS;
        reading_ms.clamp(expected - bound, expected + bound)
    }

    fn observe_factor(&mut self, factor: f64) {
        self.mean_factor += MEAN_FACTOR_WEIGHT * (factor - self.mean_factor);
    }

    /// Whether the setup has been learned.
    pub(crate) fn knows_setup(&self) -> bool {
        self.idle_samples >= SETUP_SAMPLES
    }

    /// Mean time per unit of work, in milliseconds.
    pub(crate) fn mean_ms(&self) -> f64 {
        1.0 / self.speed.tokens_per_ms
    }
}

/// Mean time of the calls of one service, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanTime {
    ms: Option<f64>,
}

/// Weight of one call in [`MeanTime`].
const MEAN_TIME_WEIGHT: f64 = 1.0 / 60.0;
/// Largest ratio by which one call may deviate from the mean.
const MAX_TIME_RATIO: f64 = 4.0;

impl MeanTime {
    pub(crate) fn observe(&mut self, ms: f64) {
        let ms = ms.max(0.1);
        self.ms = Some(self.ms.map_or(ms, |mean| {
            let bounded = ms.clamp(mean / MAX_TIME_RATIO, mean * MAX_TIME_RATIO);
            mean + MEAN_TIME_WEIGHT * (bounded - mean)
        }));
    }

    pub(crate) fn ms(&self) -> Option<f64> {
        self.ms
    }
}

/// A prompt and the time in which its engine read it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Sample {
    pub job: Job,
    /// Reading time without the setup; zero if it was shorter than the setup.
    pub took: Duration,
    /// When it was read.
    pub at: Moment,
    /// Whether no other prompt was read just before.
    pub was_idle: bool,
}

/// A prompt that has been read, at the moment of its first answer.
#[derive(Clone, Copy, Debug)]
struct ReadPrompt {
    job: Job,
    at: Moment,
    noticed_at: Moment,
}

/// The prompts that an engine read last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timeline {
    /// First answer of the last settled prompt.
    last_at: Moment,
    /// Prompts whose predecessor may not be known yet, by the moment of their first answer.
    unsettled: SmallVec<[ReadPrompt; 4]>,
    /// Times in which a prompt of unknown end may have been read.
    gaps: SmallVec<[(Moment, Moment); 2]>,
}

/// Time after which the prompts that other instances placed before are known: 10 ms to the placer,
/// 10 ms to the others, and the links.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Age after which a gap is forgotten; samples are settled before.
const GAP_AGE: Duration = Duration::from_secs(1);
/// Largest number of prompts that wait to be settled.
const MAX_UNSETTLED: usize = 32;

impl Timeline {
    /// Records the first answer of a prompt.
    pub(crate) fn prompt_read(&mut self, job: Job, at: Moment, now: Moment) {
        if self.unsettled.len() >= MAX_UNSETTLED {
            return;
        }
        let index = self.unsettled.partition_point(|read| read.at <= at);
        let read = ReadPrompt {
            job,
            at,
            noticed_at: now,
        };
        self.unsettled.insert(index, read);
    }

    /// Records that a prompt was given up, or that the report of its end is missing.
    pub(crate) fn prompt_lost(&mut self, job: Job, now: Moment) {
        self.gaps
            .retain(|(_, to)| now.saturating_sub(*to) < GAP_AGE);
        self.gaps.push((job.sent_at, now));
    }

    /// Takes the samples whose predecessors are known. `waiting` are the prompts that are not known
    /// to have been read.
    pub(crate) fn settle(
        &mut self,
        waiting: &[Job],
        setup: Duration,
        now: Moment,
    ) -> SmallVec<[Sample; 2]> {
        let is_settled = |read: &&ReadPrompt| now.saturating_sub(read.noticed_at) >= SETTLE_TIME;
        let count = self.unsettled.iter().take_while(is_settled).count();
        let settled: SmallVec<[ReadPrompt; 4]> = self.unsettled.drain(..count).collect();
        let mut samples = SmallVec::new();
        for read in settled {
            let freed_at = self.last_at.saturating_sub(setup);
            let start = freed_at.max(read.job.sent_at);
            let end = read.at.saturating_sub(setup);
            self.last_at = self.last_at.max(read.at);
            let is_between = |job: &Job| {
                (job.rank, job.sent_at) < (read.job.rank, read.job.sent_at) && job.sent_at < start
            };
            let is_gap = |(from, to): &(Moment, Moment)| *from < end && start < *to;
            let was_idle = freed_at <= read.job.sent_at;
            let is_impossible = start >= end && !was_idle;
            if is_impossible || waiting.iter().any(is_between) || self.gaps.iter().any(is_gap) {
                continue;
            }
            samples.push(Sample {
                job: read.job,
                took: end.saturating_sub(start),
                at: read.at,
                was_idle,
            });
        }
        samples
    }
}
