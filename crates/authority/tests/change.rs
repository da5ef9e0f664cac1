//! One planned change, from its intent to its outcome, under faults.

mod common;
#[path = "common/engine.rs"]
mod engine;
#[path = "common/harness.rs"]
mod harness;

use assert_matches::assert_matches;
use authority::change::{
    Change, Input as ChangeInput, Origin, Output, Permit, SendResult, Step, Timing,
};
use authority::engine::Progress;
use authority::order::{Order, Role, Verdict};
use authority::planner::Input;
use harness::{Harness, Link, TIMING};
use smallvec::SmallVec;
use std::time::Duration;

const ENGINE: &str = "engine-1";

/// A harness whose engine is closed and drained and whose order was sent.
fn with_order_sent(checks_fence: bool, link: Link) -> Harness {
    let mut harness = Harness::new(checks_fence);
    harness.link = link;
    harness.request_role(ENGINE);
    harness.set_blockers(ENGINE, &[]);
    harness.advance(6);
    harness
}

#[test]
fn order_is_sent_after_confirmation_and_drain_and_then_read_back() {
    // An engine aborts its open streams when it accepts an order. The order must wait until no
    // entry can send new work and no stream is open.
    let mut harness = Harness::new(true);
    harness.engine(ENGINE).reading.open_streams = 1;
    harness.request_role(ENGINE);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Closing));
    harness.advance(5);
    harness.set_blockers(ENGINE, &["entry-2"]);
    harness.advance(5);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Closing));
    harness.set_blockers(ENGINE, &[]);
    harness.advance(5);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Draining));
    assert!(harness.sends.is_empty());
    harness.engine(ENGINE).reading.open_streams = 0;
    harness.advance(2);
    assert_eq!(harness.sends, [(ENGINE.to_owned(), 2, 2)]);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Running));
    harness.engine(ENGINE).finish(Progress::Done);
    harness.advance(2);
    assert_eq!(harness.concluded, [(2, Verdict::Done)]);
    let settled = harness.state.settled(ENGINE).unwrap();
    assert_eq!(settled.role, Some(Role::Decode));
}

#[test]
fn entry_that_joins_during_the_drain_must_confirm() {
    let mut harness = Harness::new(true);
    harness.engine(ENGINE).reading.open_streams = 1;
    harness.request_role(ENGINE);
    harness.set_blockers(ENGINE, &[]);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Draining));
    harness.set_blockers(ENGINE, &["entry-9"]);
    harness.engine(ENGINE).reading.open_streams = 0;
    harness.advance(5);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Closing));
    assert!(harness.sends.is_empty());
}

#[test]
fn engine_that_does_not_drain_in_time_is_opened_again() {
    let mut harness = Harness::new(true);
    harness.request_role(ENGINE);
    harness.set_blockers(ENGINE, &["entry-2"]);
    harness.advance(61);
    assert_eq!(harness.concluded, [(2, Verdict::Undone)]);
    assert!(harness.sends.is_empty() && harness.cancels.is_empty());
}

#[test]
fn nothing_is_sent_when_the_lease_does_not_cover_the_send() {
    // The lease has almost expired when the engine is drained. If the check covered only the start
    // of the send, the order could take effect after the process has lost its authority.
    let mut harness = Harness::new(true);
    harness.request_role(ENGINE);
    if let Some(grant) = &mut harness.grant {
        grant.until = Duration::from_secs(2);
    }
    harness.set_blockers(ENGINE, &[]);
    harness.advance(30);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Sending));
    assert!(harness.sends.is_empty());
}

#[test]
fn lost_answer_to_an_order_is_found_by_reading_back() {
    let mut harness = with_order_sent(true, Link::DropsAnswers);
    assert_eq!(harness.sends.len(), 1);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Running));
    harness.engine(ENGINE).finish(Progress::Done);
    harness.advance(2);
    assert_eq!(harness.concluded, [(2, Verdict::Done)]);
}

#[test]
fn undelivered_order_is_sent_again_then_cancelled() {
    // All sends are delayed, the change is undone and the engine opened, and then a send arrives.
    // Without the cancellation, the engine would execute it.
    let mut harness = with_order_sent(true, Link::DropsRequests);
    assert_eq!(harness.sends.len(), 2);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Cancelling));
    harness.link = Link::Delivers;
    harness.advance(2);
    assert_eq!(harness.concluded, [(2, Verdict::Undone)]);
    harness.engine(ENGINE).cancelled.clear();
    let action = Order::SetRole(Role::Decode);
    harness.engine(ENGINE).order(2, 2, &action);
    assert!(!harness.engine(ENGINE).reading.is_running());
}

