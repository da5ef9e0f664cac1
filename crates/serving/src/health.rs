//! Health of engines, judged by the outcomes of calls, because an engine's own report may be false.

use std::time::Duration;

use clock::Moment;

use crate::fleet::PeerId;

/// The outcome of a call, as far as it says something about the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer of the engine itself, including one that refuses.
    Success,
    /// A refusal for lack of capacity.
    Overloaded,
    /// The connection could not be opened.
    Unreachable,
    /// Another incarnation answered at the engine's address, so this one has ended.
    Ended,
    /// No answer, a broken one, or an internal failure of the engine.
    Failed,
}

/// Share of failures above which an engine is backed off.
///
/// An engine that fails part of its calls while its record says it is ready costs each of these
/// calls its benefit; the sign is failures that all name one engine. The threshold is reached by
/// two failures within about the last five calls. A service whose every engine fails a seventh of
/// its calls stays below it.
const FAILURE_THRESHOLD: f64 = 0.35;
/// Weight of one outcome.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Back-off after an overload refusal, about the duration of a call.
///
/// An engine that refuses calls looks idle to an instance that counts only accepted ones, so that
/// all calls try it first, each at the cost of a repeat.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(50);
/// Time in which the share of failures halves without any call.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// First back-off after failures; doubles with each further one in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(1_000);
/// Longest back-off.
const MAX_BACKOFF: Duration = Duration::from_millis(4_000);
/// Back-off after a connection that could not be opened: the engine is gone, or its accept queue is
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
    /// Records an outcome.
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

    /// Whether a call may be sent to the engine.
    pub fn is_available(&self, now: Moment) -> bool {
        now >= self.retry_at && !self.ended
    }

    /// Whether the engine is known to have ended although its record still exists.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Share of recent calls that failed, from 0 to 1. It decays with time, because an engine that
    /// gets no calls after failures could otherwise never be seen to have recovered.
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

/// Time within which a second instance must report a failure as well.
const CORROBORATION_WINDOW: Duration = Duration::from_secs(2);

/// Outcomes at one engine as reported by other instances.
///
/// A placer sees few answers itself and would choose an engine that fails part of its calls again
/// for each instance that it places for. But an instance whose own link is down fails everywhere
/// and could shut all engines out for everyone, which shows as refusals while all engines are idle.
/// So a failure counts only if another instance has reported one shortly before.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerReports {
    health: Health,
    last_failure: Option<(PeerId, Moment)>,
}

impl PeerReports {
    /// Whether a call may be sent to the engine by these reports.
    pub fn is_available(&self, now: Moment) -> bool {
        self.health.is_available(now)
    }

    /// Share of recent calls of other instances that failed, from 0 to 1.
    pub fn failures(&self, now: Moment) -> f64 {
        self.health.failures(now)
    }

    /// Records an outcome that another instance reported.
    pub fn record(&mut self, peer: PeerId, outcome: Outcome, now: Moment) {
        match outcome {
            Outcome::Success | Outcome::Overloaded => self.health.record(outcome, now),
            Outcome::Failed | Outcome::Unreachable => self.on_call_failure_report(peer, now),
            // Reported by a change of its own.
            Outcome::Ended => {}
        }
    }

    fn on_call_failure_report(&mut self, peer: PeerId, now: Moment) {
        let previous = self.last_failure.replace((peer, now));
        let is_corroborated = |(other, at): (PeerId, Moment)| {
            other != peer && now.saturating_sub(at) <= CORROBORATION_WINDOW
        };
        if previous.is_some_and(is_corroborated) {
            self.health.record(Outcome::Failed, now);
        }
    }
}
