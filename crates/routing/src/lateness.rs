//! By how much first tokens lately came later than expected.

use std::time::Duration;

use clock::Moment;

/// Weight of the newest first token.
const WEIGHT: f64 = 0.05;

/// Time without a first token after which an excess fades, and time in which it then loses two
/// thirds of itself.
const HOLD_TIME: Duration = Duration::from_secs(2);
const DECAY_TIME: Duration = Duration::from_secs(3);

/// A smoothed excess in seconds.
///
/// The others' sends, and requests of higher classes that come later and pass, are in no estimate;
/// this stands for them. It fades with time as well: once an excess is so large that every request
/// is refused, no first token would come any more to lower it again, and a fault of a minute would
/// close a class for good.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    seconds: f64,
    at: Moment,
}

impl Lateness {
    /// The excess in seconds.
    pub fn seconds(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at + HOLD_TIME).as_secs_f64();
        self.seconds * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Learns from a first token.
    pub fn record(&mut self, now: Moment, expected: f64, took: f64) {
        let old = self.seconds(now);
        self.seconds = old + WEIGHT * ((took - expected).max(0.0) - old);
        self.at = now;
    }
}
