//! What an instance knows of the calls that it placed for others, and of the answers that others got.

mod common;

use common::{demand, fleet, generation, id, ms, prompt, service, zone};
use serving::engine::Job;
use serving::fleet::Change;
use serving::health::{Outcome, Told};
use serving::place::choose;
use serving::{Choice, EngineId, Fleet, Stage};

const NOW: std::time::Duration = std::time::Duration::from_secs(10);

fn job(ticket: u32, work: u32) -> Job {
    Job {
        ticket,
        sent: NOW,
        rank: 1,
        work,
    }
}

fn chosen(fleet: &Fleet) -> EngineId {
    let (service, zone, parts) = (service(), zone(), prompt(&[(1, 8_000)]));
    let demand = demand(&service, &zone, Some(generation(&parts)));
    match choose(fleet, &demand, NOW) {
        Choice::Direct(target) => target.engine,
        other => panic!("{other:?} is no place"),
    }
}

/// Symptom: prompts wait for each other at one engine while others are idle. Sequence: two instances ask within a moment where to
/// send a prompt. Cause: the first one's was counted only once its sender told of it.
#[test]
fn two_calls_that_come_at_once_are_placed_with_each_other_in_mind() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    let first = chosen(&fleet);
    fleet.book(7, &first, job(1, 10_000), NOW);
    let second = chosen(&fleet);
    assert_ne!(first, second);
}

#[test]
fn what_its_sender_tells_later_is_not_counted_again() {
    for work in [0, 10_000] {
        let mut fleet = fleet(&[("a", Stage::Decode)]);
        fleet.book(7, &id("a"), job(1, work), NOW);
        let started = Change::Started(id("a"), job(1, work));
        fleet.hear_change(7, &started, NOW + ms(12));
        assert_eq!(fleet.get("a").expect("it is there").running(), 1);
        let ended = Change::Ended(id("a"), 1, Some(Outcome::Good));
        fleet.hear_change(7, &ended, NOW + ms(300));
        assert_eq!(fleet.get("a").expect("it is there").running(), 0);
    }
}

/// Symptom: in a large fleet calls are expected late, and yield, while all engines are idle. Sequence: each instance sees a call or
/// two a second, and learns how fast engines are from these. Cause: whoever placed a call learned nothing from its answer.
#[test]
fn a_placer_learns_from_the_calls_that_it_placed() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    let before = fleet.speed(fleet.get("a").expect("it is there"));
    for number in 0..200 {
        let sent = NOW + ms(1_000 * u64::from(number));
        let work = if number % 2 == 0 { 2_000 } else { 10_000 };
        let job = Job {
            sent,
            ..job(number, work)
        };
        fleet.book(u64::from(number), &id("a"), job, sent);
        let at = sent + ms(10 + u64::from(work) / 100);
        let read = Change::Read(id("a"), number, at);
        fleet.hear_change(u64::from(number), &read, at);
    }
    let after = fleet.speed(fleet.get("a").expect("it is there"));
    assert!((after.rate - 100.0).abs() < 5.0, "{before:?} to {after:?}");
    assert!((after.setup - 10.0).abs() < 5.0, "{before:?} to {after:?}");
}

/// Symptom: every instance sends calls to an engine that fails half of them, for minutes. Sequence: its record says that it is
/// well; each instance has had one call there. Cause: what calls came to was known to their senders only.
#[test]
fn an_engine_that_fails_the_calls_of_many_is_closed() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    let first = chosen(&fleet);
    for peer in 1..=3 {
        let ended = Change::Ended(first.clone(), 1, Some(Outcome::Failed));
        fleet.hear_change(peer, &ended, NOW);
    }
    assert_ne!(chosen(&fleet), first);
}

/// Symptom: all engines of a data centre are closed to all instances. Sequence: one instance is cut off from them; its calls fail at
/// one after the other. Cause: the others believed it alone.
#[test]
fn one_instance_whose_calls_fail_closes_nothing() {
    let mut told = Told::default();
    for _ in 0..50 {
        told.note(7, Outcome::Failed, NOW);
        told.note(7, Outcome::Unreachable, NOW);
    }
    assert!(told.is_open(NOW));
}
