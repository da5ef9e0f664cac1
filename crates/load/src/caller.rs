//! Sends one request for a caller: attempts at entries until an answer is complete or the caller
//! gives up.

use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use awc::Client;

use crate::answer::AnswerChecker;
use crate::attempt::{Attempt, Progress};
use crate::plan::Class;
use crate::request::Request;
use crate::tally::Outcome;
use crate::target;
use crate::verdict::{AttemptEnd, NextStep, Ran, RequestState, Verdict};

/// Outcome of a request, with what the audit needs.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// The outcome that the caller saw.
    pub outcome: Outcome,
    /// Whether every attempt was refused as not run or did not reach an entry.
    pub never_ran: bool,
}

/// A caller of one class.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// Class of its requests.
    pub class: &'a Class,
    /// Entries to choose from.
    pub targets: &'a target::TargetSet,
    /// Start of the run.
    pub start: Instant,
}

impl Caller<'_> {
    /// Sends a request, with retries, until it is answered or the caller gives up.
    pub async fn send(&self, client: &Client, request: &Request) -> RequestResult {
        let arrived = self.start + request.at;
        let gives_up_at = arrived + self.class.gives_up_after;
        let checker = request
            .prompt
            .as_ref()
            .map(|prompt| AnswerChecker::new(prompt.expected_text()));
        let mut progress = Progress::new(checker);
        let mut history = AttemptHistory::default();
        let verdict = loop {
            let end = self
                .attempt(client, request, gives_up_at, &mut progress, &mut history)
                .await;
            history.may_have_run += u32::from(!certainly_not_run(&end));
            let state = RequestState {
                class: self.class,
                attempts: history.attempts,
                time_left: gives_up_at.saturating_duration_since(Instant::now()),
                stream_started: progress.last_event_id.is_some(),
            };
            match state.next_step(&end) {
                NextStep::Retry(wait) => sleep(wait).await,
                NextStep::Finish(verdict) => break verdict,
            }
        };
        history.result(request.at, arrived, verdict, progress)
    }

    async fn attempt(
        &self,
        client: &Client,
        request: &Request,
        gives_up_at: Instant,
        progress: &mut Progress,
        history: &mut AttemptHistory,
    ) -> AttemptEnd {
        let target = self.targets.choose(history.target);
        history.target = Some(target);
        history.attempts += 1;
        history.resumes += u32::from(progress.last_event_id.is_some());
        let time_left = gives_up_at.saturating_duration_since(Instant::now());
        let attempt = Attempt {
            url: self.targets.url(target),
            class: self.class,
            request,
            // An attempt that certainly did not run is not counted. Otherwise the next attempt
            // would be told that an earlier one may have run, and a card would stay unauthorised
            // needlessly.
            number: history.may_have_run + 1,
            time_left,
        };
        let end = timeout(time_left, attempt.run(client, progress)).await;
        let end = end.unwrap_or(AttemptEnd::TimedOut);
        if end == AttemptEnd::Unreached {
            self.targets.mark_down(target);
        }
        end
    }
}

/// Counts of the attempts of one request.
#[derive(Debug, Default)]
struct AttemptHistory {
    attempts: u32,
    resumes: u32,
    target: Option<usize>,
    /// Attempts that may have run.
    may_have_run: u32,
}

impl AttemptHistory {
    fn result(
        &self,
        at: Duration,
        arrived: Instant,
        verdict: Verdict,
        progress: Progress,
    ) -> RequestResult {
        RequestResult {
            outcome: Outcome {
                at,
                verdict,
                status: progress.status,
                detail: progress.detail,
                whole: arrived.elapsed(),
                first_token: progress
                    .first_token_at
                    .map(|first| first.saturating_duration_since(arrived)),
                token_gaps: progress.token_gaps,
                tokens: progress.tokens,
                retries: self.attempts.saturating_sub(1),
                resumes: self.resumes,
            },
            never_ran: self.may_have_run == 0,
        }
    }
}

fn certainly_not_run(end: &AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Unreached | AttemptEnd::Refused { ran: Ran::No, .. }
    )
}
