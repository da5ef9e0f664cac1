//! Load reports as readers see them: samples of the past. Time is passed in.

use std::collections::VecDeque;
use std::time::Duration;

use super::Moment;
use super::batch::Load;

/// Samples that are kept.
const KEPT: usize = 4096;

/// Past samples of the load.
#[derive(Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<(Moment, Load)>,
}

impl LoadHistory {
    /// Adds a sample.
    pub fn push(&mut self, now: Moment, load: Load) {
        self.samples.push_back((now, load));
        if self.samples.len() > KEPT {
            self.samples.pop_front();
        }
    }

    /// The newest sample that is at least as old as the lag, with its age. The oldest one stands
    /// in while there is none.
    pub fn lagged(&self, now: Moment, lag: Duration) -> (Duration, Load) {
        let visible = now.saturating_sub(lag);
        let old = self.samples.iter().rev().find(|(at, _)| *at <= visible);
        let seen = old.or(self.samples.front());
        seen.map_or((now, Load::default()), |(at, load)| {
            (now.saturating_sub(*at), *load)
        })
    }
}
