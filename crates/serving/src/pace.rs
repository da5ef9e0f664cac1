//! Learns how the engines of one service differ in speed.
//!
//! The load pattern: a third of the engines takes more than twice as long as the others, some stall
//! for a part of a second, and each has a queue most of the time. The time from sending a prompt to
//! its first answer then says more about the queue than about the engine. So work is compared with
//! the time in which the engine was busy, and both are summed: short prompts share a step of their
//! engine and end together, and reports are late by tens of milliseconds, so that the time between
//! two ends says little of the second prompt. See `docs/design/pace.md`.

use std::time::Duration;

use clock::Moment;

use crate::engine::Stage;
use crate::speed::Speed;

/// Work of one engine, or of all engines of a service, and the time that it took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    recent: Sums,
    lasting: Sums,
}

/// Work of which one engine has ended a part, and its time so far, while the end of an earlier
/// prompt is not known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OpenInterval {
    pub work: f64,
    pub busy_ms: f64,
    /// Whether a prompt ended in an unknown way in this time.
    pub lost_prompt: bool,
}

/// Sums of work and of the time that it took. Earlier work counts less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sums {
    work: f64,
    busy_ms: f64,
    updated_at: Moment,
}

/// Time constant with which recent work is forgotten, so that a stall or a slow phase of seconds
/// shows, and goes.
const RECENT: Duration = Duration::from_secs(2);
/// Time constant of the lasting speed, which counts where there is little recent work: at the usual
/// load an engine reads no prompt for a second or two.
const LASTING: Duration = Duration::from_secs(4);
/// Time at the lasting speed that the recent work is summed with. It outweighs reports that are 10
/// to 30 ms late.
const RECENT_PRIOR_MS: f64 = 150.0;
/// Time at the service's speed that the lasting work is summed with.
const LASTING_PRIOR_MS: f64 = 120.0;
/// Bounds of a factor relative to the service's mean, so that an impossible duration or a wrong
/// clock neither shuts an engine out nor attracts all calls.
const FACTOR_RANGE: (f64, f64) = (0.4, 2.5);
/// Longest time that counts as one interval of work, for the same reason.
const MAX_INTERVAL_MS: f64 = 2_000.0;

impl Pace {
    /// Records work that ended, and the time in which the engine was busy since the previous end.
    /// The time is zero if the work ended together with other work, or is reported after later work.
    pub fn observe(&mut self, work: f64, busy_ms: f64, now: Moment) {
        if !(work > 0.0 && work.is_finite() && busy_ms >= 0.0) {
            return;
        }
        let busy_ms = busy_ms.min(MAX_INTERVAL_MS);
        self.recent.add(work, busy_ms, RECENT, now);
        self.lasting.add(work, busy_ms, LASTING, now);
    }

    /// Time of this engine as a multiple of `mean_ms`, its service's mean time for a unit of work.
    pub fn factor(&self, mean_ms: f64, now: Moment) -> f64 {
        let lasting = self
            .lasting
            .ratio(mean_ms, 1.0, LASTING_PRIOR_MS, LASTING, now);
        let recent = self
            .recent
            .ratio(mean_ms, lasting, RECENT_PRIOR_MS, RECENT, now);
        recent.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }

    /// Adapts the pace to another kind of work, whose mean time per unit is `ratio` times that of
    /// the present kind. The engine is taken to be as fast or slow at it, relative to the others.
    pub(crate) fn rescale(&mut self, ratio: f64) {
        self.recent.work /= ratio;
        self.lasting.work /= ratio;
    }
}

impl Sums {
    fn add(&mut self, work: f64, busy_ms: f64, memory: Duration, now: Moment) {
        let retained = self.retained(memory, now);
        self.work = self.work * retained + work;
        self.busy_ms = self.busy_ms * retained + busy_ms;
        self.updated_at = self.updated_at.max(now);
    }

    /// The time as a multiple of the expected one, with `prior_ms` of work at the ratio `prior`.
    fn ratio(&self, mean_ms: f64, prior: f64, prior_ms: f64, memory: Duration, now: Moment) -> f64 {
        let retained = self.retained(memory, now);
        let expected_ms = self.work * mean_ms * retained;
        (self.busy_ms * retained + prior * prior_ms) / (expected_ms + prior_ms)
    }

    fn retained(&self, memory: Duration, now: Moment) -> f64 {
        let past = now.saturating_sub(self.updated_at).as_secs_f64();
        (-past / memory.as_secs_f64()).exp()
    }
}

/// What is known of the engines of one service and stage together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageModel {
    /// Learned from prompts at idle engines.
    pub speed: Speed,
    /// Work and time of all engines.
    pace: Pace,
}

impl StageModel {
    pub(crate) fn new(stage: Stage) -> Self {
        Self {
            speed: Speed::new(stage),
            pace: Pace::default(),
        }
    }

    /// Records work at one of the engines.
    pub(crate) fn observe(&mut self, work: f64, busy_ms: f64, now: Moment) {
        self.pace.observe(work, busy_ms, now);
    }

    /// Factor of one of the engines. Without work of its own it is as fast as all are now: under
    /// load few engines are idle, and [`StageModel::speed`] is that of the quickest.
    pub(crate) fn factor(&self, pace: &Pace, now: Moment) -> f64 {
        let mean_ms = self.mean_ms();
        let service = self.pace.factor(mean_ms, now);
        service * pace.factor(mean_ms * service, now)
    }

    /// Time per unit of work, in milliseconds.
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
