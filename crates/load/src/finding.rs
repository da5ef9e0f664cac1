//! Findings of a check: what is wrong and where, collected so that one run tells all of them.

use std::error;
use std::fmt;

/// One fault of an input file, with its place in the file's own terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the value, such as `classes[2].rate`.
    pub place: String,
    /// What is wrong with it and what would be right.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.detail)
    }
}

/// All faults of one input file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    /// Notes a fault at a place.
    pub fn add(&mut self, place: impl Into<String>, detail: impl Into<String>) {
        self.findings.push(Finding {
            place: place.into(),
            detail: detail.into(),
        });
    }

    /// Notes a fault if the condition does not hold.
    pub fn require(&mut self, condition: bool, place: impl Into<String>, detail: &str) {
        if !condition {
            self.add(place, detail);
        }
    }

    /// The faults in the order in which they were found.
    pub fn all(&self) -> &[Finding] {
        &self.findings
    }

    /// Gives the value if nothing was found, otherwise every finding.
    ///
    /// # Errors
    /// The list itself, if it is not empty.
    pub fn into_result<T>(self, value: impl FnOnce() -> T) -> Result<T, Self> {
        if self.findings.is_empty() {
            Ok(value())
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl error::Error for Findings {}
