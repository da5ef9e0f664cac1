//! What the plain services really executed, against what the callers were told. The services count
//! by the digest of the body, and every body carries the id of its request.

use std::collections::BTreeMap;

use awc::Client;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::verdict::Verdict;

/// Most bytes of a service's list of executions.
const MAX_LIST_BYTES: usize = 1 << 30;

/// A call of a plain service whose executions are to be looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditedCall {
    /// Name of its class.
    pub class: String,
    /// Digest of its body, as the services count it.
    pub digest: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What its caller was told.
    pub verdict: Verdict,
    /// Whether every attempt was told not to have run or reached no entry.
    pub never_ran: bool,
}

/// Executions by digest of the body.
pub type Executions = BTreeMap<String, u64>;

/// What the audit found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Audit {
    /// Calls that were looked up.
    pub calls: u64,
    /// Calls that may not be repeated and ran more than once.
    pub doubled: u64,
    /// Calls of which every attempt was told not to have run, yet they ran.
    pub wrongly_not_run: u64,
    /// Calls that were answered as served and never ran.
    pub never_run: u64,
    /// Calls whose caller was told nothing certain, and that ran.
    pub uncertain_run: u64,
    /// Calls whose caller was told nothing certain, and that did not run.
    pub uncertain_not_run: u64,
    /// Digests of the doubled and wrongly denied calls, for a look into logs.
    pub examples: Vec<String>,
}

/// Most examples that are kept.
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

    /// Whether nothing was found that must never be.
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

/// The part of a service's list that the audit reads.
#[derive(Debug)]
#[derive(Deserialize)]
struct ExecutionList {
    by_body: Executions,
}

/// Reads the executions of all services and adds them up.
///
/// # Errors
/// A service that does not answer with its list; the audit would otherwise call lost what it merely
/// did not see.
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
