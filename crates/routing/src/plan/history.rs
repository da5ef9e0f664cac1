//! Past demand, from which the planner estimates how long a demand mix lasts.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;

use super::capacity::Demand;

/// Interval between samples.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Samples kept: 15 minutes, several periods of the fluctuations that matter for a change that
/// takes seconds.
const MAX_SAMPLES: usize = 900;

/// Samples in each of the two means from which the trend is computed.
const TREND_SAMPLES: usize = 4;

/// Demand at regular intervals.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    samples: VecDeque<Demand>,
    last_sample: Option<Moment>,
}

/// An uninterrupted run of samples during which a change would have paid off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Episode {
    /// Length in samples.
    pub(super) length: usize,
}

impl History {
    /// Takes the samples that are due. After a pause the current value is repeated, so that the
    /// intervals stay regular.
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

    /// Demand expected in `seconds`, by linear extrapolation of the recent trend.
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

    /// Mean of [`TREND_SAMPLES`] samples that end `back` samples ago.
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

    /// Mean of the positive values of a measure over the samples; 0 if there are none.
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

    /// Finished episodes of samples that qualify, and the length of the current one.
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

/// Expected remaining length, in samples, of an episode that has lasted `elapsed` samples. It is
/// the mean over past episodes that lasted longer, and one assumed to double the current age,
/// which is the whole estimate without any history.
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
