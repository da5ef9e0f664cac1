//! One planned change, from its intent to its outcome, with the faults that can come between.

#[path = "common/bench.rs"]
mod bench;
mod common;
#[path = "common/engine.rs"]
mod engine;

use assert_matches::assert_matches;
use authority::change::{Change, Input as Told, Origin, Output, Permit, SendResult, Step, Timing};
use authority::engine::Progress;
use authority::order::{Order, Role, Verdict};
use authority::planner::Input;
use bench::{Bench, PACE, Path};
use smallvec::SmallVec;
use std::time::Duration;

const ENGINE: &str = "engine-1";

/// A bench whose engine is closed, drained and has been sent its order.
fn ordered(checks_fence: bool, path: Path) -> Bench {
    let mut bench = Bench::new(checks_fence);
    bench.path = path;
    bench.want_role(ENGINE);
    bench.waiting(ENGINE, &[]);
    bench.pass(6);
    bench
}

#[test]
fn order_is_sent_after_confirmation_and_drain_and_read_back() {
    // Symptom: a stream is cut by a role change.
    // Sequence: the order is sent while an entry may still send, or a stream is open.
    // Cause: the engine cuts what is open when it takes an order.
    let mut bench = Bench::new(true);
    bench.engine(ENGINE).reading.open_streams = 1;
    bench.want_role(ENGINE);
    assert_eq!(bench.at(ENGINE), Some(Step::Closing));
    bench.pass(5);
    bench.waiting(ENGINE, &["entry-2"]);
    bench.pass(5);
    assert_eq!(bench.at(ENGINE), Some(Step::Closing));
    bench.waiting(ENGINE, &[]);
    bench.pass(5);
    assert_eq!(bench.at(ENGINE), Some(Step::Draining));
    assert!(bench.sends.is_empty());
    bench.engine(ENGINE).reading.open_streams = 0;
    bench.pass(2);
    assert_eq!(bench.sends, [(ENGINE.to_owned(), 2, 2)]);
    assert_eq!(bench.at(ENGINE), Some(Step::Running));
    bench.engine(ENGINE).end(Progress::Done);
    bench.pass(2);
    assert_eq!(bench.concluded, [(2, Verdict::Done)]);
    let settled = bench.state.settled(ENGINE).unwrap();
    assert_eq!(settled.role, Some(Role::Decode));
}

#[test]
fn entry_that_appears_while_the_engine_drains_must_confirm_too() {
    let mut bench = Bench::new(true);
    bench.engine(ENGINE).reading.open_streams = 1;
    bench.want_role(ENGINE);
    bench.waiting(ENGINE, &[]);
    assert_eq!(bench.at(ENGINE), Some(Step::Draining));
    bench.waiting(ENGINE, &["entry-9"]);
    bench.engine(ENGINE).reading.open_streams = 0;
    bench.pass(5);
    assert_eq!(bench.at(ENGINE), Some(Step::Closing));
    assert!(bench.sends.is_empty());
}

#[test]
fn engine_that_does_not_drain_in_time_is_opened_again() {
    let mut bench = Bench::new(true);
    bench.want_role(ENGINE);
    bench.waiting(ENGINE, &["entry-2"]);
    bench.pass(61);
    assert_eq!(bench.concluded, [(2, Verdict::Undone)]);
    assert!(bench.sends.is_empty() && bench.cancels.is_empty());
}

#[test]
fn nothing_is_sent_when_the_lease_does_not_cover_it() {
    // Symptom: an order of a process that lost its authority takes effect.
    // Sequence: the lease is nearly over when the engine is drained; the send takes its time.
    // Cause: the check would look at the moment of sending and not at that of the effect.
    let mut bench = Bench::new(true);
    bench.want_role(ENGINE);
    if let Some(grant) = &mut bench.grant {
        grant.until = Duration::from_secs(2);
    }
    bench.waiting(ENGINE, &[]);
    bench.pass(30);
    assert_eq!(bench.at(ENGINE), Some(Step::Sending));
    assert!(bench.sends.is_empty());
}

#[test]
fn lost_answer_to_an_order_is_found_by_reading_back() {
    let mut bench = ordered(true, Path::Deaf);
    assert_eq!(bench.sends.len(), 1);
    assert_eq!(bench.at(ENGINE), Some(Step::Running));
    bench.engine(ENGINE).end(Progress::Done);
    bench.pass(2);
    assert_eq!(bench.concluded, [(2, Verdict::Done)]);
}

#[test]
fn order_that_never_arrives_is_sent_again_then_barred() {
    // Symptom: an order acts after its change was given up and the engine was opened.
    // Sequence: all sends are lost for now, the change is undone, a send arrives.
    // Cause: without the cancellation the engine would take it.
    let mut bench = ordered(true, Path::Lost);
    assert_eq!(bench.sends.len(), 2);
    assert_eq!(bench.at(ENGINE), Some(Step::Cancelling));
    bench.path = Path::Open;
    bench.pass(2);
    assert_eq!(bench.concluded, [(2, Verdict::Undone)]);
    bench.engine(ENGINE).barred.clear();
    let what = Order::SetRole(Role::Decode);
    bench.engine(ENGINE).order(2, 2, &what);
    assert!(!bench.engine(ENGINE).reading.is_running());
}

