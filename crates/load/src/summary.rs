//! The result of a run, as a table and as JSON.

mod table;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::audit::Audit;
use crate::engine_monitor::EngineStats;
use crate::run;
use crate::tally::{Bucket, Tally, TimeHistogram};
use crate::verdict::Verdict;

/// With a greater 99th percentile of the send lag, a run measures the load generator.
const MAX_LAG_P99_MS: f64 = 50.0;

/// Quantiles and maximum of a histogram, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Quantiles {
    /// Number of times recorded.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl From<&TimeHistogram> for Quantiles {
    fn from(times: &TimeHistogram) -> Self {
        Self {
            count: times.count(),
            p50_ms: millis(times.quantile(0.5)),
            p95_ms: millis(times.quantile(0.95)),
            p99_ms: millis(times.quantile(0.99)),
            max_ms: millis(times.max()),
        }
    }
}

/// The result of one class, or of all classes together.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ClassSummary {
    /// Its name.
    pub name: String,
    /// Requests that arrived.
    pub offered: u64,
    /// Served within the contract.
    pub good: u64,
    /// Fraction of the offered requests that was served within the contract.
    pub goodput: f64,
    /// Requests by verdict.
    pub ended: BTreeMap<String, u64>,
    /// Requests that ended with an error answer, by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests that ended with an error answer, by the cause given.
    pub causes: BTreeMap<String, u64>,
    /// Arrivals that were not sent because too many requests were open.
    pub unsent: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Attempts that resumed a stream.
    pub resumes: u64,
    /// Tokens received.
    pub tokens: u64,
    /// From arrival to the first token.
    pub first_token: Quantiles,
    /// Between tokens.
    pub between_tokens: Quantiles,
    /// From arrival to the whole answer.
    pub whole: Quantiles,
    /// From arrival to the final refusal.
    pub refusal: Quantiles,
}

impl ClassSummary {
    fn new(name: &str, tally: &Tally) -> Self {
        let ended = Verdict::ALL
            .iter()
            .map(|verdict| (verdict.name().to_owned(), tally.ended(*verdict)))
            .collect();
        Self {
            name: name.to_owned(),
            offered: tally.offered,
            good: tally.good,
            goodput: tally.goodput(),
            ended,
            statuses: tally.statuses.clone(),
            causes: tally.causes.clone(),
            unsent: tally.unsent,
            retries: tally.retries,
            resumes: tally.resumes,
            tokens: tally.tokens,
            first_token: Quantiles::from(&tally.first_token),
            between_tokens: Quantiles::from(&tally.between_tokens),
            whole: Quantiles::from(&tally.whole),
            refusal: Quantiles::from(&tally.refusal),
        }
    }

    /// Number of requests with this verdict.
    pub fn ended(&self, verdict: Verdict) -> u64 {
        self.ended.get(verdict.name()).copied().unwrap_or(0)
    }
}

/// One time bucket of the goodput curve.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CurvePoint {
    /// Start of the bucket.
    pub at_s: f64,
    /// Requests that arrived in it.
    pub offered: u64,
    /// Requests of these that were served within their contract.
    pub good: u64,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Summary {
    /// Seed of the run.
    pub seed: u64,
    /// How long requests arrived.
    pub seconds: f64,
    /// All classes together.
    pub all: ClassSummary,
    /// Each class.
    pub classes: Vec<ClassSummary>,
    /// Delays between arrival and sending.
    pub lag: Quantiles,
    /// Requests still open at the end of the run; they count as lost.
    pub unfinished: u64,
    /// Executions of the services compared with what callers were told.
    pub audit: Option<Audit>,
    /// Statistics of the engines; without samples if no engines were given.
    pub engines: EngineStats,
    /// Goodput over time, by arrival.
    pub curve: Vec<CurvePoint>,
}

impl From<&run::RunResult> for Summary {
    fn from(result: &run::RunResult) -> Self {
        let mut sum = Tally::default();
        let mut classes = Vec::new();
        for (class, tally) in result.plan.classes.iter().zip(&result.tallies) {
            sum.add(tally);
            classes.push(ClassSummary::new(&class.name, tally));
        }
        Self {
            seed: result.plan.seed,
            seconds: result.plan.duration.as_secs_f64(),
            all: ClassSummary::new("all", &sum),
            classes,
            lag: Quantiles::from(&result.lag),
            unfinished: result.unfinished,
            audit: result.audit.clone(),
            engines: result.engines,
            curve: curve(&sum.buckets, result.plan.bucket),
        }
    }
}

impl Summary {
    /// Outcomes that must not occur, with their counts.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let bad = [
            Verdict::Lost,
            Verdict::Cut,
            Verdict::Crossed,
            Verdict::Garbled,
        ];
        for verdict in bad {
            add_fault(&mut faults, verdict.name(), self.all.ended(verdict));
        }
        if let Some(audit) = &self.audit {
            add_fault(&mut faults, "doubled", audit.doubled);
            add_fault(&mut faults, "wrongly \"not run\"", audit.wrongly_not_run);
            add_fault(&mut faults, "served but never run", audit.never_run);
        }
        faults
    }

    /// Whether the load was sent as planned; otherwise the figures measure the load generator.
    pub fn is_as_planned(&self) -> bool {
        self.all.unsent == 0 && self.lag.p99_ms <= MAX_LAG_P99_MS
    }
}

fn add_fault(faults: &mut Vec<String>, name: &str, count: u64) {
    if count > 0 {
        faults.push(format!("{name}: {count}"));
    }
}

fn curve(steps: &[Bucket], bucket: Duration) -> Vec<CurvePoint> {
    steps
        .iter()
        .enumerate()
        .map(|(index, step)| CurvePoint {
            at_s: bucket.as_secs_f64() * index as f64,
            offered: step.offered,
            good: step.good,
        })
        .collect()
}

/// A time in milliseconds.
pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
