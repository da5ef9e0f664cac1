//! Execution counts by request id, idempotency key and body.

use std::collections::BTreeMap;

use serde::Serialize;

/// Number of executions by key.
pub type Counts = BTreeMap<String, u64>;

/// Executions since the start or the last reset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Executions {
    /// Number of all executions.
    pub total: u64,
    /// By `x-request-id`.
    pub by_request: Counts,
    /// By `Idempotency-Key`.
    pub by_key: Counts,
    /// By the digest of the body; empty bodies are not counted.
    pub by_body: Counts,
}

/// The keys under which an execution is counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionKeys<'a> {
    /// The `x-request-id` header.
    pub request: Option<&'a str>,
    /// The `Idempotency-Key` header.
    pub key: Option<&'a str>,
    /// The digest of the body.
    pub body: Option<&'a str>,
}

impl Executions {
    /// Counts an execution and returns the highest count of its keys, this execution included.
    pub fn count(&mut self, keys: ExecutionKeys<'_>) -> u64 {
        self.total += 1;
        let counts = [
            increment(&mut self.by_request, keys.request),
            increment(&mut self.by_key, keys.key),
            increment(&mut self.by_body, keys.body),
        ];
        counts.into_iter().max().unwrap_or(0)
    }

    /// Returns the keys that were executed more than once, with the unchanged total.
    pub fn repeated(&self) -> Self {
        let repeated = |counts: &Counts| {
            let repeated = counts.iter().filter(|(_, count)| **count > 1);
            repeated.map(|(key, count)| (key.clone(), *count)).collect()
        };
        Self {
            total: self.total,
            by_request: repeated(&self.by_request),
            by_key: repeated(&self.by_key),
            by_body: repeated(&self.by_body),
        }
    }
}

fn increment(counts: &mut Counts, key: Option<&str>) -> u64 {
    let Some(key) = key else { return 0 };
    let count = counts.entry(key.to_owned()).or_default();
    *count += 1;
    *count
}
