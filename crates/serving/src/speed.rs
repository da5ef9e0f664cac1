//! How long engines of one stage take to read prompts, learned from their first answers.

use std::time::Duration;

use crate::engine::Stage;
use crate::linear_fit::LinearFit;

/// Tokens of context behind which reading a token takes twice as long as at the beginning of a
/// prompt. Attention grows with the context; large models on today's accelerators reach the
/// point between 20,000 and 35,000 tokens.
const CONTEXT_DOUBLING: f64 = 28_000.0;

/// Tokens of work: prompt tokens, each counted by how long it takes at its place in the prompt.
pub fn work(tokens: u32, context: u32) -> u32 {
    let mean_context = f64::from(context) - f64::from(tokens) / 2.0;
    let work = f64::from(tokens) * (1.0 + mean_context.max(0.0) / CONTEXT_DOUBLING);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let work = work as u32;
    work
}

/// Time of one stage's engines for work: a straight line through what was seen of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Time before the first answer that no other call waits for, in milliseconds.
    pub setup_ms: f64,
    /// Tokens of work in a millisecond.
    pub tokens_per_ms: f64,
    /// Milliseconds against thousands of tokens of work.
    observations: LinearFit,
}

/// Setup and rate before anything is learned. Origin: between the speeds that deployments have named.
const INITIAL_PREFILL: (f64, f64) = (80.0, 60.0);
/// An engine that generates reads at half the speed, between the tokens of other calls.
const INITIAL_DECODE: (f64, f64) = (80.0, 26.0);
/// What is left of earlier observations with each new one. Some tens count: few enough to follow engines that turn
/// slow, enough to lay a line through them.
const RETAINED: f64 = 1.0 - 1.0 / 40.0;
/// Works, in thousands of tokens, at which the speed before anything is learned counts as seen: one observation each,
/// so that it yields to the first real ones.
const INITIAL_WORK: [f64; 2] = [1.0, 8.0];
/// Least spread of the work through which a line is laid, as a variance in thousands of tokens.
const MIN_VARIANCE: f64 = 0.25;
/// Bounds of what is learned.
const SETUP_RANGE: (f64, f64) = (1.0, 400.0);
/// As above, in tokens a millisecond.
const RATE_RANGE: (f64, f64) = (4.0, 1_000.0);
/// One observation counts as at most this many times what was expected, or as little: an engine that stood still
/// says nothing of the others' speed.
const MAX_SAMPLE_RATIO: f64 = 3.0;

impl Speed {
    /// The speed of a stage before anything is learned.
    pub fn new(stage: Stage) -> Self {
        let (setup_ms, tokens_per_ms) = match stage {
            Stage::Prefill => INITIAL_PREFILL,
            Stage::Decode => INITIAL_DECODE,
        };
        let mut observations = LinearFit::default();
        for work in INITIAL_WORK {
            observations.observe(work, setup_ms + work * 1_000.0 / tokens_per_ms, RETAINED);
        }
        Self {
            setup_ms,
            tokens_per_ms,
            observations,
        }
    }

    /// Time for work, in milliseconds, without the setup.
    pub fn millis(&self, work: u64) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let work = work as f64;
        work / self.tokens_per_ms
    }

    /// Takes in how long an engine took that had nothing else before this work.
    ///
    /// The setup and the rate are learned together from work of all sizes. Each by itself from works of a certain size it
    /// is not learned at all where no such work comes; one notices it by calls that are expected late, and yield
    /// to others, while all engines stand idle.
    pub fn observe(&mut self, work: u32, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let expected = self.setup_ms + self.millis(u64::from(work));
        let took = took_ms.clamp(expected / MAX_SAMPLE_RATIO, expected * MAX_SAMPLE_RATIO);
        self.observations
            .observe(f64::from(work) / 1_000.0, took, RETAINED);
        if let Some(slope) = self.observations.slope(MIN_VARIANCE) {
            let rate = if slope > 0.0 {
                1_000.0 / slope
            } else {
                RATE_RANGE.1
            };
            self.tokens_per_ms = rate.clamp(RATE_RANGE.0, RATE_RANGE.1);
        }
        // Of works of one size the rate is not known, but their time is.
        if let Some((work, took)) = self.observations.mean() {
            let setup = took - work * 1_000.0 / self.tokens_per_ms;
            self.setup_ms = setup.clamp(SETUP_RANGE.0, SETUP_RANGE.1);
        }
    }
}
