//! Decisions while the log is down or slow, and after it is up again.

mod common;

use assert_matches::assert_matches;
use claims::{CallEnd, Decision, Input, LogStatus, OutagePolicy};
use common::{Entry, Log, not_run, unknown};

#[test]
fn outage_refuses_by_policy() {
    let mut a = Entry::new("a", 1);
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.input(Input::Log(LogStatus::Down));
    assert_eq!(
        a.last_decision(),
        Some(&(1, not_run())),
        "also refuses waiting calls"
    );
    a.call(2, None, OutagePolicy::Refuse);
    assert_eq!(
        a.last_decision(),
        Some(&(2, unknown())),
        "an earlier attempt may have run"
    );
    a.call(3, Some(2), OutagePolicy::Refuse);
    assert_eq!(a.last_decision(), Some(&(3, unknown())));
}

/// The first attempt runs without a claim while the log is down, and its entry is killed. When the
/// log is up again, a second attempt at another entry could claim the key and run: other processes
/// cannot see a run without a claim.
#[test]
fn later_attempt_never_runs_if_first_attempts_may_run_unclaimed() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.input(Input::Log(LogStatus::Down));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    assert_eq!(a.last_decision(), Some(&(1, Decision::RunUnclaimed)));
    drop(a);
    b.call(1, Some(2), OutagePolicy::FirstAttempt);
    b.settle(&mut log);
    assert_eq!(b.decided, [(1, unknown())]);
    b.call(2, None, OutagePolicy::FirstAttempt);
    assert_eq!(b.last_decision(), Some(&(2, Decision::AttemptRequired)));
}

/// While the log is down, a caller sends its first attempt twice to one entry. Neither finds a claim
/// in the log, so the entry must remember the first run.
#[test]
fn unclaimed_run_is_remembered_and_claimed_when_the_log_is_up() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.input(Input::Log(LogStatus::Down));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    a.call(2, Some(1), OutagePolicy::FirstAttempt);
    assert_matches!(a.last_decision(), Some((2, Decision::InProgress { .. })));
    a.ended(1, CallEnd::Answered);
    a.call(3, Some(2), OutagePolicy::FirstAttempt);
    assert_matches!(a.last_decision(), Some((3, Decision::Answered { request, .. })) if &**request == "a-1");
    a.input(Input::Log(LogStatus::Up));
    a.settle(&mut log);
    assert_eq!(a.batcher.open_calls(), 0);
    b.read(&log);
    b.call(1, Some(2), OutagePolicy::FirstAttempt);
    assert_matches!(b.last_decision(), Some((1, Decision::Answered { holder, .. })) if holder.instance == "a");
}

#[test]
fn first_attempt_waits_a_limited_time_for_its_claim() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    a.append(&mut log);
    a.advance(249);
    assert_eq!(a.last_decision(), None);
    a.advance(1);
    assert_eq!(a.last_decision(), Some(&(1, Decision::RunUnclaimed)));
    a.read(&log);
    a.ended(1, CallEnd::NotRun);
    a.settle(&mut log);
    assert!(a.batcher.claims().is_empty(), "concluded as not run");
    assert_eq!(a.decided.len(), 1);
}

/// A balancer sends one first attempt to two entries, and one of them runs it without a claim. The
/// call may have run twice, so the conflict must be reported, and the unclaimed run must never be
/// concluded as not run.
#[test]
fn contested_run_is_reported_and_never_concluded_as_not_run() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    a.append(&mut log);
    b.call(1, Some(1), OutagePolicy::FirstAttempt);
    let copy = b.appends.remove(0);
    b.advance(250);
    b.ended(1, CallEnd::Answered);
    log.append(&copy);
    a.read(&log);
    b.read(&log);
    assert_eq!(b.contested, [1]);
    // The other call did not run, and a second copy of this call's claim is logged late.
    a.ended(1, CallEnd::NotRun);
    a.settle(&mut log);
    log.append(&copy);
    b.settle(&mut log);
    a.settle(&mut log);
    assert_eq!(
        a.batcher.claims().len(),
        1,
        "the key that ran stays claimed"
    );
}
