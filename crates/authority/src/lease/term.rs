//! Durations of a lease and of the waits of its challengers.

use std::time::Duration;

/// Below this, the renewal interval of a third of the lease is no longer than a round trip to a
/// slow log.
pub const MIN_LEASE: Duration = Duration::from_millis(300);

/// Largest supported drift of the clock rate: a tenth.
pub const MAX_DRIFT_PPM: u32 = 100_000;

/// The unchecked settings of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TermConfig {
    /// How long a holder may act after sending a renewal.
    pub lease: Duration,
    /// Additional wait of challengers beyond the lease.
    pub margin: Duration,
    /// Largest deviation of the rate of a process's monotonic clock from real time, in either
    /// direction, in parts per million.
    pub drift_ppm: u32,
    /// Difference between the waits of challengers of successive ranks.
    pub stagger: Duration,
    /// Delay before an append that failed or was not answered is repeated.
    pub retry: Duration,
}

impl Default for TermConfig {
    /// With a lease of 10 s, a scope has no holder for about 13 s after its holder is killed, while
    /// the fleet keeps serving unchanged. Shorter leases cost more appends for renewals, which are
    /// one per scope every 3.3 s.
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            drift_ppm: 10_000,
            stagger: Duration::from_millis(500),
            retry: Duration::from_secs(1),
        }
    }
}

/// An invalid setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Name of the setting.
    pub field: &'static str,
    /// What is wrong with its value.
    pub problem: &'static str,
}

/// The checked durations of a lease. All processes of a fleet use the same values.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Term {
    lease: Duration,
    challenge_wait: Duration,
    stagger: Duration,
    retry_delay: Duration,
}

impl TryFrom<TermConfig> for Term {
    type Error = Vec<Finding>;

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    fn try_from(config: TermConfig) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut check = |wrong, field, problem| {
            if wrong {
                findings.push(Finding { field, problem });
            }
        };
        check(config.lease < MIN_LEASE, "lease", "is below 300 ms");
        check(
            config.drift_ppm > MAX_DRIFT_PPM,
            "drift_ppm",
            "is above 100000, a tenth",
        );
        check(
            config.retry.is_zero() || config.retry > config.lease / 3,
            "retry",
            "is zero or above a third of the lease",
        );
        if findings.is_empty() {
            Ok(Self {
                lease: config.lease,
                challenge_wait: challenge_wait(&config),
                stagger: config.stagger,
                retry_delay: config.retry,
            })
        } else {
            Err(findings)
        }
    }
}

impl Term {
    /// How long a holder may act after sending a renewal, on its own clock.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// How long a challenger waits after reading a renewal, on its own clock. Never shorter than the
    /// lease on any other clock.
    pub fn challenge_wait(&self) -> Duration {
        self.challenge_wait
    }

    /// Difference between the waits of challengers of successive ranks.
    pub fn stagger(&self) -> Duration {
        self.stagger
    }

    /// Delay before an append that failed or was not answered is repeated.
    pub fn retry_delay(&self) -> Duration {
        self.retry_delay
    }

    /// Time between two renewals of a holder.
    pub fn renewal_interval(&self) -> Duration {
        self.lease / 3
    }
}

/// Covers a slow holder and a fast challenger: with clock rates in `1 - d ..= 1 + d`, a lease of `L`
/// on the holder's clock takes at most `L / (1 - d)` of real time, in which the challenger's clock
/// advances by at most `L * (1 + d) / (1 - d)`.
fn challenge_wait(config: &TermConfig) -> Duration {
    const MILLION: u128 = 1_000_000;
    let drift = u128::from(config.drift_ppm);
    let nanos = (config.lease.as_nanos() * (MILLION + drift)).div_ceil(MILLION - drift);
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)) + config.margin
}
