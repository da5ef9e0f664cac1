//! Counts of good and bad requests per catalogue entry until they are handed to the report.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use crate::account::Outcome;

/// Counts of one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Within the contract.
    pub good: u64,
    /// Refused.
    pub refused: u64,
    /// Answered outside of the contract.
    pub late: u64,
    /// Failed, certainly not run, or cut.
    pub failed: u64,
    /// Failed, may have run.
    pub unknown: u64,
}

/// Counts since they were last taken.
#[derive(Debug, Default)]
pub struct Burn {
    counts: Mutex<BTreeMap<Box<str>, Counts>>,
}

impl Burn {
    /// Counts a request. A caller's own errors and its going away say nothing about the service.
    pub fn note(&self, entry: &str, outcome: Outcome, late: bool) {
        if matches!(outcome, Outcome::Rejected | Outcome::CallerGone) {
            return;
        }
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if !counts.contains_key(entry) {
            counts.insert(entry.into(), Counts::default());
        }
        let Some(count) = counts.get_mut(entry) else {
            return;
        };
        match outcome {
            Outcome::Served if late => count.late += 1,
            Outcome::Served => count.good += 1,
            Outcome::Refused => count.refused += 1,
            Outcome::Unknown => count.unknown += 1,
            Outcome::NotRun | Outcome::Cut => count.failed += 1,
            Outcome::Rejected | Outcome::CallerGone => {}
        }
    }

    /// Takes the counts.
    pub fn take(&self) -> BTreeMap<Box<str>, Counts> {
        std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
