//! Compares the calls that plain services executed with what callers were told. Services count by
//! the digest of the body, and every body contains the id of its request.

use std::collections::BTreeMap;

use awc::Client;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::verdict::Verdict;

/// Limit for the list of executions of one service.
const MAX_LIST_BYTES: usize = 1 << 30;

/// A call of a plain service to look up in the lists of executions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditedCall {
    /// Name of its class.
    pub class: String,
    /// Digest of its body, by which services count.
    pub digest: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What its caller was told.
    pub verdict: Verdict,
    /// Whether every attempt was refused as not run or did not reach an entry.
    pub never_ran: bool,
}

/// Executions by digest of the body.
pub type Executions = BTreeMap<String, u64>;

/// Result of the audit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Audit {
    /// Calls looked up.
    pub calls: u64,
    /// Calls that must not be repeated but ran more than once.
    pub doubled: u64,
    /// Calls that ran although every attempt was refused as not run.
    pub wrongly_not_run: u64,
    /// Calls that were answered as served but never ran.
    pub never_run: u64,
    /// Calls with an uncertain outcome for the caller that ran.
    pub uncertain_run: u64,
    /// Calls with an uncertain outcome for the caller that did not run.
    pub uncertain_not_run: u64,
    /// Classes and digests of faulty calls, to find them in logs.
    pub examples: Vec<String>,
}

/// Limit for the examples kept.
const MAX_EXAMPLES: usize = 20;

impl Audit {
    /// Compares what callers were told with what the services executed.
    pub fn compare(calls: &[AuditedCall], executions: &Executions) -> Self {
        let mut audit = Self::default();
        for call in calls {
            let runs = executions.get(&call.digest).copied().unwrap_or(0);
            audit.record_call(call, runs);
        }
        audit
    }

    /// Whether no call was doubled, wrongly reported as not run, or served without a run.
    pub fn is_clean(&self) -> bool {
        self.doubled == 0 && self.wrongly_not_run == 0 && self.never_run == 0
    }

    fn record_call(&mut self, call: &AuditedCall, runs: u64) {
        self.calls += 1;
        let doubled = runs > 1 && !call.repeatable;
        let wrongly_denied = runs > 0 && call.never_ran && call.verdict != Verdict::Served;
        let served_not_run = runs == 0 && call.verdict == Verdict::Served;
        self.doubled += u64::from(doubled);
        self.wrongly_not_run += u64::from(wrongly_denied);
        self.never_run += u64::from(served_not_run);
        let bad = doubled || wrongly_denied || served_not_run;
        if bad && self.examples.len() < MAX_EXAMPLES {
            self.examples
                .push(format!("{} {}", call.class, call.digest));
        }
        let certain = call.verdict == Verdict::Served || call.never_ran;
        match (certain, runs) {
            (true, _) => {}
            (false, 0) => self.uncertain_not_run += 1,
            (false, _) => self.uncertain_run += 1,
        }
    }
}

/// The part of a service's answer that the audit reads.
#[derive(Debug)]
#[derive(Deserialize)]
struct ExecutionList {
    by_body: Executions,
}

/// Reads the executions of all services and adds them up.
///
/// # Errors
/// A service does not return its list. Its executions would otherwise count as lost.
pub async fn read_executions(
    client: &Client,
    services: &[String],
) -> Result<Executions, Report<Error>> {
    let mut executions = Executions::new();
    for service in services {
        let url = format!("{}/standin/executions", service.trim_end_matches('/'));
        let failed = || Error::Service(url.clone());
        let sent = client.get(&url).no_decompress().send().await;
        let mut answer = sent.map_err(|error| Report::new(failed()).attach(error.to_string()))?;
        let body = answer.body().limit(MAX_LIST_BYTES).await;
        let body = body.map_err(|error| Report::new(failed()).attach(error.to_string()))?;
        let list: ExecutionList = serde_json::from_slice(&body).change_context_lazy(failed)?;
        for (digest, count) in list.by_body {
            *executions.entry(digest).or_default() += count;
        }
    }
    Ok(executions)
}
