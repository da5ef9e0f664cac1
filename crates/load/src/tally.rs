//! Statistics of requests: counts of verdicts, histograms of times, goodput over time. Each worker
//! has one tally for each class; tallies are added up.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::plan::Contract;
use crate::verdict::Verdict;

/// Upper bound of the histograms, in microseconds.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Limit for the distinct causes of error answers in one class.
const MAX_CAUSES: usize = 50;

/// A histogram of times.
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
    /// Records a time.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
        self.micros.saturating_record(micros.max(1));
    }

    /// Adds the times of another histogram.
    pub fn add(&mut self, other: &Self) {
        self.micros
            .add(&other.micros)
            .expect("all distributions have the same bounds");
    }

    /// Number of times recorded.
    pub fn count(&self) -> u64 {
        self.micros.len()
    }

    /// The time that this fraction of the recorded times does not exceed, zero if there are none.
    pub fn quantile(&self, fraction: f64) -> Duration {
        Duration::from_micros(self.micros.value_at_quantile(fraction))
    }

    /// The longest recorded time.
    pub fn max(&self) -> Duration {
        Duration::from_micros(self.micros.max())
    }
}

/// Outcome of one request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When it arrived, since the start of the run.
    pub at: Duration,
    /// How it ended.
    pub verdict: Verdict,
    /// Status of the last error answer.
    pub status: Option<u16>,
    /// Cause given by the last error answer.
    pub detail: Option<String>,
    /// From arrival to end.
    pub whole: Duration,
    /// From arrival to the first token.
    pub first_token: Option<Duration>,
    /// Times between its tokens.
    pub token_gaps: Vec<Duration>,
    /// Tokens received.
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

/// One time bucket of the goodput curve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// Requests that arrived in it.
    pub offered: u64,
    /// Requests of these that were served within their contract.
    pub good: u64,
}

/// Statistics of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that arrived.
    pub offered: u64,
    /// Arrivals that were not sent because too many requests were open.
    pub unsent: u64,
    /// Served within the contract.
    pub good: u64,
    /// Requests by verdict.
    pub verdicts: BTreeMap<Verdict, u64>,
    /// Requests that ended with an error answer, by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests that ended with an error answer, by the cause given.
    pub causes: BTreeMap<String, u64>,
    /// Attempts after the first.
    pub retries: u64,
    /// Attempts that resumed a stream.
    pub resumes: u64,
    /// Tokens received.
    pub tokens: u64,
    /// From arrival to first token, of served requests.
    pub first_token: TimeHistogram,
    /// Between tokens, of served requests.
    pub between_tokens: TimeHistogram,
    /// From arrival to the whole answer, of served requests.
    pub whole: TimeHistogram,
    /// From arrival to the final refusal.
    pub refusal: TimeHistogram,
    /// Goodput over time.
    pub buckets: Vec<Bucket>,
}

impl Tally {
    /// Records an outcome.
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

    /// Records an arrival that was not sent.
    pub fn record_unsent(&mut self, at: Duration, bucket: Duration) {
        self.offered += 1;
        self.unsent += 1;
        self.count_arrival(at, bucket, false);
    }

    /// Number of requests with this verdict.
    pub fn ended(&self, verdict: Verdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }

    /// Fraction of the offered requests that was served within the contract.
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
            // Causes may contain request ids, so their number is limited.
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
