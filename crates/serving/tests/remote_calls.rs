//! What a placer knows of the calls that it placed for others, and of their outcomes.

mod common;

use common::{demand, fleet, generation, id, ms, prompt, service, zone};
use serving::engine::{Job, Work};
use serving::fleet::WorkChange;
use serving::health::{Outcome, PeerReports};
use serving::place::choose;
use serving::{Choice, EngineId, Fleet, Stage};

const NOW: std::time::Duration = std::time::Duration::from_secs(10);

fn chosen_engine(fleet: &Fleet) -> EngineId {
    let (service, zone, parts) = (service(), zone(), prompt(&[(1, 8_000)]));
    let demand = demand(&service, &zone, Some(generation(&parts)));
    match choose(fleet, &demand, NOW) {
        Choice::Direct(target) => target.engine,
        other => panic!("unexpected choice: {other:?}"),
    }
}

fn running_calls(fleet: &Fleet) -> u32 {
    fleet.get("a").expect("engine a exists").running_calls()
}

/// Guards against prompts that wait for each other while other engines are idle: two instances ask
/// at nearly the same time, and the first call was counted only once its sender reported it.
#[test]
fn simultaneous_calls_are_placed_on_different_engines() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    let first = chosen_engine(&fleet);
    fleet.begin_remote_call(7, 1, &first, 10_000, 1, NOW);
    let second = chosen_engine(&fleet);
    assert_ne!(first, second);
}

#[test]
fn a_call_of_another_instance_ends_by_its_report() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    fleet.begin_remote_call(7, 1, &id("a"), 10_000, 1, NOW);
    fleet.begin_remote_call(7, 2, &id("a"), 0, 1, NOW);
    assert_eq!(running_calls(&fleet), 2);
    fleet.end_remote_call(7, 1, Some(Outcome::Success), NOW + ms(300));
    fleet.end_remote_call(7, 1, Some(Outcome::Success), NOW + ms(310));
    assert_eq!(running_calls(&fleet), 1);
}

/// Guards against counting a call as running until its timeout because the report of its end was
/// lost.
#[test]
fn a_lost_report_is_corrected_by_the_next_list_of_calls() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    fleet.begin_remote_call(7, 1, &id("a"), 0, 1, NOW);
    fleet.begin_remote_call(7, 2, &id("a"), 0, 1, NOW);
    fleet.retain_remote_calls(7, &[], NOW + ms(5));
    assert_eq!(
        running_calls(&fleet),
        2,
        "the sender may not know the placement yet"
    );
    fleet.retain_remote_calls(7, &[2], NOW + ms(700));
    assert_eq!(running_calls(&fleet), 1);
}

/// Guards against engines that look idler than they are to other placers: a call ends just before
/// its placer reports all of its work, the frame also names the end for its outcome, and the end
/// was subtracted from work that no longer had the call.
#[test]
fn an_end_reported_with_all_work_is_not_subtracted_from_it() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    let job = |ticket| Job {
        ticket,
        sent_at: NOW,
        rank: 1,
        work: 0,
    };
    let started = [1, 2].map(|ticket| WorkChange::Started(id("a"), job(ticket)));
    fleet.apply_frame(7, &started, None, NOW);
    assert_eq!(running_calls(&fleet), 2);
    let ended = [WorkChange::Ended(id("a"), 1, Some(Outcome::Success))];
    let left = Work {
        calls: 1,
        ..Work::default()
    };
    fleet.apply_frame(7, &ended, Some(vec![(id("a"), left)]), NOW);
    assert_eq!(running_calls(&fleet), 1);
}

#[test]
fn calls_of_a_silent_instance_are_dropped() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    fleet.begin_remote_call(7, 1, &id("a"), 0, 1, NOW);
    fleet.expire(NOW + ms(3_000));
    assert_eq!(running_calls(&fleet), 1);
    fleet.expire(NOW + ms(3_500));
    assert_eq!(running_calls(&fleet), 0);
}

/// Guards against learning too slowly in a large fleet: each instance sees one or two calls per
/// second, and the placer learned nothing from the answers, so calls were expected late while
/// engines were idle.
#[test]
fn a_placer_learns_from_the_calls_that_it_placed() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    let before = fleet.speed(fleet.get("a").expect("engine a exists"));
    for number in 0..200 {
        let (peer, sent) = (u64::from(number), NOW + ms(1_000 * u64::from(number)));
        let work = if number % 2 == 0 { 2_000 } else { 10_000 };
        fleet.begin_remote_call(peer, number, &id("a"), work, 1, sent);
        let at = sent + ms(10 + u64::from(work) / 100);
        fleet.remote_prompt_read(peer, number, at);
        fleet.end_remote_call(peer, number, Some(Outcome::Success), at);
    }
    let after = fleet.speed(fleet.get("a").expect("engine a exists"));
    assert!(
        (after.tokens_per_ms - 100.0).abs() < 5.0,
        "{before:?} to {after:?}"
    );
    assert!(
        (after.setup_ms - 10.0).abs() < 5.0,
        "{before:?} to {after:?}"
    );
}

/// Guards against sending calls for minutes to an engine that fails half of them while its record
/// says it is ready: each instance had one call there, and outcomes were known to their senders
/// only.
#[test]
fn an_engine_that_fails_calls_of_several_instances_is_avoided() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    let first = chosen_engine(&fleet);
    for peer in 1..=3 {
        fleet.begin_remote_call(peer, 1, &first, 0, 1, NOW);
        fleet.end_remote_call(peer, 1, Some(Outcome::Failed), NOW);
    }
    assert_ne!(chosen_engine(&fleet), first);
}

/// Guards against avoiding all engines of a data centre because one instance, which is cut off from
/// them, reports failures at each.
#[test]
fn failures_of_one_instance_alone_do_not_count() {
    let mut reports = PeerReports::default();
    for _ in 0..50 {
        reports.record(7, Outcome::Failed, NOW);
        reports.record(7, Outcome::Unreachable, NOW);
    }
    assert!(reports.is_available(NOW));
}
