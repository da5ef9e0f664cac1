//! Findings of a check, collected so that one run reports all of them.

use std::error;
use std::fmt;

/// One fault of an input file and its path in that file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the value, such as `classes[2].rate`.
    pub place: String,
    /// What is wrong or required.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.detail)
    }
}

/// All findings of one input file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, detail: impl Into<String>) {
        self.findings.push(Finding {
            place: place.into(),
            detail: detail.into(),
        });
    }

    /// Adds a finding if the condition does not hold.
    pub fn require(&mut self, condition: bool, place: impl Into<String>, detail: &str) {
        if !condition {
            self.add(place, detail);
        }
    }

    /// The findings in the order in which they were added.
    pub fn all(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns the value if there are no findings.
    ///
    /// # Errors
    /// The findings, if there are any.
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
