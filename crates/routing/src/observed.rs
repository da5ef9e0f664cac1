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
const LEAST_TOKENS: u64 = 8;
const LEAST_TIME: Duration = Duration::from_millis(50);

/// Silence beyond the expected time of an answer before an upstream is set aside.
const GRACE: Duration = Duration::from_secs(2);

/// Factor on the expected time of an answer; estimates are rough.
const DOUBT: u32 = 3;

/// Failures, or requests given up, without any sign in between before an upstream is set aside.
const FAILURES: u32 = 3;

/// Time for which an upstream is set aside at first, and at most; it doubles each time.
const ASIDE: Duration = Duration::from_secs(2);
const LONGEST_ASIDE: Duration = Duration::from_secs(60);

/// Share of the usual rate below which an upstream counts as slow. Above it the differences come
/// from what the engines happen to work on.
const SLOW: f64 = 0.6;

/// Least rate that a slow upstream is taken to have, so that it goes on being tried.
const LEAST_SHARE: f64 = 0.05;

/// Time without a new answer after which an old rate is forgotten.
const FORGET: Duration = Duration::from_secs(20);

/// Own observation of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    /// Answer tokens a second and request; 0 while unknown.
    rate: f64,
    rated: Moment,
    /// When the first request was sent that nothing has followed, and how many were since.
    unanswered_since: Moment,
    unanswered: u32,
    /// Silence that is normal for these.
    allowance: Duration,
    /// Whether the last answer came as a stream, so that signs come early.
    streams: bool,
    failures: u32,
    times_aside: u32,
    aside_until: Moment,
}

impl Observed {
    /// A request was sent. `first_token` and `whole` are the expected times of its answer.
    pub fn sent(&mut self, now: Moment, first_token: Duration, whole: Duration) {
        // One that was silent before gets the benefit of the doubt no longer.
        let early = self.streams || self.times_aside > 0;
        let expected = if early { first_token } else { whole };
        let allowance = GRACE + expected * DOUBT;
        if self.unanswered == 0 {
            self.unanswered_since = now;
            self.allowance = allowance;
        }
        self.unanswered += 1;
        self.allowance = self.allowance.max(allowance);
    }

    /// Anything of an answer came.
    pub fn sign(&mut self, now: Moment) {
        self.unanswered_since = now;
        self.unanswered = 0;
        self.failures = 0;
        self.times_aside = 0;
    }

    /// An answer of so many tokens is complete; they came within `time` after the first one.
    pub fn answered(&mut self, now: Moment, streamed: bool, tokens: u64, time: Duration) {
        self.sign(now);
        self.streams = streamed;
        if tokens < LEAST_TOKENS || time < LEAST_TIME {
            return;
        }
        let rate = tokens as f64 / time.as_secs_f64();
        let known = self.rate > 0.0 && now.saturating_sub(self.rated) < FORGET;
        self.rate = if known {
            self.rate + RATE_WEIGHT * (rate - self.rate)
        } else {
            rate
        };
        self.rated = now;
    }

    /// An attempt failed.
    pub fn failed(&mut self, now: Moment) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.set_aside(now);
        }
    }

    /// Sets the upstream aside if it has been silent for too long, with requests of this entry in hand
    /// or with several that were given up.
    pub fn check(&mut self, now: Moment, requests: f64) {
        let silent = now.saturating_sub(self.unanswered_since);
        let owes = requests > 0.0 || self.unanswered >= FAILURES;
        if owes && silent > self.allowance && !self.is_aside(now) {
            self.set_aside(now);
        }
    }

    /// Whether no new work should go there for now.
    pub fn is_aside(&self, now: Moment) -> bool {
        now < self.aside_until
    }

    /// The moment at which it was last set free again, from which it grows to its full share.
    pub fn back_since(&self) -> Moment {
        self.aside_until
    }

    /// The rate of answers, if it is known.
    pub fn rate(&self, now: Moment) -> Option<f64> {
        let known = self.rate > 0.0 && now.saturating_sub(self.rated) < FORGET;
        known.then_some(self.rate)
    }

    /// Share of its speed that an upstream is taken to have, given the usual rate of its like.
    pub fn share(&self, now: Moment, usual: f64) -> f64 {
        let Some(rate) = self.rate(now) else {
            return 1.0;
        };
        let share = rate / usual.max(f64::MIN_POSITIVE);
        if share < SLOW {
            share.max(LEAST_SHARE)
        } else {
            1.0
        }
    }

    fn set_aside(&mut self, now: Moment) {
        let doubled = ASIDE * 2_u32.saturating_pow(self.times_aside.min(16));
        self.aside_until = now + doubled.min(LONGEST_ASIDE);
        self.times_aside += 1;
        self.failures = 0;
        // What it still owes is not held against it twice.
        self.unanswered_since = self.aside_until;
        self.unanswered = 0;
    }
}
