//! Changes of the load during a run: factors over time for the rate or the token counts of some
//! classes. They depend on time and seed alone, so that two variants get the same load.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;

/// Upper bound of noise factors, so that the arrival process has a known maximum rate.
const NOISE_LIMIT: f64 = 4.0;

/// What a swing multiplies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Arrivals a second.
    Rate,
    /// Tokens of the prompt.
    Prompt,
    /// Tokens of the answer.
    Output,
}

/// The curve of an oscillation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wave {
    /// Changes smoothly.
    Sine,
    /// Alternates between the two ends.
    Square,
}

/// How the factor changes over the time since the start of the run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Shape {
    /// The factor applies from `at`, until `until` if given.
    Step {
        /// Start of the step.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// End of the step.
        #[serde(default, with = "humantime_serde")]
        until: Option<Duration>,
        /// Factor during the step.
        factor: f64,
    },
    /// Changes linearly from 1 at `from` to the factor at `to`, then stays.
    Ramp {
        /// Start of the ramp.
        #[serde(with = "humantime_serde")]
        from: Duration,
        /// End of the ramp.
        #[serde(with = "humantime_serde")]
        to: Duration,
        /// Factor at the end.
        factor: f64,
    },
    /// Oscillates between `low` and `high`.
    Oscillation {
        /// Length of a full cycle.
        #[serde(with = "humantime_serde")]
        period: Duration,
        /// Lowest factor.
        low: f64,
        /// Highest factor.
        high: f64,
        /// Waveform.
        wave: Wave,
        /// Phase shift as a fraction of the period; 0.5 is the opposite phase.
        #[serde(default)]
        phase: f64,
    },
    /// A new log-normal factor for every interval.
    Noise {
        /// Length of an interval.
        #[serde(with = "humantime_serde")]
        every: Duration,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

impl Shape {
    /// The factor at a time since the start of the run.
    pub fn factor(&self, at: Duration, seed: u64) -> f64 {
        match *self {
            Self::Step {
                at: start,
                until,
                factor,
            } => {
                let on = at >= start && until.is_none_or(|end| at < end);
                if on { factor } else { 1.0 }
            }
            Self::Ramp { from, to, factor } => 1.0 + (factor - 1.0) * progress(at, from, to),
            Self::Oscillation {
                period,
                low,
                high,
                wave,
                phase,
            } => {
                let cycle_position = (at.as_secs_f64() / period.as_secs_f64() + phase).fract();
                low + (high - low) * wave_level(wave, cycle_position)
            }
            Self::Noise { every, sigma } => noise(at, every, sigma, seed),
        }
    }

    /// Upper bound of the factor, for the thinning of arrivals.
    pub fn max_factor(&self) -> f64 {
        match *self {
            Self::Step { factor, .. } | Self::Ramp { factor, .. } => factor.max(1.0),
            Self::Oscillation { low, high, .. } => low.max(high),
            Self::Noise { .. } => NOISE_LIMIT,
        }
    }

    /// Divides all times of the shape.
    pub(crate) fn scale(&mut self, by: f64) {
        match self {
            Self::Step { at, until, .. } => {
                *at = at.div_f64(by);
                *until = until.map(|end| end.div_f64(by));
            }
            Self::Ramp { from, to, .. } => {
                *from = from.div_f64(by);
                *to = to.div_f64(by);
            }
            Self::Oscillation { period, .. } => *period = period.div_f64(by),
            Self::Noise { every, .. } => *every = every.div_f64(by),
        }
    }
}

/// A shape applied to one quantity of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Swing {
    /// What it multiplies.
    pub quantity: Quantity,
    /// How the factor changes over time.
    pub shape: Shape,
    /// Seed of its noise.
    pub seed: u64,
}

/// Product of all factors of one quantity at a time since the start of the run.
pub fn factor(swings: &[Swing], quantity: Quantity, at: Duration) -> f64 {
    swings
        .iter()
        .filter(|swing| swing.quantity == quantity)
        .map(|swing| swing.shape.factor(at, swing.seed))
        .product()
}

/// Upper bound of [`factor`].
pub fn max_factor(swings: &[Swing], quantity: Quantity) -> f64 {
    swings
        .iter()
        .filter(|swing| swing.quantity == quantity)
        .map(|swing| swing.shape.max_factor())
        .product()
}

fn progress(at: Duration, from: Duration, to: Duration) -> f64 {
    if at >= to {
        return 1.0;
    }
    let passed = at.saturating_sub(from).as_secs_f64();
    passed / (to - from).as_secs_f64()
}

fn wave_level(wave: Wave, cycle_position: f64) -> f64 {
    match wave {
        Wave::Sine => f64::midpoint((cycle_position * TAU).sin(), 1.0),
        Wave::Square if cycle_position < 0.5 => 1.0,
        Wave::Square => 0.0,
    }
}

fn noise(at: Duration, every: Duration, sigma: f64, seed: u64) -> f64 {
    let step = (at.as_secs_f64() / every.as_secs_f64()) as u64;
    let mut random = StdRng::seed_from_u64(seed ^ step.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    (sigma * standard_normal(&mut random))
        .exp()
        .min(NOISE_LIMIT)
}

/// Draws from the standard normal distribution (Box-Muller transform).
pub(crate) fn standard_normal(random: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (TAU * random.random::<f64>()).cos()
}
