//! Learns how fast the engines of a stage read prompts, from their first answers.

use std::time::Duration;

use crate::engine::Stage;
use crate::linear_fit::LinearFit;

/// Tokens of context at which reading a token takes twice as long as at the beginning of a prompt.
/// Attention grows with the context; large models on today's accelerators reach this point between
/// 20,000 and 35,000 tokens.
const CONTEXT_DOUBLING: f64 = 28_000.0;

/// Work of reading the last `unread` tokens of a prompt of `context` tokens, each weighted by the
/// time that it takes at its position.
pub fn work(tokens: u32, context: u32) -> u32 {
    let mean_context = f64::from(context) - f64::from(tokens) / 2.0;
    let work = f64::from(tokens) * (1.0 + mean_context.max(0.0) / CONTEXT_DOUBLING);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let work = work as u32;
    work
}

/// Reading speed of the engines of one stage: a line through the observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Time to the first answer that is spent outside the queue, in milliseconds.
    pub setup_ms: f64,
    /// Tokens of work per millisecond.
    pub tokens_per_ms: f64,
    /// Milliseconds by thousands of tokens of work.
    observations: LinearFit,
}

/// Initial setup and rate of prefill engines, between the speeds that deployments report.
const INITIAL_PREFILL: (f64, f64) = (80.0, 60.0);
/// Initial setup and rate of engines that generate; they read at half the speed, between the tokens
/// of other calls.
const INITIAL_DECODE: (f64, f64) = (80.0, 26.0);
/// Decay of earlier observations with each new one. A few tens count: few enough to follow engines
/// that turn slow, and enough to fit a line.
const RETAINED: f64 = 1.0 - 1.0 / 40.0;
/// Work, in thousands of tokens, at which the initial speed counts as observed. One observation
/// each, so that real ones soon outweigh them.
const INITIAL_WORK: [f64; 2] = [1.0, 8.0];
/// Least variance of the work for which a rate is computed, in thousands of tokens.
const MIN_VARIANCE: f64 = 0.25;
/// Bounds of the learned setup, in milliseconds.
const SETUP_RANGE: (f64, f64) = (1.0, 400.0);
/// Bounds of the learned rate, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (4.0, 1_000.0);
/// Largest ratio by which one observation may deviate from what was expected: an engine that
/// stalled says nothing about the others' speed.
const MAX_SAMPLE_RATIO: f64 = 3.0;

impl Speed {
    /// The initial speed of a stage.
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

    /// Reading time for work in milliseconds, without the setup.
    pub fn millis(&self, work: u64) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let work = work as f64;
        work / self.tokens_per_ms
    }

    /// Records how long an engine took that was idle before this work.
    ///
    /// The setup and the rate are learned together from work of all sizes. Learned separately from
    /// certain sizes they would not be learned at all where such sizes do not occur, and calls
    /// would be expected late, and yield to others, while all engines are idle.
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
        // From work of one size the rate cannot be learned, but the time can.
        if let Some((work, took)) = self.observations.mean() {
            let setup = took - work * 1_000.0 / self.tokens_per_ms;
            self.setup_ms = setup.clamp(SETUP_RANGE.0, SETUP_RANGE.1);
        }
    }
}
