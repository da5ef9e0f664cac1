//! What came of the requests: counts of verdicts, distributions of times, goodput over time. One
//! tally a class and worker; tallies add up.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::plan::Contract;
use crate::verdict::Verdict;

/// Longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Significant digits of the distributions.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Causes of error answers that are told apart in one class.
const MAX_CAUSES: usize = 50;

/// A distribution of times.
#[derive(Clone, Debug)]
pub struct TimeHistogram {
    micros: Histogram<u64>,
}

impl Default for TimeHistogram {
    fn default() -> Self {
        let micros = Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants that the library accepts");
        Self { micros }
    }
}

impl TimeHistogram {
    /// Counts a time.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
        self.micros.saturating_record(micros.max(1));
    }

    /// Adds the times of another distribution of the same bounds.
    pub fn add(&mut self, other: &Self) {
        self.micros
            .add(&other.micros)
            .expect("all distributions have the same bounds");
    }

    /// How many times were counted.
    pub fn count(&self) -> u64 {
        self.micros.len()
    }

    /// The time that this part of the counted ones does not exceed, zero if there are none.
    pub fn quantile(&self, fraction: f64) -> Duration {
        Duration::from_micros(self.micros.value_at_quantile(fraction))
    }

    /// The longest counted time.
    pub fn max(&self) -> Duration {
        Duration::from_micros(self.micros.max())
    }
}

/// How one request went, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When it arrived, since the start of the run.
    pub at: Duration,
    /// How it ended.
    pub verdict: Verdict,
    /// Status of the last error answer.
    pub status: Option<u16>,
    /// Cause that the last error answer gave.
    pub detail: Option<String>,
    /// From its arrival to its end.
    pub whole: Duration,
    /// From its arrival to its first token.
    pub first_token: Option<Duration>,
    /// Times between its events.
    pub token_gaps: Vec<Duration>,
    /// Tokens that came.
    pub tokens: u64,
    /// Attempts after the first.
    pub retries: u32,
    /// Attempts that resumed a stream.
    pub resumes: u32,
}

impl Outcome {
    /// Whether the request was served within its contract.
    pub fn is_good(&self, contract: &Contract) -> bool {
        let within = |time: Option<Duration>, limit: Option<Duration>| match (time, limit) {
            (Some(time), Some(limit)) => time <= limit,
            _ => true,
        };
        self.verdict == Verdict::Served
            && self.whole <= contract.deadline
            && within(self.first_token, contract.first_token)
            && within(self.mean_gap(), contract.between_tokens)
    }

    fn mean_gap(&self) -> Option<Duration> {
        let count = u32::try_from(self.token_gaps.len()).ok()?;
        self.token_gaps.iter().sum::<Duration>().checked_div(count)
    }
}

/// One step of the goodput curve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// Requests that arrived in it.
    pub offered: u64,
    /// Those of them that were served within their contract.
    pub good: u64,
}

/// What came of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that arrived.
    pub offered: u64,
    /// Arrivals that were not sent, since too many requests were open.
    pub unsent: u64,
    /// Served within the contract.
    pub good: u64,
    /// Requests by how they ended.
    pub verdicts: BTreeMap<Verdict, u64>,
    /// Requests that ended with an error answer, by status.
    pub statuses: BTreeMap<u16, u64>,
    /// The same by the cause that the answer gave.
    pub causes: BTreeMap<String, u64>,
    /// Attempts after the first.
    pub retries: u64,
    /// Attempts that resumed a stream.
    pub resumes: u64,
    /// Tokens that came.
    pub tokens: u64,
    /// From arrival to first token, of served requests.
    pub first_token: TimeHistogram,
    /// Between events, of served requests.
    pub between_tokens: TimeHistogram,
    /// From arrival to the whole answer, of served requests.
    pub whole: TimeHistogram,
    /// From arrival to the final refusal.
    pub refusal: TimeHistogram,
    /// Goodput over time.
    pub buckets: Vec<Bucket>,
}

impl Tally {
    /// Counts an outcome.
    pub fn record(&mut self, outcome: &Outcome, contract: &Contract, bucket: Duration) {
        let good = outcome.is_good(contract);
        self.offered += 1;
        self.good += u64::from(good);
        *self.verdicts.entry(outcome.verdict).or_default() += 1;
        self.retries += u64::from(outcome.retries);
        self.resumes += u64::from(outcome.resumes);
        self.tokens += outcome.tokens;
        self.count_arrival(outcome.at, bucket, good);
        match outcome.verdict {
            Verdict::Served => self.record_times(outcome),
            Verdict::Refused => self.refusal.record(outcome.whole),
            _ => {}
        }
        if outcome.verdict != Verdict::Served {
            self.record_error(outcome);
        }
    }

    /// Counts an arrival that was not sent.
    pub fn record_unsent(&mut self, at: Duration, bucket: Duration) {
        self.offered += 1;
        self.unsent += 1;
        self.count_arrival(at, bucket, false);
    }

    /// Requests that ended so.
    pub fn ended(&self, verdict: Verdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }

    /// Part of the offered requests that was served within the contract.
    pub fn goodput(&self) -> f64 {
        if self.offered == 0 {
            return 1.0;
        }
        self.good as f64 / self.offered as f64
    }

    /// Adds another tally of the same class.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.unsent += other.unsent;
        self.good += other.good;
        self.retries += other.retries;
        self.resumes += other.resumes;
        self.tokens += other.tokens;
        for (verdict, count) in &other.verdicts {
            *self.verdicts.entry(*verdict).or_default() += count;
        }
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
        for (cause, count) in &other.causes {
            *self.causes.entry(cause.clone()).or_default() += count;
        }
        self.first_token.add(&other.first_token);
        self.between_tokens.add(&other.between_tokens);
        self.whole.add(&other.whole);
        self.refusal.add(&other.refusal);
        let steps = self.buckets.len().max(other.buckets.len());
        self.buckets.resize(steps, Bucket::default());
        for (step, more) in self.buckets.iter_mut().zip(&other.buckets) {
            step.offered += more.offered;
            step.good += more.good;
        }
    }

    fn record_times(&mut self, outcome: &Outcome) {
        self.whole.record(outcome.whole);
        if let Some(first) = outcome.first_token {
            self.first_token.record(first);
        }
        for gap in &outcome.token_gaps {
            self.between_tokens.record(*gap);
        }
    }

    fn record_error(&mut self, outcome: &Outcome) {
        if let Some(status) = outcome.status {
            *self.statuses.entry(status).or_default() += 1;
        }
        if let Some(detail) = &outcome.detail {
            // Causes may name single requests, and a run has many.
            if self.causes.len() < MAX_CAUSES || self.causes.contains_key(detail) {
                *self.causes.entry(detail.clone()).or_default() += 1;
            }
        }
    }

    fn count_arrival(&mut self, at: Duration, bucket: Duration, good: bool) {
        let index = (at.as_secs_f64() / bucket.as_secs_f64()) as usize;
        if self.buckets.len() <= index {
            self.buckets.resize(index + 1, Bucket::default());
        }
        self.buckets[index].offered += 1;
        self.buckets[index].good += u64::from(good);
    }
}
