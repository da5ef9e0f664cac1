//! Passive health checks: how fast an upstream's answers arrive, whether it responds at all, and
//! whether attempts fail.
//!
//! Load reports and the instance list lag behind and may be wrong: an engine that accepts requests
//! and never answers looks idle in both. See docs/design/choice.md.

use std::time::Duration;

use clock::Moment;

/// Weight of the newest answer in the smoothed answer rate.
const RATE_WEIGHT: f64 = 0.1;

/// Answers shorter or faster than this do not allow an estimate of the rate.
const MIN_RATE_TOKENS: u64 = 8;
const MIN_RATE_TIME: Duration = Duration::from_millis(50);

/// Silence tolerated on top of the expected response time before ejection.
const SILENCE_GRACE: Duration = Duration::from_secs(2);

/// Factor on the expected response time, since estimates are rough.
const SILENCE_FACTOR: u32 = 3;

/// Consecutive failures, or cancelled requests without any response, that lead to ejection.
const FAILURES_TO_EJECT: u32 = 3;

/// First and longest ejection time. The time doubles with each further ejection.
const BASE_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Share of the mean rate below which an upstream counts as slow. Smaller differences come from
/// the requests that the engines happen to run.
const SLOW_BELOW: f64 = 0.6;

/// Least speed share of a slow upstream, so that it still receives some requests.
const MIN_SPEED_SHARE: f64 = 0.05;

/// Time after which an answer rate without newer samples expires.
const RATE_EXPIRY: Duration = Duration::from_secs(20);

/// Passive health of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassiveHealth {
    /// Answer tokens per second of one request; 0 while unknown.
    rate: f64,
    rated_at: Moment,
    /// Time of the first request since the last response, and the number of requests since.
    unanswered_since: Moment,
    unanswered: u32,
    /// Silence allowed for these requests.
    silence_limit: Duration,
    /// Whether the last answer was streamed, so that first tokens are expected early.
    last_streamed: bool,
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
}

impl PassiveHealth {
    /// Records that a request was sent, with the expected times to its first token and to its end.
    pub fn record_sent(&mut self, now: Moment, first_token: Duration, whole: Duration) {
        // After an ejection, the first token counts even if answers are not streamed.
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

    /// Records that any part of an answer arrived.
    pub fn record_response(&mut self, now: Moment) {
        self.unanswered_since = now;
        self.unanswered = 0;
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a complete answer of `tokens` tokens that arrived within `time` of its first token.
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

    /// Records a failed attempt.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Ejects the upstream if it has been silent for too long while this entry has requests
    /// outstanding there, or has cancelled several without any response.
    pub fn check_silence(&mut self, now: Moment, requests: f64) {
        let silence = now.saturating_sub(self.unanswered_since);
        let awaits_answer = requests > 0.0 || self.unanswered >= FAILURES_TO_EJECT;
        if awaits_answer && silence > self.silence_limit && !self.is_ejected(now) {
            self.eject(now);
        }
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// End of the last ejection, from which slow start begins again.
    pub fn readmitted_at(&self) -> Moment {
        self.ejected_until
    }

    /// The smoothed answer rate, if known.
    pub fn answer_rate(&self, now: Moment) -> Option<f64> {
        let known = self.rate > 0.0 && now.saturating_sub(self.rated_at) < RATE_EXPIRY;
        known.then_some(self.rate)
    }

    /// Factor on the upstream's speed, given the mean answer rate in its role.
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
        // Requests already outstanding must not cause a second ejection.
        self.unanswered_since = self.ejected_until;
        self.unanswered = 0;
    }
}
