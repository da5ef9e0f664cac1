//! Emulated time: real time since the start, multiplied by the time scale.

use std::time::{Duration, Instant};

use super::Moment;

/// The clock of an emulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct EmulatedClock {
    start: Instant,
    factor: f64,
}

impl EmulatedClock {
    pub(super) fn new(factor: f64) -> Self {
        Self {
            start: Instant::now(),
            factor: factor.max(f64::MIN_POSITIVE),
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.start.elapsed().mul_f64(self.factor)
    }

    /// Converts an emulated duration to real time.
    pub(super) fn real_duration(&self, emulated: Duration) -> Duration {
        emulated.div_f64(self.factor)
    }

    /// Converts an emulated time to a real instant.
    pub(super) fn real_instant(&self, moment: Moment) -> Instant {
        self.start + self.real_duration(moment)
    }

    /// Sleeps for an emulated duration.
    pub(super) async fn sleep(&self, emulated: Duration) {
        if !emulated.is_zero() {
            actix_rt::time::sleep(self.real_duration(emulated)).await;
        }
    }
}
