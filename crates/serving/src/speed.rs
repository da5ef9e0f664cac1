//! How long engines of one stage take to read prompts, learned from their first answers.

use std::time::Duration;

use crate::engine::Stage;

/// Tokens of context behind which reading a token takes twice as long as at the beginning of a
/// prompt. Attention grows with the context; large models on today's accelerators reach the
/// point between 20,000 and 35,000 tokens.
const CONTEXT: f64 = 28_000.0;

/// Tokens of work: prompt tokens, each counted by how long it takes at its place in the prompt.
pub fn work(unread: u32, context: u32) -> u32 {
    let middle = f64::from(context) - f64::from(unread) / 2.0;
    let work = f64::from(unread) * (1.0 + middle.max(0.0) / CONTEXT);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let work = work as u32;
    work
}

/// Time of one stage's engines for work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Time before the first answer that no other call waits for, in milliseconds.
    pub setup: f64,
    /// Tokens of work in a millisecond.
    pub rate: f64,
}

/// Before anything is learned. Origin: between the speeds that deployments have named.
const PREFILL: Speed = Speed {
    setup: 80.0,
    rate: 60.0,
};
/// An engine that generates reads at half the speed, between the tokens of other calls.
const DECODE: Speed = Speed {
    setup: 80.0,
    rate: 26.0,
};
/// Weight of one observation.
const WEIGHT: f64 = 0.04;
/// Bounds of what is learned.
const SETUP: (f64, f64) = (1.0, 400.0);
/// As above, in tokens a millisecond.
const RATE: (f64, f64) = (4.0, 1_000.0);
/// Work below which an observation tells of the setup, and above which of the rate.
const LITTLE: u32 = 1_500;
/// As above.
const MUCH: u32 = 3_000;
/// One observation moves the estimate by this factor at most.
const STEP: f64 = 3.0;

impl Speed {
    /// The speed of a stage before anything is learned.
    pub fn new(stage: Stage) -> Self {
        match stage {
            Stage::Prefill => PREFILL,
            Stage::Decode => DECODE,
        }
    }

    /// Time for work, in milliseconds, without the setup.
    pub fn time(&self, work: u64) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let work = work as f64;
        work / self.rate
    }

    /// Takes in how long an engine took that had nothing else before this work.
    pub fn observe(&mut self, work: u32, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        if work < LITTLE {
            let setup = took - self.time(u64::from(work));
            let setup = setup.clamp(self.setup / STEP, self.setup * STEP);
            self.setup += WEIGHT * (setup - self.setup);
            self.setup = self.setup.clamp(SETUP.0, SETUP.1);
        } else if work > MUCH && took > self.setup {
            let rate = f64::from(work) / (took - self.setup);
            let rate = rate.clamp(self.rate / STEP, self.rate * STEP);
            self.rate *= (rate / self.rate).powf(WEIGHT);
            self.rate = self.rate.clamp(RATE.0, RATE.1);
        }
    }
}