#[test]
fn order_refused_for_its_token_is_undone() {
    // The engine has seen a fencing token newer than any of this fleet. If refusals of the order and
    // of its cancellation were retried, the engine would stay closed for ever.
    let mut harness = Harness::new(true);
    harness.engine(ENGINE).reading.fence = 1_000_000;
    harness.request_role(ENGINE);
    harness.set_blockers(ENGINE, &[]);
    harness.advance(8);
    assert_eq!(harness.concluded, [(2, Verdict::Undone)]);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn restart_during_an_order_is_concluded_by_the_engine_state() {
    // The engine accepts the order, crashes and starts with its settings. The outcome must follow
    // from its state, not from the accepted order.
    let mut harness = with_order_sent(true, Link::Delivers);
    harness.engine(ENGINE).restart();
    harness.advance(6);
    assert_eq!(harness.concluded, [(2, Verdict::Undone)]);
    assert_eq!(harness.cancels, [2]);
}

#[test]
fn order_that_fails_at_the_engine_is_undone() {
    let mut harness = with_order_sent(true, Link::Delivers);
    harness.engine(ENGINE).finish(Progress::Failed);
    harness.advance(2);
    assert_eq!(harness.concluded, [(2, Verdict::Undone)]);
}

#[test]
fn removal_from_the_instance_list_ends_the_change() {
    let mut harness = with_order_sent(true, Link::DropsRequests);
    harness.step(Input::Change(2, ChangeInput::Absent));
    assert_eq!(harness.concluded, [(2, Verdict::Gone)]);
}

#[test]
fn successor_completes_an_order_that_the_engine_has_begun() {
    let mut harness = with_order_sent(true, Link::Delivers);
    harness.take_over("b", 0);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Running));
    harness.engine(ENGINE).finish(Progress::Done);
    harness.advance(2);
    assert_eq!(harness.concluded, [(2, Verdict::Done)]);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn successor_undoes_an_order_that_the_engine_has_not_begun() {
    // The holder is paused before its send, a successor concludes the order as undone and the
    // engine serves again; then the holder resumes and sends. The cancellation must have given the
    // engine a newer fencing token.
    let mut harness = Harness::new(true);
    harness.request_role(ENGINE);
    harness.take_over("b", 1000);
    harness.advance(2);
    assert_eq!(harness.concluded, [(2, Verdict::Undone)]);
    let late = harness
        .engine(ENGINE)
        .order(2, 2, &Order::SetRole(Role::Decode));
    assert_matches!(late, SendResult::Accepted);
    assert_eq!(harness.engine(ENGINE).reading.last_order, None);
    harness.engine(ENGINE).cancelled.clear();
    let late = harness
        .engine(ENGINE)
        .order(2, 2, &Order::SetRole(Role::Decode));
    assert_matches!(late, SendResult::Superseded { fence: 3 });
}

#[test]
fn successor_waits_before_opening_an_engine_that_ignores_fences() {
    // A former holder's order arrives late at an engine that restarted and lost the cancellation.
    // If the engine were already open, the order would abort its streams.
    let mut harness = Harness::new(false);
    harness.request_role(ENGINE);
    harness.take_over("b", 20);
    harness.advance(24);
    assert_eq!(harness.step_of(ENGINE), Some(Step::Barred));
    let late = Order::SetRole(Role::Decode);
    harness.engine(ENGINE).restart();
    harness.engine(ENGINE).order(2, 2, &late);
    harness.engine(ENGINE).finish(Progress::Done);
    harness.advance(5);
    assert_eq!(harness.concluded, [(2, Verdict::Done)]);
}

