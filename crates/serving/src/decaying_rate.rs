//! How much of something flows, as a mean that fades.

use std::time::Duration;

use clock::Moment;

/// Time constant of the mean: longer than the waves of a mix that swings every 2.8 s, shorter than a change of
/// engines pays back.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// A flow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate {
    sum: f64,
    updated_at: Moment,
}

impl DecayingRate {
    /// Adds an amount.
    pub(crate) fn add(&mut self, amount: u32, now: Moment) {
        self.sum = self.decayed(now) + f64::from(amount);
        self.updated_at = now;
    }

    /// Amount in a millisecond.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        self.decayed(now) / (TIME_CONSTANT.as_secs_f64() * 1_000.0)
    }

    fn decayed(&self, now: Moment) -> f64 {
        let past = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-past / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
