//! Measures how many engines the present traffic needs. The mix of calls oscillates with periods of
//! 2.8 and 14 s, so the need is a peak over a window that is longer than both. See
//! `docs/design/engines-ordered.md`, "Need".

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use clock::Moment;

use crate::engine::Engine;
use crate::{EngineId, Fleet, ServiceName};

/// Time over which the peak is taken: longer than the slow oscillation of the mix.
const WINDOW: Duration = Duration::from_secs(15);
/// Time over which the load is averaged before the peak is taken. Single prompts come and go within
/// it, while the fast oscillation of the mix shows.
const SHORT_MEAN: Duration = Duration::from_secs(1);
/// Traffic within the window from which it counts as whole: several fast oscillations and more than
/// half of a slow one.
const MIN_TRAFFIC: Duration = Duration::from_secs(8);
/// Least interval between samples; the planner runs more often when it also orders.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Interval without a sample after which the earlier ones say nothing about the window.
const MAX_INTERVAL: Duration = Duration::from_secs(2);
/// Share of an engine's time with prompts to read at which calls still meet their targets. A call
/// that arrives waits for what is being read, and cannot choose among all engines, since its prompt
/// is cached at a few. Half leaves room for the load to double while further engines boot.
const READING_UTILISATION: f64 = 0.5;
/// Share of slots in use at which calls still meet their targets. A call that finds no free slot
/// waits for a whole generation.
const SLOT_UTILISATION: f64 = 0.6;

/// Load in one interval, in engines.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Moment,
    interval: Duration,
    /// Engines that had prompts to read, in the mean.
    reading: f64,
    /// Engines whose slots would hold all calls that have been read.
    generating: f64,
}

impl Sample {
    fn is_under_traffic(&self) -> bool {
        self.reading > 0.0 || self.generating > 0.0
    }
}

/// The engines that the traffic needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Engines with which calls meet their targets at the peak of the window.
    pub engines: f64,
    /// Engines that were fully busy in the mean of the window.
    pub busy: f64,
    /// Whether a whole window was under traffic, so that fewer engines may be ordered.
    pub is_whole: bool,
}

/// The measured load of one service.
#[derive(Clone, Debug, Default)]
pub struct Load {
    sampled_at: Option<Moment>,
    /// Total reading time of each engine at the last sample.
    reading_totals: HashMap<EngineId, Duration>,
    samples: VecDeque<Sample>,
}

impl Load {
    /// Takes a sample of the work of all instances at the service's engines.
    pub fn observe(&mut self, fleet: &Fleet, service: &ServiceName, now: Moment) {
        let interval = self.sampled_at.map(|at| now.saturating_sub(at));
        if interval.is_some_and(|interval| interval < MIN_INTERVAL) {
            return;
        }
        let serves = |engine: &&Engine| {
            engine.record.service == *service && !engine.record_gone && !engine.health.has_ended()
        };
        let (mut reading, mut generating) = (Duration::ZERO, 0.0);
        let mut totals = HashMap::with_capacity(self.reading_totals.len());
        for engine in fleet.all().filter(serves) {
            let id = &engine.record.id;
            let total = engine.reading.total(now);
            let before = self.reading_totals.get(id).copied().unwrap_or_default();
            reading += total.saturating_sub(before);
            totals.insert(id.clone(), total);
            let generating_calls = engine
                .running_calls()
                .saturating_sub(engine.unread_prompts());
            generating += f64::from(generating_calls) / f64::from(engine.record.slots.max(1));
        }
        self.reading_totals = totals;
        self.sampled_at = Some(now);
        let Some(interval) = interval.filter(|interval| *interval <= MAX_INTERVAL) else {
            self.samples.clear();
            return;
        };
        self.samples.push_back(Sample {
            at: now,
            interval,
            reading: reading.as_secs_f64() / interval.as_secs_f64(),
            generating,
        });
        while self
            .samples
            .front()
            .is_some_and(|sample| now.saturating_sub(sample.at) >= WINDOW)
        {
            self.samples.pop_front();
        }
    }

    /// The engines needed by the traffic of the window; `None` if there was none.
    pub fn need(&self, now: Moment) -> Option<Need> {
        let is_recent = |sample: &&Sample| now.saturating_sub(sample.at) < WINDOW;
        let samples: Vec<Sample> = self.samples.iter().filter(is_recent).copied().collect();
        let traffic = samples.iter().filter(|sample| sample.is_under_traffic());
        let traffic: Duration = traffic.map(|sample| sample.interval).sum();
        if traffic.is_zero() {
            return None;
        }
        let required = |sample: &Sample| {
            sample.reading / READING_UTILISATION + sample.generating / SLOT_UTILISATION
        };
        let busy = |sample: &Sample| sample.reading + sample.generating;
        let short_means = (0..samples.len()).map(|last| {
            let from = samples[last].at.saturating_sub(SHORT_MEAN);
            let within = samples[..=last].iter().filter(|sample| sample.at > from);
            mean(within, required)
        });
        Some(Need {
            engines: short_means.fold(0.0, f64::max),
            busy: mean(samples.iter(), busy),
            is_whole: traffic >= MIN_TRAFFIC,
        })
    }
}

/// Mean of a quantity over time.
fn mean<'a>(samples: impl Iterator<Item = &'a Sample>, quantity: impl Fn(&Sample) -> f64) -> f64 {
    let (mut sum, mut time) = (0.0, 0.0);
    for sample in samples {
        let interval = sample.interval.as_secs_f64();
        sum += quantity(sample) * interval;
        time += interval;
    }
    if time > 0.0 { sum / time } else { 0.0 }
}
