//! Decisions of one or several entries on one log, under single faults. Outages of the log are
//! tested in `outage.rs`.

mod common;

use assert_matches::assert_matches;
use claims::{CallEnd, Decision, Input, LogStatus, OutagePolicy};
use common::{Entry, Log, claims_in, not_run, unknown};

#[test]
fn call_runs_once_its_claim_is_read_back() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.append(&mut log);
    assert_eq!(
        a.last_decision(),
        None,
        "the acknowledgement of the append is not enough"
    );
    a.read(&log);
    assert_eq!(a.last_decision(), Some(&(1, Decision::Run { claim: 1 })));
    a.ended(1, CallEnd::Answered);
    a.settle(&mut log);
    a.call(2, Some(2), OutagePolicy::Refuse);
    assert_matches!(a.last_decision(), Some((2, Decision::Answered { request, .. })) if &**request == "a-1");
    assert_eq!(a.batcher.open_calls(), 0);
}

#[test]
fn first_claim_in_the_log_runs() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    b.call(1, Some(2), OutagePolicy::Refuse);
    b.append(&mut log);
    a.append(&mut log);
    a.read(&log);
    b.read(&log);
    assert_matches!(a.last_decision(), Some((1, Decision::InProgress { holder, .. })) if holder.instance == "b");
    assert_eq!(b.last_decision(), Some(&(1, Decision::Run { claim: 1 })));
}

/// The append of a call is lost, and the claim of another entry for the same key is read. If the
/// call kept waiting for its own claim, it could run unclaimed, or be refused as not run, while the
/// other call runs.
#[test]
fn claim_of_another_entry_decides_a_waiting_call() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    for policy in [OutagePolicy::Refuse, OutagePolicy::FirstAttempt] {
        let (mut log, mut waiting) = (Log::default(), Entry::new("c", 1));
        waiting.call(1, Some(1), policy);
        waiting.appends.clear();
        let mut other = Entry::new("d", 1);
        other.call(1, Some(2), OutagePolicy::Refuse);
        other.append(&mut log);
        waiting.read(&log);
        waiting.advance(3_000);
        assert_matches!(&waiting.decided[..], [(1, Decision::InProgress { holder, .. })] if holder.instance == "d");
    }
    b.call(1, Some(1), OutagePolicy::FirstAttempt);
    b.advance(250);
    assert_eq!(b.last_decision(), Some(&(1, Decision::RunUnclaimed)));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    a.append(&mut log);
    b.read(&log);
    assert_eq!(b.contested, [1], "reported before its own claim is logged");
}

#[test]
fn key_reused_for_another_body_is_a_conflict() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    let other = claims::Call {
        id: 2,
        key: claims::key_digest("kiosks", "cards", "k"),
        fingerprint: claims::fingerprint("POST", "/cards", b"13.00"),
        request: "a-2".to_owned(),
        attempt: Some(1),
        policy: OutagePolicy::Refuse,
        deadline: a.now + common::ms(3_000),
    };
    a.input(Input::Call(other.clone()));
    assert_eq!(a.last_decision(), Some(&(2, Decision::Conflict)));
    a.append(&mut log);
    a.read(&log);
    a.input(Input::Call(claims::Call { id: 3, ..other }));
    assert_eq!(a.last_decision(), Some(&(3, Decision::Conflict)));
}

#[test]
fn calls_are_claimed_in_batches() {
    let mut a = Entry::new("a", 1);
    for id in 0..40 {
        let call = claims::Call {
            id,
            key: claims::key_digest("kiosks", "cards", &id.to_string()),
            fingerprint: [0; 16],
            request: format!("a-{id}"),
            attempt: Some(1),
            policy: OutagePolicy::Refuse,
            deadline: a.now + common::ms(3_000),
        };
        a.input(Input::Call(call));
    }
    assert_eq!(
        a.appends.len(),
        1,
        "the first is appended at once, the others wait for the claim interval"
    );
    a.advance(20);
    assert_eq!(a.appends.len(), 2);
    assert_eq!(claims_in(&a.appends[1].record), 39);
    assert_eq!(
        a.batcher.next_wake(),
        Some(common::ms(2_000)),
        "the next timer is the read-back timeout"
    );
}

/// The reader stalls until after the deadline, and then the claim is read back and wins. The caller
/// was already told that its call did not run, so it must not run now.
#[test]
fn call_past_its_deadline_never_runs_and_frees_its_key() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.append(&mut log);
    a.advance(3_000);
    assert_eq!(a.decided, [(1, not_run())]);
    a.read(&log);
    a.settle(&mut log);
    assert_eq!(a.decided.len(), 1);
    b.read(&log);
    b.call(1, Some(2), OutagePolicy::Refuse);
    b.settle(&mut log);
    assert_matches!(b.last_decision(), Some((1, Decision::Run { .. })));
}

