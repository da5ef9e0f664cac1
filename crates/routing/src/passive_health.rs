//! What this entry itself sees of an upstream: how fast answers come, whether it gives any sign of
//! life, and whether attempts fail.
//!
//! Reports and the instance list are late and may be wrong; an engine that accepts requests and never
//! answers looks idle in both. See docs/design/choice.md.

use std::time::Duration;

use clock::Moment;

/// Weight of the newest answer in the rate of answers.
const RATE_WEIGHT: f64 = 0.1;

/// Answers that are too short or too quick say nothing of the rate.
const MIN_RATE_TOKENS: u64 = 8;
const MIN_RATE_TIME: Duration = Duration::from_millis(50);

/// Silence beyond the expected time of an answer before an upstream is set aside.
const SILENCE_GRACE: Duration = Duration::from_secs(2);

/// Factor on the expected time of an answer; estimates are rough.
const SILENCE_FACTOR: u32 = 3;

/// Failures, or requests given up, without any sign in between before an upstream is set aside.
const FAILURES_TO_EJECT: u32 = 3;

/// Time for which an upstream is set aside at first, and at most; it doubles each time.
const BASE_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Share of the usual rate below which an upstream counts as slow. Above it the differences come
/// from what the engines happen to work on.
const SLOW_BELOW: f64 = 0.6;

/// Least rate that a slow upstream is taken to have, so that it goes on being tried.
const MIN_SPEED_SHARE: f64 = 0.05;

/// Time without a new answer after which an old rate is forgotten.
const RATE_EXPIRY: Duration = Duration::from_secs(20);

/// Own observation of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassiveHealth {
    /// Answer tokens a second and request; 0 while unknown.
    rate: f64,
    rated_at: Moment,
    /// When the first request was sent that nothing has followed, and how many were since.
    unanswered_since: Moment,
    unanswered: u32,
    /// Silence that is normal for these.
    silence_limit: Duration,
    /// Whether the last answer came as a stream, so that signs come early.
    last_streamed: bool,
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
}

impl PassiveHealth {
    /// A request was sent. `first_token` and `whole` are the expected times of its answer.
    pub fn record_sent(&mut self, now: Moment, first_token: Duration, whole: Duration) {
        // One that was silent before gets the benefit of the doubt no longer.
        let expects_early = self.last_streamed || self.ejections > 0;
        let expected = if expects_early { first_token } else { whole };
        let silence_limit = SILENCE_GRACE + expected * SILENCE_FACTOR;
        if self.unanswered == 0 {
            self.unanswered_since = now;
            self.silence_limit = silence_limit;
        }
        self.unanswered += 1;
        self.silence_limit = self.silence_limit.max(silence_limit);
    }

    /// Anything of an answer came.
    pub fn record_response(&mut self, now: Moment) {
        self.unanswered_since = now;
        self.unanswered = 0;
        self.failures = 0;
        self.ejections = 0;
    }

    /// An answer of so many tokens is complete; they came within `time` after the first one.
    pub fn record_answer(&mut self, now: Moment, streamed: bool, tokens: u64, time: Duration) {
        self.record_response(now);
        self.last_streamed = streamed;
        if tokens < MIN_RATE_TOKENS || time < MIN_RATE_TIME {
            return;
        }
        let rate = tokens as f64 / time.as_secs_f64();
        let known = self.rate > 0.0 && now.saturating_sub(self.rated_at) < RATE_EXPIRY;
        self.rate = if known {
            self.rate + RATE_WEIGHT * (rate - self.rate)
        } else {
            rate
        };
        self.rated_at = now;
    }

    /// An attempt failed.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Sets the upstream aside if it has been silent for too long, with requests of this entry in hand
    /// or with several that were given up.
    pub fn check_silence(&mut self, now: Moment, requests: f64) {
        let silence = now.saturating_sub(self.unanswered_since);
        let awaits_answer = requests > 0.0 || self.unanswered >= FAILURES_TO_EJECT;
        if awaits_answer && silence > self.silence_limit && !self.is_ejected(now) {
            self.eject(now);
        }
    }

    /// Whether no new work should go there for now.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// The moment at which it was last set free again, from which it grows to its full share.
    pub fn readmitted_at(&self) -> Moment {
        self.ejected_until
    }

    /// The rate of answers, if it is known.
    pub fn answer_rate(&self, now: Moment) -> Option<f64> {
        let known = self.rate > 0.0 && now.saturating_sub(self.rated_at) < RATE_EXPIRY;
        known.then_some(self.rate)
    }

    /// Share of its speed that an upstream is taken to have, given the usual rate of its like.
    pub fn speed_share(&self, now: Moment, mean_rate: f64) -> f64 {
        let Some(rate) = self.answer_rate(now) else {
            return 1.0;
        };
        let share = rate / mean_rate.max(f64::MIN_POSITIVE);
        if share < SLOW_BELOW {
            share.max(MIN_SPEED_SHARE)
        } else {
            1.0
        }
    }

    fn eject(&mut self, now: Moment) {
        let doubled = BASE_EJECTION * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejected_until = now + doubled.min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        // What it still owes is not held against it twice.
        self.unanswered_since = self.ejected_until;
        self.unanswered = 0;
    }
}