#[test]
fn order_that_is_refused_for_its_token_is_undone() {
    // Symptom: an engine stays closed for good, with its order being sent again and again.
    // Sequence: the engine knows a token that is newer than any of this fleet.
    // Cause: a refusal was taken for a reason to send once more, and so was that of the cancellation.
    let mut bench = Bench::new(true);
    bench.engine(ENGINE).reading.fence = 1_000_000;
    bench.want_role(ENGINE);
    bench.waiting(ENGINE, &[]);
    bench.pass(8);
    assert_eq!(bench.concluded, [(2, Verdict::Undone)]);
    assert_eq!(bench.sends.len(), 1);
}

#[test]
fn engine_that_restarts_partway_is_judged_by_its_state() {
    // Symptom: an engine is taken for changed although its restart undid the change.
    // Sequence: the order begins, the engine crashes and starts with its settings.
    // Cause: the process would go by the accepted order.
    let mut bench = ordered(true, Path::Open);
    bench.engine(ENGINE).restart();
    bench.pass(6);
    assert_eq!(bench.concluded, [(2, Verdict::Undone)]);
    assert_eq!(bench.cancels, [2]);
}

#[test]
fn order_that_the_engine_gives_up_is_undone() {
    let mut bench = ordered(true, Path::Open);
    bench.engine(ENGINE).end(Progress::Failed);
    bench.pass(2);
    assert_eq!(bench.concluded, [(2, Verdict::Undone)]);
}

#[test]
fn upstream_that_leaves_the_list_ends_the_change() {
    let mut bench = ordered(true, Path::Lost);
    bench.step(Input::Change(2, Told::Absent));
    assert_eq!(bench.concluded, [(2, Verdict::Gone)]);
}

#[test]
fn successor_finishes_what_the_engine_has_begun() {
    let mut bench = ordered(true, Path::Open);
    bench.hold("b", 0);
    assert_eq!(bench.at(ENGINE), Some(Step::Running));
    bench.engine(ENGINE).end(Progress::Done);
    bench.pass(2);
    assert_eq!(bench.concluded, [(2, Verdict::Done)]);
    assert_eq!(bench.sends.len(), 1);
}

#[test]
fn successor_undoes_what_the_engine_has_not_begun() {
    // Symptom: an order of a process that lost its authority takes effect.
    // Sequence: the holder pauses before it sends, a successor concludes the order as undone and
    //   the engine serves again; the holder wakes and sends.
    // Cause: the engine has not seen a newer fencing token.
    let mut bench = Bench::new(true);
    bench.want_role(ENGINE);
    bench.hold("b", 1000);
    bench.pass(2);
    assert_eq!(bench.concluded, [(2, Verdict::Undone)]);
    let late = bench
        .engine(ENGINE)
        .order(2, 2, &Order::SetRole(Role::Decode));
    assert_matches!(late, SendResult::Accepted);
    assert_eq!(bench.engine(ENGINE).reading.last_order, None);
    bench.engine(ENGINE).barred.clear();
    let late = bench
        .engine(ENGINE)
        .order(2, 2, &Order::SetRole(Role::Decode));
    assert_matches!(late, SendResult::Superseded { fence: 3 });
}

#[test]
fn successor_waits_before_it_opens_an_engine_that_ignores_fences() {
    // Symptom: a stream is cut by an order of a former holder.
    // Sequence: as above, at an engine that restarted and forgot the cancellation.
    // Cause: the engine is opened before everything that the former holder sent has arrived.
    let mut bench = Bench::new(false);
    bench.want_role(ENGINE);
    bench.hold("b", 20);
    bench.pass(24);
    assert_eq!(bench.at(ENGINE), Some(Step::Barred));
    let late = Order::SetRole(Role::Decode);
    bench.engine(ENGINE).restart();
    bench.engine(ENGINE).order(2, 2, &late);
    bench.engine(ENGINE).end(Progress::Done);
    bench.pass(5);
    assert_eq!(bench.concluded, [(2, Verdict::Done)]);
}

#[test]
fn new_holder_orders_nothing_of_an_engine_that_ignores_fences_before_the_quarantine_ends() {
    let mut bench = Bench::new(false);
    bench.hold("b", 20);
    bench.want_role(ENGINE);
    bench.waiting(ENGINE, &[]);
    bench.pass(24);
    assert!(bench.sends.is_empty());
    bench.pass(2);
    assert_eq!(bench.sends.len(), 1);
}