/// The process is paused from the append until long after the deadline. Its timers do not fire
/// during the pause, so it reads the claim first.
#[test]
fn paused_process_does_not_run_a_call_past_its_deadline() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.append(&mut log);
    a.now += common::ms(60_000);
    a.read(&log);
    assert_eq!(a.decided, [(1, not_run())]);
}

/// The append and its answer are lost. A lost append looks like a late one, so the call is claimed
/// again instead of waiting for its deadline. This is safe because both copies may be logged.
#[test]
fn lost_append_is_claimed_again_and_both_copies_may_be_logged() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    let first = a.appends.remove(0);
    a.input(Input::AnswerLost(first.nonce));
    a.advance(1_000);
    a.append(&mut log);
    a.read(&log);
    assert_eq!(a.decided, [(1, Decision::Run { claim: 1 })]);
    log.append(&first);
    a.read(&log);
    assert!(
        a.contested.is_empty(),
        "a copy of its own claim is not another call"
    );
    a.ended(1, CallEnd::Answered);
    a.settle(&mut log);
    assert_eq!(a.decided.len(), 1);
    assert!(
        a.batcher
            .claims()
            .claim(&claims::key_digest("kiosks", "cards", "k"))
            .is_some()
    );
}

/// A claim whose answer was lost is logged a second time after its call was refused and concluded.
/// The second copy wins the free key for a call that never runs, and would block it until the log
/// drops the claim.
#[test]
fn second_copy_of_a_concluded_claim_is_concluded_as_well() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    let copy = a.appends.remove(0);
    log.append(&copy);
    a.advance(3_000);
    a.settle(&mut log);
    log.append(&copy);
    a.settle(&mut log);
    b.read(&log);
    b.call(1, Some(2), OutagePolicy::Refuse);
    b.settle(&mut log);
    assert_matches!(b.last_decision(), Some((1, Decision::Run { .. })));
}

/// The holder is killed after its claim. Nobody else can know whether it sent the call, so the key
/// stays claimed.
#[test]
fn claim_of_a_killed_process_stays() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.append(&mut log);
    drop(a);
    let mut restarted = Entry::new("a", 2);
    for entry in [&mut restarted, &mut b] {
        entry.read(&log);
        entry.call(1, Some(2), OutagePolicy::Refuse);
        assert_matches!(entry.last_decision(), Some((1, Decision::InProgress { holder, .. })) if holder.incarnation == 1);
    }
}

/// A process is killed after its append, which is logged late. The restarted process numbers its
/// requests from 1 again and has a waiting call with the same key and request id. The earlier run
/// may have run the call; only the instance together with the start time distinguishes the runs.
#[test]
fn claim_of_an_earlier_run_is_not_own() {
    let mut log = Log::default();
    let (mut old, mut new) = (Entry::new("a", 1), Entry::new("a", 2));
    old.call(1, Some(1), OutagePolicy::Refuse);
    new.call(1, Some(2), OutagePolicy::Refuse);
    old.append(&mut log);
    new.append(&mut log);
    new.read(&log);
    assert_matches!(&new.decided[..], [(1, Decision::InProgress { holder, .. })] if holder.incarnation == 1);
}

#[test]
fn rejected_append_is_retried_after_a_delay() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    let first = a.appends.remove(0);
    a.input(Input::Rejected(first.nonce));
    assert!(a.appends.is_empty(), "no retry before the delay");
    assert_eq!(a.batcher.next_wake(), Some(a.now + common::ms(100)));
    a.advance(100);
    a.append(&mut log);
    a.read(&log);
    assert_eq!(a.decided, [(1, Decision::Run { claim: 1 })]);
}

/// The reader skips the first retained record. It may contain an earlier claim of the same key, so
/// no call may run.
#[test]
fn no_call_runs_on_a_table_with_a_gap() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.append(&mut log);
    b.call(1, Some(2), OutagePolicy::Refuse);
    let append = b.appends.remove(0);
    let outputs = b.batcher.fold(b.now, 2, &append.record);
    assert_matches!(&outputs[..], [claims::Output::Decide(1, decision), ..] => assert_eq!(*decision, unknown()));
}

#[test]
fn calls_beyond_the_limit_are_refused() {
    let mut a = Entry::new("a", 1);
    let limits = claims::Limits {
        max_calls: 0,
        ..claims::Limits::default()
    };
    a.batcher = claims::Batcher::new(claims::Holder::default(), 1, limits);
    a.input(Input::Log(LogStatus::Up));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    assert_eq!(a.last_decision(), Some(&(1, not_run())));
}

#[test]
fn disconnected_caller_frees_its_key() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.input(Input::CallerGone(1));
    a.settle(&mut log);
    assert!(a.batcher.claims().is_empty());
    a.call(2, Some(2), OutagePolicy::Refuse);
    a.settle(&mut log);
    assert_matches!(a.last_decision(), Some((2, Decision::Run { .. })));
    a.input(Input::CallerGone(2));
    a.ended(2, CallEnd::Unknown);
    a.settle(&mut log);
    assert_eq!(a.batcher.claims().len(), 1, "it may have run");
}
