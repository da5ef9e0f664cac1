//! Decisions of one and of several entries over one log, under single faults. What happens without
//! the log is in `outage.rs`.

mod common;

use assert_matches::assert_matches;
use claims::{CallEnd, Decision, Input, LogStatus, OutagePolicy};
use common::{Entry, Log, claims_in, not_run, unknown};

#[test]
fn call_runs_once_its_claim_is_read_back() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.append(&mut log);
    assert_eq!(a.last(), None, "an answer of the log is not enough");
    a.read(&log);
    assert_eq!(a.last(), Some(&(1, Decision::Run { claim: 1 })));
    a.ended(1, CallEnd::Answered);
    a.settle(&mut log);
    a.call(2, Some(2), OutagePolicy::Refuse);
    assert_matches!(a.last(), Some((2, Decision::Answered { request, .. })) if &**request == "a-1");
    assert_eq!(a.batcher.open_calls(), 0);
}

#[test]
fn of_two_entries_the_first_in_the_log_runs() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    b.call(1, Some(2), OutagePolicy::Refuse);
    b.append(&mut log);
    a.append(&mut log);
    a.read(&log);
    b.read(&log);
    assert_matches!(a.last(), Some((1, Decision::InProgress { holder, .. })) if holder.instance == "b");
    assert_eq!(b.last(), Some(&(1, Decision::Run { claim: 1 })));
}

/// Symptom: a call runs unclaimed, or is called not run, beside one whose claim is known here.
/// Sequence: an append is lost; the claim of another entry for the same key is read meanwhile.
/// Cause: the call would wait for its own claim although the key is taken.
#[test]
fn claim_of_another_decides_a_waiting_call_at_once() {
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
    assert_eq!(b.last(), Some(&(1, Decision::RunUnclaimed)));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    a.append(&mut log);
    b.read(&log);
    assert_eq!(b.contested, [1], "told before its own claim stands");
}

#[test]
fn key_with_another_body_is_a_conflict() {
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
    assert_eq!(a.last(), Some(&(2, Decision::Conflict)));
    a.append(&mut log);
    a.read(&log);
    a.input(Input::Call(claims::Call { id: 3, ..other }));
    assert_eq!(a.last(), Some(&(3, Decision::Conflict)));
}

#[test]
fn calls_are_claimed_in_groups() {
    let mut a = Entry::new("a", 1);
    for ticket in 0..40 {
        let call = claims::Call {
            id: ticket,
            key: claims::key_digest("kiosks", "cards", &ticket.to_string()),
            fingerprint: [0; 16],
            request: format!("a-{ticket}"),
            attempt: Some(1),
            policy: OutagePolicy::Refuse,
            deadline: a.now + common::ms(3_000),
        };
        a.input(Input::Call(call));
    }
    assert_eq!(
        a.appends.len(),
        1,
        "the first goes at once, the rest wait for the pace"
    );
    a.advance(20);
    assert_eq!(a.appends.len(), 2);
    assert_eq!(claims_in(&a.appends[1].record), 39);
    assert_eq!(
        a.batcher.next_wake(),
        Some(common::ms(2_000)),
        "nothing to do but wait"
    );
}

/// Symptom: a caller is told that its call did not run, and it runs afterwards.
/// Sequence: the claim is appended, the reader stalls, the deadline passes, the claim is read back.
/// Cause: a claim that wins says nothing about whether its call is still wanted.
#[test]
fn call_that_was_given_up_never_runs_and_frees_its_key() {
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
    assert_matches!(b.last(), Some((1, Decision::Run { .. })));
}

/// Symptom: as above.
/// Sequence: the process is paused from the append until long after the deadline; when it wakes it
/// reads its claim before any timer has fired.
/// Cause: timers of a paused process do not fire.
#[test]
fn paused_process_does_not_run_a_call_past_its_deadline() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.append(&mut log);
    a.now += common::ms(60_000);
    a.read(&log);
    assert_eq!(a.decided, [(1, not_run())]);
}