#[test]
fn no_order_to_an_engine_that_ignores_fences_before_the_quarantine_ends() {
    let mut harness = Harness::new(false);
    harness.take_over("b", 20);
    harness.request_role(ENGINE);
    harness.set_blockers(ENGINE, &[]);
    harness.advance(24);
    assert!(harness.sends.is_empty());
    harness.advance(2);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn outcome_waits_for_copies_in_transit_to_an_engine_that_ignores_fences() {
    let mut harness = with_order_sent(false, Link::Delivers);
    harness.advance(6);
    harness.engine(ENGINE).finish(Progress::Done);
    harness.advance(1);
    assert_eq!(harness.concluded, [(2, Verdict::Done)]);
    let mut harness = Harness::new(false);
    harness.request_role(ENGINE);
    harness.set_blockers(ENGINE, &[]);
    harness.advance(6);
    let sent = harness.sends.len();
    harness.engine(ENGINE).finish(Progress::Done);
    harness.advance(1);
    assert_eq!((sent, harness.concluded.len()), (1, 0));
    assert_eq!(harness.step_of(ENGINE), Some(Step::Verifying));
}

#[test]
fn maximum_delay_is_measured_from_the_end_of_the_send() {
    // The process is paused between its check and its send, then sends, gives up on the answer,
    // cancels and reads back. The engine restarts and loses the cancellation, and the order arrives
    // within the maximum delay. If the delay were measured from the check, the engine would be open
    // already and the order would abort its streams. Found by the model checker.
    let mut harness = Harness::new(false);
    harness.fold(&common::intent("a", 1, ENGINE, 0));
    let pending = harness
        .state
        .pending_order(ENGINE)
        .expect("a pending order");
    let timing = Timing {
        max_sends: 1,
        ..TIMING
    };
    let mut now = Duration::from_secs(100);
    let mut change = Change::new(now, pending, Origin::Own, timing);
    let (grant, admitted) = (harness.grant.expect("a grant"), true);
    let permit = Permit { grant, admitted };
    let reading = harness.engine(ENGINE).reading.clone();
    change.step(now, &permit, ChangeInput::Tick);
    change.step(now, &permit, ChangeInput::Reading(1, reading.clone()));
    change.step(now, &permit, ChangeInput::Blockers(SmallVec::new()));
    let sent = change.step(now, &permit, ChangeInput::Reading(2, reading.clone()));
    assert_matches!(sent[..], [Output::Send { request: 3, .. }]);
    now += Duration::from_secs(10);
    change.step(now, &permit, ChangeInput::Tick);
    change.step(now, &permit, ChangeInput::Reading(4, reading.clone()));
    change.step(
        now,
        &permit,
        ChangeInput::Cancelled(5, SendResult::Accepted),
    );
    change.step(now, &permit, ChangeInput::Reading(6, reading.clone()));
    assert_eq!(change.current_step(), Step::Barred);
    now += TIMING.max_order_delay;
    change.step(now, &permit, ChangeInput::Tick);
    change.step(now, &permit, ChangeInput::Reading(7, reading));
    assert_matches!(change.current_step(), Step::Concluding(Verdict::Undone, _));
}

#[test]
fn delayed_copy_of_an_earlier_order_is_refused() {
    // An order is sent twice, and the second copy arrives after another order was executed. Both
    // orders belong to one claim, so the fence of the claim cannot tell them apart, and the engine
    // would return to the replaced role.
    let mut harness = with_order_sent(true, Link::Delivers);
    harness.engine(ENGINE).finish(Progress::Done);
    harness.advance(2);
    harness.request(ENGINE, Order::SetRole(Role::Prefill));
    harness.set_blockers(ENGINE, &[]);
    harness.advance(3);
    harness.engine(ENGINE).finish(Progress::Done);
    harness.advance(2);
    assert_eq!(harness.engine(ENGINE).reading.role, Role::Prefill);
    let (_, order, fence) = harness.sends[0].clone();
    harness
        .engine(ENGINE)
        .order(order, fence, &Order::SetRole(Role::Decode));
    assert!(!harness.engine(ENGINE).reading.is_running());
}

#[test]
fn answer_to_an_earlier_request_is_ignored() {
    // The answer to the first reading arrives after the cancellation. It shows the engine before
    // the cancellation; using it could conclude the order as undone while the engine executes it.
    let mut harness = Harness::new(true);
    let intent = common::intent("a", 1, ENGINE, 0);
    harness.fold(&intent);
    let pending = harness
        .state
        .pending_order(ENGINE)
        .expect("a pending order");
    let mut change = Change::new(harness.now, pending, Origin::Inherited, TIMING);
    let (grant, admitted) = (harness.grant.expect("a grant"), true);
    let permit = Permit { grant, admitted };
    let now = harness.now;
    let mut before = harness.engine(ENGINE).reading.clone();
    before.fence = 1000;
    change.step(now, &permit, ChangeInput::Tick);
    change.step(now, &permit, ChangeInput::Reading(1, before.clone()));
    let cancelled = ChangeInput::Cancelled(2, SendResult::Accepted);
    let outputs = change.step(now, &permit, cancelled);
    assert_matches!(outputs[..], [Output::Read { request: 3 }]);
    change.step(now, &permit, ChangeInput::Reading(1, before.clone()));
    assert_eq!(change.current_step(), Step::Barred);
    change.step(now, &permit, ChangeInput::Reading(3, before));
    assert_matches!(change.current_step(), Step::Concluding(Verdict::Undone, _));
}
