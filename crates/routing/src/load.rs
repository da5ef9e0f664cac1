//! Outstanding work at an upstream.

use std::ops::{Add, AddAssign, Mul, Sub};

/// Outstanding work. The fields are fractional because decayed and averaged loads are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Unfinished requests.
    pub requests: f64,
    /// Prompt tokens left to process.
    pub prefill: f64,
    /// Answer tokens left to generate.
    pub decode: f64,
}

impl Load {
    /// The load of one request.
    pub fn of(prompt: u32, output: u32) -> Self {
        Self {
            requests: 1.0,
            prefill: f64::from(prompt),
            decode: f64::from(output),
        }
    }

    /// Raises negative fields to zero; differences of stale loads may be negative.
    pub fn clamp_non_negative(self) -> Self {
        Self {
            requests: self.requests.max(0.0),
            prefill: self.prefill.max(0.0),
            decode: self.decode.max(0.0),
        }
    }

    /// Field-wise maximum.
    pub fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            prefill: self.prefill.max(other.prefill),
            decode: self.decode.max(other.decode),
        }
    }

    /// Linear interpolation from `self` (at 0) to `other` (at 1).
    pub fn lerp(self, other: Self, share: f64) -> Self {
        self + (other - self) * share
    }
}

impl Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
            decode: self.decode + other.decode,
        }
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Load {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            requests: self.requests - other.requests,
            prefill: self.prefill - other.prefill,
            decode: self.decode - other.decode,
        }
    }
}

impl Mul<f64> for Load {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            prefill: self.prefill * factor,
            decode: self.decode * factor,
        }
    }
}
