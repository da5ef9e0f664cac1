//! Whether, when and how often something is tried again.

use std::time::Duration;

use rand::{RngExt, rngs::SmallRng};

/// Settings of retries.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries per first attempt in the long run.
    pub ratio: f64,
    /// Retries that may be saved up.
    pub burst: f64,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Backoff before the first retry; doubles with each further one.
    pub backoff: Duration,
    /// Least time that a refused caller is asked to stay away.
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

/// Backoff beyond which doubling stops.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time beyond which no caller is asked to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

/// Budget of retries of one process.
///
/// Without it, an overload in which every request is tried three times is an overload three times as
/// large that outlasts its cause. One notices it by goodput that does not come back after a peak.
/// Here retries are a bounded share of first attempts, so the load they add is bounded as well.
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

    /// Counts a first attempt, which earns a share of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.config.ratio).min(self.config.burst);
    }

    /// Takes a retry for a request that has been attempted `attempts` times. Says no if that is
    /// often enough or the budget is spent.
    pub fn withdraw(&mut self, attempts: u32) -> bool {
        if attempts >= self.config.max_attempts || self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Time before the next attempt after `attempts` of them: anywhere between nothing and the
    /// doubled backoff, so that requests that failed together do not come back together.
    pub fn backoff(&self, rng: &mut SmallRng, attempts: u32) -> Duration {
        let doubled =
            self.config.backoff * 2_u32.saturating_pow(attempts.saturating_sub(1).min(16));
        doubled.min(MAX_BACKOFF).mul_f64(rng.random())
    }

    /// Time to tell a refused caller, given when room is expected: spread over as long again,
    /// because callers told the same time return at the same time.
    pub fn retry_after(&self, rng: &mut SmallRng, expected: Duration) -> Duration {
        let base = expected.clamp(self.config.min_retry_after, MAX_RETRY_AFTER);
        base + base.mul_f64(rng.random())
    }
}
