//! Emulated time: real time since the start, sped up by the time scale.

use std::time::{Duration, Instant};

use super::Moment;

/// The clock of an emulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scale {
    start: Instant,
    factor: f64,
}

impl Scale {
    pub(super) fn new(factor: f64) -> Self {
        Self {
            start: Instant::now(),
            factor: factor.max(f64::MIN_POSITIVE),
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.start.elapsed().mul_f64(self.factor)
    }

    /// The real time that an emulated one takes.
    pub(super) fn real(&self, emulated: Duration) -> Duration {
        emulated.div_f64(self.factor)
    }

    /// The real moment of an emulated one.
    pub(super) fn instant(&self, moment: Moment) -> Instant {
        self.start + self.real(moment)
    }

    /// Lets emulated time pass.
    pub(super) async fn sleep(&self, emulated: Duration) {
        if !emulated.is_zero() {
            actix_rt::time::sleep(self.real(emulated)).await;
        }
    }
}
