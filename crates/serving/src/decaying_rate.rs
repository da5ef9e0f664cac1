//! Rate of a quantity as an exponentially decaying mean.

use std::time::Duration;

use clock::Moment;

/// Time constant of the mean: longer than the waves of a mix that alternates every 2.8 s, shorter
/// than the time in which a role change pays off.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// The part of a decaying quantity that is left after a time.
pub(crate) fn retained(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// A decaying sum of amounts.
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

    /// The rate per millisecond.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        self.decayed(now) / (TIME_CONSTANT.as_secs_f64() * 1_000.0)
    }

    fn decayed(&self, now: Moment) -> f64 {
        self.sum * retained(now.saturating_sub(self.updated_at), TIME_CONSTANT)
    }
}
