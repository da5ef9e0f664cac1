//! A plain service whose calls must not run twice. It counts what it executes.

use std::collections::BTreeMap;

/// How the service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// It executes and answers.
    Good,
    /// It executes and dies before it answers.
    Lost,
    /// Nothing reaches it.
    Unreachable,
}

/// The service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) answer: Answer,
    /// Executions by key.
    pub(crate) executions: BTreeMap<String, u32>,
}

impl Service {
    pub(crate) fn new() -> Self {
        Self {
            answer: Answer::Good,
            executions: BTreeMap::new(),
        }
    }

    /// Executes a call once more; gives how often it now was.
    pub(crate) fn execute(&mut self, key: &str) -> u32 {
        let count = self.executions.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}
