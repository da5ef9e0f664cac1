//! Load reports as readers get them: past samples of the load. Time is passed in.

use std::collections::VecDeque;
use std::time::Duration;

use super::Moment;
use super::batch::Load;

/// Maximum number of samples kept.
const MAX_SAMPLES: usize = 4096;

/// Past samples of the load.
#[derive(Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<(Moment, Load)>,
}

impl LoadHistory {
    /// Adds a sample.
    pub fn push(&mut self, now: Moment, load: Load) {
        self.samples.push_back((now, load));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least `lag` old, with its age. Without one, returns the
    /// oldest sample.
    pub fn lagged(&self, now: Moment, lag: Duration) -> (Duration, Load) {
        let sampled_by = now.saturating_sub(lag);
        let old = self.samples.iter().rev().find(|(at, _)| *at <= sampled_by);
        let sample = old.or(self.samples.front());
        sample.map_or((now, Load::default()), |(at, load)| {
            (now.saturating_sub(*at), *load)
        })
    }
}
