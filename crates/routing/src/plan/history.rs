//! Past demand, from which the planner learns how long a mix lasts.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;

use super::capacity::Demand;

/// Time between two samples.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Samples kept: a quarter of an hour, some periods of the swings that matter for a change of
/// seconds.
const MAX_SAMPLES: usize = 900;

/// Samples over which a trend is taken, twice.
const TREND_SAMPLES: usize = 4;

/// Demand at equal distances of time.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    samples: VecDeque<Demand>,
    last_sample: Option<Moment>,
}

/// A time without interruption during which a change would have paid.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Episode {
    /// Samples.
    pub(super) length: usize,
}

impl History {
    /// Takes a sample when one is due. A planner that was not called for a while repeats the last
    /// value, so that samples stay at equal distances.
    pub(super) fn record(&mut self, now: Moment, demand: Demand) {
        let Some(last) = self.last_sample else {
            self.push(demand);
            self.last_sample = Some(now);
            return;
        };
        let due = now.saturating_sub(last).as_millis() / SAMPLE_INTERVAL.as_millis();
        let due = usize::try_from(due).unwrap_or(MAX_SAMPLES).min(MAX_SAMPLES);
        for _ in 0..due {
            self.push(demand);
        }
        if due > 0 {
            self.last_sample = Some(now);
        }
    }

    fn push(&mut self, demand: Demand) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(demand);
    }

    /// Demand to be expected in some seconds, if it goes on as it went in the last ones.
    pub(super) fn forecast(&self, seconds: f64) -> Option<Demand> {
        let newest = self.trend_mean(0)?;
        let older = self.trend_mean(TREND_SAMPLES)?;
        let steps = TREND_SAMPLES as f64 * SAMPLE_INTERVAL.as_secs_f64();
        let share = seconds / steps;
        Some(Demand {
            prefill: (newest.prefill + share * (newest.prefill - older.prefill)).max(0.0),
            decode: (newest.decode + share * (newest.decode - older.decode)).max(0.0),
        })
    }

    /// Mean of some samples that end `back` samples ago.
    fn trend_mean(&self, back: usize) -> Option<Demand> {
        if self.samples.len() < back + TREND_SAMPLES {
            return None;
        }
        let samples = self.samples.iter().rev().skip(back).take(TREND_SAMPLES);
        let sum = samples.fold(Demand::default(), |sum, sample| Demand {
            prefill: sum.prefill + sample.prefill,
            decode: sum.decode + sample.decode,
        });
        Some(Demand {
            prefill: sum.prefill / TREND_SAMPLES as f64,
            decode: sum.decode / TREND_SAMPLES as f64,
        })
    }

    /// Mean of a measure over the samples at which it is above zero, 0 if there are none.
    pub(super) fn mean_positive(&self, measure: impl Fn(Demand) -> f64) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0);
        for sample in &self.samples {
            let value = measure(*sample);
            if value > 0.0 {
                sum += value;
                count += 1.0;
            }
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Past episodes in which `pays` held, without the one that still lasts, and the length of that.
    pub(super) fn episodes(&self, qualifies: impl Fn(Demand) -> bool) -> (Vec<Episode>, usize) {
        let mut ended = Vec::new();
        let mut length = 0;
        for sample in &self.samples {
            if qualifies(*sample) {
                length += 1;
                continue;
            }
            if length > 0 {
                ended.push(Episode { length });
            }
            length = 0;
        }
        (ended, length)
    }
}

/// Samples that an episode of `elapsed` samples is expected to go on. Past episodes that lasted as
/// long tell; beside them stands one that doubles its age, which is all that is known without any
/// past.
pub(super) fn expected_remaining(past: &[Episode], elapsed: usize) -> f64 {
    let longer = past.iter().filter(|episode| episode.length > elapsed);
    let mut sum = elapsed as f64;
    let mut count = 1.0;
    for episode in longer {
        sum += (episode.length - elapsed) as f64;
        count += 1.0;
    }
    sum / count
}
