//! Learns how much longer than forecast calls of organisations over their share wait: calls of
//! others that arrive later are read first.

use std::time::Duration;

use clock::Moment;

use crate::decaying_rate::retained;

/// The ratio of waiting time to forecast that most calls keep to, at least one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Stretch {
    /// Logarithm of the ratio.
    log: f64,
    updated_at: Moment,
}

/// Share of the calls that are to keep to the ratio.
const QUANTILE: f64 = 0.9;
/// Step of the logarithm. With the quantile, one call that takes longer counts as much as nine that
/// do not.
const STEP: f64 = 0.3;
/// Largest ratio. Beyond, hardly any place would be near enough.
const MAX_RATIO: f64 = 6.0;
/// Time constant with which the ratio returns to one, since no call shows that it has become lower
/// once all are refused.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

impl Stretch {
    pub(super) fn ratio(&self, now: Moment) -> f64 {
        self.decayed(now).exp()
    }

    /// Records that a call's first answer came after this multiple of the forecast.
    pub(super) fn observe(&mut self, ratio: f64, now: Moment) {
        let log = self.decayed(now);
        let step = if ratio.ln() > log {
            STEP * QUANTILE
        } else {
            -STEP * (1.0 - QUANTILE)
        };
        self.log = (log + step).clamp(0.0, MAX_RATIO.ln());
        self.updated_at = now.max(self.updated_at);
    }

    fn decayed(&self, now: Moment) -> f64 {
        self.log * retained(now.saturating_sub(self.updated_at), TIME_CONSTANT)
    }
}
