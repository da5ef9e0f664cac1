//! Retry budget and backoff.

use std::time::Duration;

use rand::{RngExt, rngs::SmallRng};

/// Retry settings.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Long-term ratio of retries to first attempts.
    pub ratio: f64,
    /// Largest balance of the budget, in retries.
    pub burst: f64,
    /// Most attempts of one request, the first one included.
    pub max_attempts: u32,
    /// Backoff before the first retry; doubles for each further one.
    pub backoff: Duration,
    /// Least `retry_after` of a refusal.
    pub min_retry_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
            max_attempts: 3,
            backoff: Duration::from_millis(10),
            min_retry_after: Duration::from_secs(1),
        }
    }
}

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Upper bound of the expected time on which `retry_after` is based.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

/// Retry budget of one process.
///
/// Without a budget, an overload in which every request is attempted three times triples itself
/// and outlasts its cause: goodput does not recover after a peak. The budget limits retries, and
/// the load that they add, to a share of the first attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    config: Config,
    balance: f64,
}

impl Budget {
    /// A full budget.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            balance: config.burst,
        }
    }

    /// Deposits a share of a retry for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.config.ratio).min(self.config.burst);
    }

    /// Withdraws a retry for a request after `attempts` attempts. Returns false if the request has
    /// used up its attempts or the budget is spent.
    pub fn withdraw(&mut self, attempts: u32) -> bool {
        if attempts >= self.config.max_attempts || self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Time before the next attempt, after `attempts` of them. Full jitter keeps requests that
    /// failed together from being retried together.
    pub fn backoff(&self, rng: &mut SmallRng, attempts: u32) -> Duration {
        let doubled =
            self.config.backoff * 2_u32.saturating_pow(attempts.saturating_sub(1).min(16));
        doubled.min(MAX_BACKOFF).mul_f64(rng.random())
    }

    /// Time to tell a refused caller, given when capacity is expected: randomised between that and
    /// twice as long, because callers told the same time return at the same time.
    pub fn retry_after(&self, rng: &mut SmallRng, expected: Duration) -> Duration {
        let base = expected.clamp(self.config.min_retry_after, MAX_RETRY_AFTER);
        base + base.mul_f64(rng.random())
    }
}