/// Symptom: a call waits for its deadline although the log works.
/// Sequence: the answer to the append is lost, and the append as well.
/// Cause: nothing tells a lost append from one that comes late. Claiming again is safe, since
/// both copies may stand.
#[test]
fn lost_append_is_claimed_again_and_both_copies_may_stand() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    let first = a.appends.remove(0);
    a.input(Input::AnswerLost(first.nonce));
    a.advance(1_000);
    a.append(&mut log);
    a.read(&log);
    assert_eq!(a.decided, [(1, Decision::Run { claim: 1 })]);
    log.take(&first);
    a.read(&log);
    assert!(a.contested.is_empty(), "its own copy is no other call");
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

/// Symptom: a key stays blocked until the log forgets it, though its call never ran.
/// Sequence: a claim whose answer was lost lands a second time, after the call was given up and
/// concluded.
/// Cause: the second copy wins the free key for a call that is gone.
#[test]
fn second_copy_of_a_concluded_claim_is_concluded_as_well() {
    let mut log = Log::default();
    let (mut a, mut b) = (Entry::new("a", 1), Entry::new("b", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    let copy = a.appends.remove(0);
    log.take(&copy);
    a.advance(3_000);
    a.settle(&mut log);
    log.take(&copy);
    a.settle(&mut log);
    b.read(&log);
    b.call(1, Some(2), OutagePolicy::Refuse);
    b.settle(&mut log);
    assert_matches!(b.last(), Some((1, Decision::Run { .. })));
}

/// Symptom: the caller waits for nothing.
/// Sequence: the holder is killed after its claim, before or after it sent the call.
/// Cause: nobody else can know which; the key stays claimed.
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
        assert_matches!(entry.last(), Some((1, Decision::InProgress { holder, .. })) if holder.incarnation == 1);
    }
}

/// Symptom: a restarted process runs a call whose claim its predecessor made.
/// Sequence: the process is killed after its append, which lands late; the restarted one counts its
/// requests from 1 again and has a call with the same key and request id waiting.
/// Cause: the predecessor may have run the call; only instance and start together tell them apart.
#[test]
fn claim_of_the_predecessor_is_not_taken_for_ones_own() {
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
fn rejected_append_is_tried_again_later() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    let first = a.appends.remove(0);
    a.input(Input::Rejected(first.nonce));
    assert!(a.appends.is_empty(), "not at once");
    assert_eq!(a.batcher.next_wake(), Some(a.now + common::ms(100)));
    a.advance(100);
    a.append(&mut log);
    a.read(&log);
    assert_eq!(a.decided, [(1, Decision::Run { claim: 1 })]);
}

/// Symptom: a call runs although an earlier claim of its key stands in the log.
/// Sequence: the reader starts behind the first retained record.
/// Cause: an unread claim could be the first.
#[test]
fn nothing_runs_by_a_book_with_a_gap() {
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
fn calls_beyond_the_bound_are_refused() {
    let mut a = Entry::new("a", 1);
    let pace = claims::Limits {
        max_calls: 0,
        ..claims::Limits::default()
    };
    a.batcher = claims::Batcher::new(claims::Holder::default(), 1, pace);
    a.input(Input::Log(LogStatus::Up));
    a.call(1, Some(1), OutagePolicy::FirstAttempt);
    assert_eq!(a.last(), Some(&(1, not_run())));
}

#[test]
fn caller_that_goes_frees_its_key() {
    let (mut log, mut a) = (Log::default(), Entry::new("a", 1));
    a.call(1, Some(1), OutagePolicy::Refuse);
    a.input(Input::CallerGone(1));
    a.settle(&mut log);
    assert!(a.batcher.claims().is_empty());
    a.call(2, Some(2), OutagePolicy::Refuse);
    a.settle(&mut log);
    assert_matches!(a.last(), Some((2, Decision::Run { .. })));
    a.input(Input::CallerGone(2));
    a.ended(2, CallEnd::Unknown);
    a.settle(&mut log);
    assert_eq!(a.batcher.claims().len(), 1, "it may have run");
}
