//! How often each call was executed, by request id, by idempotency key and by body.

use std::collections::BTreeMap;

use serde::Serialize;

/// Executions by one kind of name.
pub type Counts = BTreeMap<String, u64>;

/// All executions since the start or since they were forgotten.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Executions {
    /// All of them.
    pub total: u64,
    /// By `x-request-id`.
    pub by_request: Counts,
    /// By `Idempotency-Key`.
    pub by_key: Counts,
    /// By the digest of the body; an empty body is not counted.
    pub by_body: Counts,
}

/// The names by which an execution is counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionKeys<'a> {
    /// Its `x-request-id`.
    pub request: Option<&'a str>,
    /// Its `Idempotency-Key`.
    pub key: Option<&'a str>,
    /// The digest of its body.
    pub body: Option<&'a str>,
}

impl Executions {
    /// Counts an execution and gives how often its names were executed at most, with this one.
    pub fn count(&mut self, names: ExecutionKeys<'_>) -> u64 {
        self.total += 1;
        let counts = [
            bump(&mut self.by_request, names.request),
            bump(&mut self.by_key, names.key),
            bump(&mut self.by_body, names.body),
        ];
        counts.into_iter().max().unwrap_or(0)
    }

    /// Only those that were executed more than once; the total stays.
    pub fn repeated(&self) -> Self {
        let more = |counts: &Counts| {
            let more = counts.iter().filter(|(_, count)| **count > 1);
            more.map(|(name, count)| (name.clone(), *count)).collect()
        };
        Self {
            total: self.total,
            by_request: more(&self.by_request),
            by_key: more(&self.by_key),
            by_body: more(&self.by_body),
        }
    }
}

fn bump(counts: &mut Counts, name: Option<&str>) -> u64 {
    let Some(name) = name else { return 0 };
    let count = counts.entry(name.to_owned()).or_default();
    *count += 1;
    *count
}
