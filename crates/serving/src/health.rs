//! Engines judged by the outcomes of calls, because what they say of themselves may be false.

use std::time::Duration;

use clock::Moment;

use crate::fleet::PeerId;

/// How a call ended, as far as it tells something of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer of its own, also one that refuses.
    Success,
    /// A refusal for want of room.
    Overloaded,
    /// No connection opened.
    Unreachable,
    /// Another incarnation answered at its address, so this one has ended.
    Ended,
    /// No answer, a broken one, or a failure of the engine's own.
    Failed,
}

/// Share of failures that closes an engine, and the calls that must have been seen.
///
/// An engine that fails part of its calls while its record says that it is well costs each of
/// these calls its benefit. One notices it by failures that all name one engine. At two failures
/// within the last five or so calls it rests; a service whose every engine fails a seventh of its
/// calls stays below that.
const FAILURE_THRESHOLD: f64 = 0.35;
/// Weight of one outcome.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Rest after a refusal for want of room, about as long as a call takes.
///
/// An engine that refuses looks idle to whoever counts only the calls that it has taken. One
/// notices it by calls that all try it first, each at the price of a repeat.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(50);
/// Time in which the share of failures halves without any call.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// First rest after failures; doubles with each further one in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(1_000);
/// Longest rest.
const MAX_BACKOFF: Duration = Duration::from_millis(4_000);
/// Rest after a connection that did not open: the engine is gone, or its queue of connections is
/// full for a moment.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);

/// Recent outcomes at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: f64,
    updated_at: Moment,
    backoffs: u32,
    retry_at: Moment,
    probing: bool,
    ended: bool,
}

impl Health {
    /// Takes in an outcome.
    pub fn record(&mut self, outcome: Outcome, now: Moment) {
        self.failures = self.failures(now);
        self.updated_at = now;
        match outcome {
            Outcome::Success => self.on_success(),
            Outcome::Overloaded => self.retry_at = self.retry_at.max(now + OVERLOAD_BACKOFF),
            Outcome::Unreachable => self.back_off(UNREACHABLE_BACKOFF, now),
            Outcome::Ended => self.ended = true,
            Outcome::Failed => self.on_failure(now),
        }
    }

    /// Whether a call may be sent here.
    pub fn is_available(&self, now: Moment) -> bool {
        now >= self.retry_at && !self.ended
    }

    /// Whether the engine is known to have ended, although its record stands.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Share of recent calls that failed, from 0 to 1. It fades with time: an engine that gets no calls
    /// because it failed would never be seen to have recovered.
    pub fn failures(&self, now: Moment) -> f64 {
        let halvings = now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(halvings)
    }

    fn on_success(&mut self) {
        self.failures *= 1.0 - OUTCOME_WEIGHT;
        self.probing = false;
        if self.failures < FAILURE_THRESHOLD / 4.0 {
            self.backoffs = 0;
        }
    }

    fn on_failure(&mut self, now: Moment) {
        self.failures = self.failures * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
        if self.failures >= FAILURE_THRESHOLD || self.probing {
            let backoff = MIN_BACKOFF * 2_u32.saturating_pow(self.backoffs.min(4));
            self.back_off(backoff.min(MAX_BACKOFF), now);
        }
    }

    fn back_off(&mut self, duration: Duration, now: Moment) {
        if now < self.retry_at {
            return;
        }
        self.backoffs += 1;
        self.probing = true;
        self.retry_at = now + duration;
    }
}

/// Time within which another instance must tell of a failure as well.
const CORROBORATION_WINDOW: Duration = Duration::from_secs(2);

/// What other instances tell of their calls at one engine.
///
/// An instance that places the calls of many sees few answers itself: an engine that fails part of its calls would be chosen
/// again for each of them. But an instance whose own link is cut fails everywhere, and would close every engine to all
/// by its word; one would notice it by refusals while all engines are idle. So a failure counts only behind
/// one that another instance told of.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerReports {
    health: Health,
    last_failure: Option<(PeerId, Moment)>,
}

impl PeerReports {
    /// Whether a call may be sent here by what others tell.
    pub fn is_available(&self, now: Moment) -> bool {
        self.health.is_available(now)
    }

    /// Share of recent calls of others that failed, from 0 to 1.
    pub fn failures(&self, now: Moment) -> f64 {
        self.health.failures(now)
    }

    /// Takes in an outcome that another instance tells.
    pub fn record(&mut self, peer: PeerId, outcome: Outcome, now: Moment) {
        match outcome {
            Outcome::Success | Outcome::Overloaded => self.health.record(outcome, now),
            Outcome::Failed | Outcome::Unreachable => self.on_failure(peer, now),
            // Told by itself, and once.
            Outcome::Ended => {}
        }
    }

    fn on_failure(&mut self, peer: PeerId, now: Moment) {
        let previous = self.last_failure.replace((peer, now));
        let is_corroborated = |(other, at): (PeerId, Moment)| {
            other != peer && now.saturating_sub(at) <= CORROBORATION_WINDOW
        };
        if previous.is_some_and(is_corroborated) {
            self.health.record(Outcome::Failed, now);
        }
    }
}