#[test]
fn outcome_waits_for_copies_on_their_way_to_an_engine_that_ignores_fences() {
    let mut bench = ordered(false, Path::Open);
    bench.pass(6);
    bench.engine(ENGINE).end(Progress::Done);
    bench.pass(1);
    assert_eq!(bench.concluded, [(2, Verdict::Done)]);
    let mut bench = Bench::new(false);
    bench.want_role(ENGINE);
    bench.waiting(ENGINE, &[]);
    bench.pass(6);
    let sent = bench.sends.len();
    bench.engine(ENGINE).end(Progress::Done);
    bench.pass(1);
    assert_eq!((sent, bench.concluded.len()), (1, 0));
    assert_eq!(bench.at(ENGINE), Some(Step::Verifying));
}

#[test]
fn delay_of_an_order_counts_from_the_end_of_its_send() {
    // Symptom: an engine that ignores fences is opened, then an order cuts its streams.
    // Sequence: the process is paused between its check and its send; it wakes, the order leaves;
    //   the process gives the answer up, cancels, reads back and concludes; the engine restarts
    //   and forgets the cancellation; the order arrives within the longest delay.
    // Cause: the delay was counted from the check. Found by the model checker.
    let mut bench = Bench::new(false);
    bench.fold(&common::intent("a", 1, ENGINE, 0));
    let pending = bench.state.pending_order(ENGINE).expect("an order");
    let pace = Timing {
        max_sends: 1,
        ..PACE
    };
    let mut now = Duration::from_secs(100);
    let mut change = Change::new(now, pending, Origin::Own, pace);
    let (grant, admitted) = (bench.grant.expect("a grant"), true);
    let permit = Permit { grant, admitted };
    let reading = bench.engine(ENGINE).reading.clone();
    change.step(now, &permit, Told::Tick);
    change.step(now, &permit, Told::Reading(1, reading.clone()));
    change.step(now, &permit, Told::Blockers(SmallVec::new()));
    let sent = change.step(now, &permit, Told::Reading(2, reading.clone()));
    assert_matches!(sent[..], [Output::Send { request: 3, .. }]);
    now += Duration::from_secs(10);
    change.step(now, &permit, Told::Tick);
    change.step(now, &permit, Told::Reading(4, reading.clone()));
    change.step(now, &permit, Told::Cancelled(5, SendResult::Accepted));
    change.step(now, &permit, Told::Reading(6, reading.clone()));
    assert_eq!(change.current_step(), Step::Barred);
    now += PACE.max_order_delay;
    change.step(now, &permit, Told::Tick);
    change.step(now, &permit, Told::Reading(7, reading));
    assert_matches!(change.current_step(), Step::Concluding(Verdict::Undone, _));
}

#[test]
fn copy_of_an_earlier_order_of_the_same_holder_is_refused() {
    // Symptom: an engine goes back to a role that was replaced since.
    // Sequence: an order is sent twice, the second copy is delayed, another order is carried
    //   out, the copy arrives.
    // Cause: both orders were given under one claim, so the claim's fence tells nothing.
    let mut bench = ordered(true, Path::Open);
    bench.engine(ENGINE).end(Progress::Done);
    bench.pass(2);
    bench.want(ENGINE, Order::SetRole(Role::Prefill));
    bench.waiting(ENGINE, &[]);
    bench.pass(3);
    bench.engine(ENGINE).end(Progress::Done);
    bench.pass(2);
    assert_eq!(bench.engine(ENGINE).reading.role, Role::Prefill);
    let (_, order, fence) = bench.sends[0].clone();
    bench
        .engine(ENGINE)
        .order(order, fence, &Order::SetRole(Role::Decode));
    assert!(!bench.engine(ENGINE).reading.is_running());
}

#[test]
fn answer_to_an_earlier_question_is_dropped() {
    // Symptom: an order is concluded as undone while the engine carries it out.
    // Sequence: the engine is read, the answer is late; it is read again after the order was
    //   cancelled, and the first answer comes.
    // Cause: the answer shows the engine as it was before the cancellation.
    let mut bench = Bench::new(true);
    let intent = common::intent("a", 1, ENGINE, 0);
    bench.fold(&intent);
    let pending = bench.state.pending_order(ENGINE).expect("an order");
    let mut change = Change::new(bench.now, pending, Origin::Inherited, PACE);
    let (grant, admitted) = (bench.grant.expect("a grant"), true);
    let permit = Permit { grant, admitted };
    let now = bench.now;
    let mut before = bench.engine(ENGINE).reading.clone();
    before.fence = 1000;
    change.step(now, &permit, Told::Tick);
    change.step(now, &permit, Told::Reading(1, before.clone()));
    let cancelled = Told::Cancelled(2, SendResult::Accepted);
    let outputs = change.step(now, &permit, cancelled);
    assert_matches!(outputs[..], [Output::Read { request: 3 }]);
    change.step(now, &permit, Told::Reading(1, before.clone()));
    assert_eq!(change.current_step(), Step::Barred);
    change.step(now, &permit, Told::Reading(3, before));
    assert_matches!(change.current_step(), Step::Concluding(Verdict::Undone, _));
}
