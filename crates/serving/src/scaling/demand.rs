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
/// Share of an engine's time spent reading at which calls still meet their targets at the peak. A
/// call that arrives waits for what is being read. With prompts of 45 ms in the mean and random
/// arrivals, at 0.7 one call in twenty waits longer than 400 ms, which leaves it 100 ms of a target
/// of 500 ms, even if it has no choice among engines.
const READING_UTILISATION: f64 = 0.7;
/// Share of the engines that read at the same time from which the load may be any multiple of what
/// shows.
const SATURATED_SHARE: f64 = 0.9;
/// Utilisation from which the need is computed then, so that the number at least doubles: each
/// further step takes another boot time.
const SATURATED_UTILISATION: f64 = 0.5;
/// Share of slots in use at which calls still find one. The number of calls at an engine varies by
/// its square root: with 48 of 64 slots in use, the free ones are more than two standard deviations.
const SLOT_UTILISATION: f64 = 0.75;
/// Largest share of the time with unread prompts that counts as setup. The setup is learned together
/// with the rate, and too large a value must not hide the load.
const MAX_SETUP_SHARE: f64 = 0.5;

/// Load in one interval, in engines.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Moment,
    interval: Duration,
    /// Engines that read prompts, in the mean.
    reading: f64,
    /// Engines whose slots would hold all calls that have been read.
    generating: f64,
    /// Engines that serve.
    engines: f64,
}

impl Sample {
    /// Engines with which calls meet their targets.
    fn required(&self) -> f64 {
        let is_saturated = self.reading >= SATURATED_SHARE * self.engines;
        let utilisation = if is_saturated {
            SATURATED_UTILISATION
        } else {
            READING_UTILISATION
        };
        self.reading / utilisation + self.generating / SLOT_UTILISATION
    }

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
    /// Total reading time of each engine at the last sample, and how often it had read all prompts.
    reading_totals: HashMap<EngineId, (Duration, u32)>,
    samples: VecDeque<Sample>,
}

impl Load {
    /// Takes a sample of the work of all instances at the service's engines.
    ///
    /// A prompt counts as unread until its first answer has arrived, which is a setup time after the
    /// engine has read it. The setups of queued prompts overlap with reading, so one is subtracted
    /// each time that an engine has nothing left to read. Otherwise the same prompts would show as
    /// more load the more engines they are spread over.
    pub fn observe(&mut self, fleet: &Fleet, service: &ServiceName, now: Moment) {
        let interval = self.sampled_at.map(|at| now.saturating_sub(at));
        if interval.is_some_and(|interval| interval < MIN_INTERVAL) {
            return;
        }
        let serves = |engine: &&Engine| {
            engine.record.service == *service && !engine.record_gone && !engine.health.has_ended()
        };
        let (mut reading, mut setup_ms, mut generating, mut engines) =
            (Duration::ZERO, 0.0, 0.0, 0.0);
        let mut totals = HashMap::with_capacity(self.reading_totals.len());
        for engine in fleet.all().filter(serves) {
            let id = &engine.record.id;
            engines += 1.0;
            let total = engine.reading.total(now);
            let periods = engine.reading.ended_periods();
            let before = self.reading_totals.get(id).copied().unwrap_or_default();
            reading += total.saturating_sub(before.0);
            let ended = f64::from(periods.wrapping_sub(before.1).cast_signed());
            setup_ms += ended * fleet.speed(engine).setup_ms;
            totals.insert(id.clone(), (total, periods));
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
            reading: (reading.as_secs_f64() - setup_ms / 1_000.0)
                .max(reading.as_secs_f64() * (1.0 - MAX_SETUP_SHARE))
                / interval.as_secs_f64(),
            generating,
            engines,
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
        let busy = |sample: &Sample| sample.reading + sample.generating;
        let short_means = (0..samples.len()).map(|last| {
            let from = samples[last].at.saturating_sub(SHORT_MEAN);
            let within = samples[..=last].iter().filter(|sample| sample.at > from);
            mean(within, Sample::required)
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
