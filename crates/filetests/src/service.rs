//! A service whose calls must not run twice. It counts executions.

use std::collections::BTreeMap;

/// How the service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// It executes the call and answers.
    Delivered,
    /// It executes the call, but the answer is lost.
    Lost,
    /// Calls do not reach it.
    Unreachable,
}

/// The service behind all entries.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) answer: Answer,
    /// Executions by key.
    pub(crate) executions: BTreeMap<String, u32>,
}

impl Service {
    pub(crate) fn new() -> Self {
        Self {
            answer: Answer::Delivered,
            executions: BTreeMap::new(),
        }
    }

    /// Executes a call; returns the number of executions so far.
    pub(crate) fn execute(&mut self, key: &str) -> u32 {
        let count = self.executions.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}
