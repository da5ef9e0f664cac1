//! Decisions while the log is out or slow, and once it is back.

mod common;

use assert_matches::assert_matches;
use claims::{CallEnd, Decision, Input, LogStatus, OutagePolicy};
use common::{Entry, Log, not_run, unknown};

#[test]
fn outage_refuses_by_policy() {
    let mut a = Entry::new("a", 1);
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.input(Input::Log(LogStatus::Down));
    assert_eq!(a.last(), Some(&(1, not_run())), "also one that waits");
    a.call(2, None, OutagePolicy::Refuse);
    assert_eq!(
        a.last(),
        Some(&(2, unknown())),
        "an earlier attempt may have run"
    );
    a.call(3, Some(2), OutagePolicy::Refuse);
    assert_eq!(a.last(), Some(&(3, unknown())));
}

/// Symptom: a card is charged twice.
/// Sequence: the first attempt runs without a claim while the log is out, its entry dies, the log
/// comes back, the caller's second attempt claims the key at another entry and wins.
/// Cause: a run without a claim leaves no trace that others could see.
#[test]
fn later_attempt_never_runs_where_first_attempts_run_unclaimed() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.input(Input::Log(LogStatus::Down));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    assert_eq!(a.last(), Some(&(1, Decision::RunUnclaimed)));
    drop(a);
    b.call(1, Some(2), OutagePolicy::FirstAttempt);
    b.settle(&mut log);
    assert_eq!(b.decided, [(1, unknown())]);
    b.call(2, None, OutagePolicy::FirstAttempt);
    assert_eq!(b.last(), Some(&(2, Decision::AttemptRequired)));
}

/// Symptom: two first attempts with one key run at one entry.
/// Sequence: the log is out, a caller sends its first attempt twice.
/// Cause: neither finds a claim in the log.
#[test]
fn run_without_claim_is_remembered_here_and_claimed_once_the_log_is_back() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.input(Input::Log(LogStatus::Down));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    a.call(2, Some(1), OutagePolicy::FirstAttempt);
    assert_matches!(a.last(), Some((2, Decision::InProgress { .. })));
    a.ended(1, CallEnd::Answered);
    a.call(3, Some(2), OutagePolicy::FirstAttempt);
    assert_matches!(a.last(), Some((3, Decision::Answered { request, .. })) if &**request == "a-1");
    a.input(Input::Log(LogStatus::Up));
    a.settle(&mut log);
    assert_eq!(a.batcher.open_calls(), 0);
    b.read(&log);
    b.call(1, Some(2), OutagePolicy::FirstAttempt);
    assert_matches!(b.last(), Some((1, Decision::Answered { holder, .. })) if holder.instance == "a");
}

#[test]
fn first_attempt_waits_only_a_while_for_its_claim() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    a.append(&mut log);
    a.advance(249);
    assert_eq!(a.last(), None);
    a.advance(1);
    assert_eq!(a.last(), Some(&(1, Decision::RunUnclaimed)));
    a.read(&log);
    a.ended(1, CallEnd::NotRun);
    a.settle(&mut log);
    assert!(a.batcher.claims().is_empty(), "concluded as not run");
    assert_eq!(a.decided.len(), 1);
}

/// Symptom: a call may have run twice and nobody hears of it.
/// Sequence: a balancer sends one first attempt to two entries; one cannot reach the log.
/// Cause: the caller's declaration is all that protects a run without a claim.
#[test]
fn run_that_met_another_claim_is_told_and_never_called_not_run() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    a.append(&mut log);
    b.call(1, Some(1), OutagePolicy::FirstAttempt);
    let copy = b.appends.remove(0);
    b.advance(250);
    b.ended(1, CallEnd::Answered);
    log.take(&copy);
    a.read(&log);
    b.read(&log);
    assert_eq!(b.contested, [1]);
    // The other call did not run after all, and a second copy of this one's claim comes late.
    a.ended(1, CallEnd::NotRun);
    a.settle(&mut log);
    log.take(&copy);
    b.settle(&mut log);
    a.settle(&mut log);
    assert_eq!(
        a.batcher.claims().len(),
        1,
        "the key that ran stays claimed"
    );
}
