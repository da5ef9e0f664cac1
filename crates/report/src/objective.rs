//! The objective of a catalogue entry.

use std::fmt;

/// Target share of good outcomes, above 0 and below 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Objective(f64);

/// An objective outside the open interval from 0 to 1: it has no error budget, or nothing else.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidObjective(pub f64);

impl fmt::Display for InvalidObjective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "an objective must be above 0 and below 1, not {}",
            self.0
        )
    }
}

impl std::error::Error for InvalidObjective {}

impl TryFrom<f64> for Objective {
    type Error = InvalidObjective;

    fn try_from(share: f64) -> Result<Self, InvalidObjective> {
        if share > 0.0 && share < 1.0 {
            Ok(Self(share))
        } else {
            Err(InvalidObjective(share))
        }
    }
}

impl Objective {
    /// Target share of good outcomes.
    pub fn share(self) -> f64 {
        self.0
    }

    /// The error budget: the share of outcomes that may be bad.
    pub fn budget(self) -> f64 {
        1.0 - self.0
    }
}
