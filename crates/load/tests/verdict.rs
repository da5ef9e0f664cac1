//! What callers do after each end of an attempt, and the verdict when they stop.

use std::time::Duration;

use assert_matches::assert_matches;
use load::plan::{Class, Plan};
use load::verdict::{AttemptEnd, NextStep, Ran, RequestState, Verdict};

const SECOND: Duration = Duration::from_secs(1);

fn class(extra: &str) -> Class {
    let yaml = format!(
        "{{duration: 1s, classes: [{{name: a, key: k, rate: 1, retries: 2, plain: {{path: /a}}, \
         contract: {{deadline: 5s}}{extra}}}]}}"
    );
    let plan = Plan::parse(&yaml).expect("the plan of the test is valid");
    plan.classes
        .into_iter()
        .next()
        .expect("the plan has a class")
}

fn step(class: &Class, attempts: u32, end: &AttemptEnd) -> NextStep {
    let standing = RequestState {
        class,
        attempts,
        time_left: SECOND,
        stream_started: false,
    };
    standing.next_step(end)
}

fn refused(status: u16, ran: Ran, retry_after: Option<Duration>) -> AttemptEnd {
    AttemptEnd::Refused {
        status,
        ran,
        retry_after,
    }
}

#[test]
fn call_that_may_have_run_is_not_repeated_without_a_key() {
    let not_repeatable = class(", repeatable: false");
    let keyed = class(", repeatable: false, keyed: true");
    let unknown = refused(502, Ran::Unknown, None);
    assert_eq!(
        step(&not_repeatable, 1, &unknown),
        NextStep::Finish(Verdict::Unknown)
    );
    assert_eq!(
        step(&not_repeatable, 1, &AttemptEnd::Broken),
        NextStep::Finish(Verdict::Lost)
    );
    assert_matches!(step(&keyed, 1, &unknown), NextStep::Retry(_));
    assert_matches!(step(&keyed, 1, &AttemptEnd::Broken), NextStep::Retry(_));
}

#[test]
fn call_that_did_not_run_is_sent_again() {
    let not_repeatable = class(", repeatable: false");
    let wait = Duration::from_millis(300);
    let refusal = refused(503, Ran::No, Some(wait));
    assert_eq!(step(&not_repeatable, 1, &refusal), NextStep::Retry(wait));
    assert_matches!(
        step(&not_repeatable, 1, &AttemptEnd::Unreached),
        NextStep::Retry(_)
    );
}

#[test]
fn caller_does_not_retry_after_its_time_limit() {
    let class = class("");
    let refusal = refused(429, Ran::No, Some(2 * SECOND));
    assert_eq!(
        step(&class, 1, &refusal),
        NextStep::Finish(Verdict::Refused)
    );
}

#[test]
fn attempts_are_limited() {
    let class = class("");
    assert_matches!(step(&class, 2, &AttemptEnd::Unreached), NextStep::Retry(_));
    assert_eq!(
        step(&class, 3, &AttemptEnd::Unreached),
        NextStep::Finish(Verdict::Lost)
    );
}

#[test]
fn bad_request_is_final() {
    let class = class("");
    let refusal = refused(400, Ran::Unknown, None);
    assert_eq!(
        step(&class, 1, &refusal),
        NextStep::Finish(Verdict::Refused)
    );
}

#[test]
fn conflict_that_may_have_run_is_not_a_refusal() {
    let keyed = class(", repeatable: false, keyed: true");
    let conflict = refused(409, Ran::Unknown, None);
    assert_matches!(step(&keyed, 1, &conflict), NextStep::Retry(_));
    assert_eq!(
        step(&keyed, 3, &conflict),
        NextStep::Finish(Verdict::Unknown)
    );
}

#[test]
fn started_stream_is_resumed_or_counts_as_cut() {
    let class = class(", repeatable: false");
    let after_start = |attempts, end: &AttemptEnd| {
        let standing = RequestState {
            class: &class,
            attempts,
            time_left: SECOND,
            stream_started: true,
        };
        standing.next_step(end)
    };
    assert_matches!(after_start(1, &AttemptEnd::Cut), NextStep::Retry(_));
    assert_eq!(
        after_start(3, &AttemptEnd::Cut),
        NextStep::Finish(Verdict::Cut)
    );
    assert_eq!(
        after_start(3, &AttemptEnd::Unreached),
        NextStep::Finish(Verdict::Cut)
    );
    assert_eq!(
        after_start(1, &AttemptEnd::TimedOut),
        NextStep::Finish(Verdict::Cut)
    );
    let gone = refused(404, Ran::No, None);
    assert_eq!(after_start(1, &gone), NextStep::Finish(Verdict::Cut));
}
