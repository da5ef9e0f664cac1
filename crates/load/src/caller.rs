//! One caller with one request: attempts at entries until the answer is there or the caller gives
//! up.

use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use awc::Client;

use crate::answer::Judge;
use crate::attempt::{Attempt, Progress};
use crate::plan::Class;
use crate::request::Request;
use crate::tally::Outcome;
use crate::target;
use crate::verdict::{End, Ran, Standing, Step, Verdict};

/// How a request went, with what the audit needs.
#[derive(Clone, Debug)]
pub struct Done {
    /// How it went for the caller.
    pub outcome: Outcome,
    /// Whether each attempt was either told not to have run or never reached an entry.
    pub never_ran: bool,
}

/// A caller of one class.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// Its class.
    pub class: &'a Class,
    /// Entries to choose from.
    pub targets: &'a target::Set,
    /// Start of the run.
    pub start: Instant,
}

impl Caller<'_> {
    /// Carries a request to its end.
    pub async fn place(&self, client: &Client, request: &Request) -> Done {
        let arrived = self.start + request.at;
        let leaves = arrived + self.class.patience;
        let judge = request
            .prompt
            .as_ref()
            .map(|prompt| Judge::new(prompt.due()));
        let mut progress = Progress::new(judge);
        let mut course = Course::default();
        let verdict = loop {
            let end = self
                .attempt(client, request, leaves, &mut progress, &mut course)
                .await;
            course.uncertain += u32::from(!is_not_run(&end));
            let standing = Standing {
                class: self.class,
                attempts: course.attempts,
                left: leaves.saturating_duration_since(Instant::now()),
                begun: progress.last_id.is_some(),
            };
            match standing.step(&end) {
                Step::Again(wait) => sleep(wait).await,
                Step::Finish(verdict) => break verdict,
            }
        };
        course.done(request.at, arrived, verdict, progress)
    }

    async fn attempt(
        &self,
        client: &Client,
        request: &Request,
        leaves: Instant,
        progress: &mut Progress,
        course: &mut Course,
    ) -> End {
        let target = self.targets.choose(course.target);
        course.target = Some(target);
        course.attempts += 1;
        course.resumes += u32::from(progress.last_id.is_some());
        let left = leaves.saturating_duration_since(Instant::now());
        let attempt = Attempt {
            url: self.targets.url(target),
            class: self.class,
            request,
            // An attempt that certainly did not run is none: counted, the next one would be told
            // that an earlier one may have run, and a card would stay unauthorised for nothing.
            number: course.uncertain + 1,
            left,
        };
        let end = timeout(left, attempt.run(client, progress)).await;
        let end = end.unwrap_or(End::TimedOut);
        if end == End::Unreached {
            self.targets.mark_down(target);
        }
        end
    }
}

/// The attempts of one request.
#[derive(Debug, Default)]
struct Course {
    attempts: u32,
    resumes: u32,
    target: Option<usize>,
    /// Attempts that may have run.
    uncertain: u32,
}

impl Course {
    fn done(&self, at: Duration, arrived: Instant, verdict: Verdict, progress: Progress) -> Done {
        Done {
            outcome: Outcome {
                at,
                verdict,
                status: progress.status,
                detail: progress.detail,
                whole: arrived.elapsed(),
                first: progress
                    .first
                    .map(|first| first.saturating_duration_since(arrived)),
                gaps: progress.gaps,
                tokens: progress.tokens,
                retries: self.attempts.saturating_sub(1),
                resumes: self.resumes,
            },
            never_ran: self.uncertain == 0,
        }
    }
}

fn is_not_run(end: &End) -> bool {
    matches!(end, End::Unreached | End::Refused { ran: Ran::No, .. })
}
