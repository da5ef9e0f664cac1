//! How long a lease lasts and how long others wait.

use std::time::Duration;

/// Smallest lease: below it a third of the lease is no more than a round trip to a slow log.
pub const MIN_LEASE: Duration = Duration::from_millis(300);

/// Greatest rate drift that the arithmetic is made for: a tenth.
pub const MAX_DRIFT_PPM: u32 = 100_000;

/// The unchecked figures, as the settings give them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TermConfig {
    /// For how long a holder may act after it sent a renewal.
    pub lease: Duration,
    /// What challengers wait beyond it.
    pub margin: Duration,
    /// By how many millionths the rate of any process's monotonic clock may differ from true time,
    /// either way.
    pub drift_ppm: u32,
    /// By how much the challengers of one scope differ in their waits.
    pub stagger: Duration,
    /// After how long an append that failed or was not answered is made anew.
    pub retry: Duration,
}

impl Default for TermConfig {
    /// Ten seconds of lease: control is without a holder for 13 seconds or so after a kill, during
    /// which the fleet serves on as it stands; shorter leases would spend more appends on renewals
    /// (one in 3.3 seconds and scope).
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

/// A figure that cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Name of the figure.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// The checked figures. All processes of a fleet use the same.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Term {
    lease: Duration,
    wait: Duration,
    stagger: Duration,
    retry: Duration,
}

impl TryFrom<TermConfig> for Term {
    type Error = Vec<Finding>;

    /// Checks the figures.
    ///
    /// # Errors
    ///
    /// All findings together.
    fn try_from(figures: TermConfig) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut check = |wrong, field, problem| {
            if wrong {
                findings.push(Finding { field, problem });
            }
        };
        check(figures.lease < MIN_LEASE, "lease", "is below 300 ms");
        check(
            figures.drift_ppm > MAX_DRIFT_PPM,
            "drift_ppm",
            "is above 100000, a tenth",
        );
        check(
            figures.retry.is_zero() || figures.retry > figures.lease / 3,
            "retry",
            "is zero or above a third of the lease",
        );
        if findings.is_empty() {
            Ok(Self {
                lease: figures.lease,
                wait: wait(&figures),
                stagger: figures.stagger,
                retry: figures.retry,
            })
        } else {
            Err(findings)
        }
    }
}

impl Term {
    /// For how long a holder may act after it sent a renewal, on its own clock.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// How long a challenger waits after it read a renewal, on its own clock: never shorter than
    /// the lease on any other clock.
    pub fn challenge_wait(&self) -> Duration {
        self.wait
    }

    /// By how much the challengers of one scope differ in their waits.
    pub fn stagger(&self) -> Duration {
        self.stagger
    }

    /// After how long an append that failed or was not answered is made anew.
    pub fn retry_delay(&self) -> Duration {
        self.retry
    }

    /// After how long a holder renews.
    pub fn renewal_interval(&self) -> Duration {
        self.lease / 3
    }
}

/// The holder's clock may be slow and the challenger's fast: with rates in `1 - d ..= 1 + d`, a
/// lease of `L` on the holder's clock takes at most `L / (1 - d)` of true time, in which the
/// challenger's clock advances by at most `L * (1 + d) / (1 - d)`.
fn wait(figures: &TermConfig) -> Duration {
    const MILLION: u128 = 1_000_000;
    let drift = u128::from(figures.drift_ppm);
    let nanos = (figures.lease.as_nanos() * (MILLION + drift)).div_ceil(MILLION - drift);
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)) + figures.margin
}
