//! Rate limits that engines announce.

use std::fmt;

/// Requests a second that an engine takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// A number that is no rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Invalid(pub f64);

impl TryFrom<f64> for Rate {
    type Error = Invalid;

    fn try_from(per_second: f64) -> Result<Self, Invalid> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(Invalid(per_second))
        }
    }
}

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
