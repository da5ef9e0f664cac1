//! What reading a prompt costs the streams beside it.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{demand, fleet, generation, id, ms, prompt, service, zone};
use serving::place::choose;
use serving::{Choice, Demand, Fleet, Stage};

/// Longest pause that streams of these tests may have.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Streams that run at engine `a`.
const STREAMS: u32 = 10;
/// Pauses from which a fleet learns, of either kind.
const PAUSES: u64 = 60;

/// A fleet of two engines that generate. Streams run at `a`, where the shared part was read; between two
/// of their events there are `alone` without and `beside` with a prompt that is read all the while.
fn fleet_with_pauses(alone: Duration, beside: Duration) -> Fleet {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    let a = id("a");
    fleet.cache_parts(&a, &prompt(&[(7, 2_000)]), 400_000, ms(0));
    for _ in 0..STREAMS {
        fleet.begin_call(&a, 0, 1, ms(0));
    }
    let mut now = ms(0);
    for _ in 0..PAUSES {
        let mut last = fleet.stream_mark(&a, now).expect("the engine is known");
        now += alone;
        fleet.record_stream_event(&a, &mut last, MAX_PAUSE, now);
        let read = fleet.begin_call(&a, 4_000, 0, now);
        now += beside;
        fleet.record_stream_event(&a, &mut last, MAX_PAUSE, now);
        fleet.end_call(&read, None, now);
    }
    fleet
}

/// Where a prompt goes of which `a` has read half.
fn chosen_engine(fleet: &Fleet) -> String {
    let parts = prompt(&[(7, 2_000), (8, 2_000)]);
    let (service, zone) = (service(), zone());
    let demand = demand(&service, &zone, Some(generation(&parts)));
    let choice = choose(fleet, &demand, ms(60_000));
    match choice {
        Choice::Direct(target) => target.engine.to_string(),
        other => panic!("the prompt goes nowhere: {other:?}"),
    }
}

/// Symptom: in a peak of long prompts most streams are late by one pause, and the longest never end in time, while
/// every prompt is on time. Sequence: prompts are read at engines that generate, where their shared parts are; each
/// holds all streams there up for as long as it is read. Cause: what a prompt costs was counted for other prompts only.
#[test]
fn a_prompt_avoids_streams_whose_pauses_it_would_make_too_long() {
    let fleet = fleet_with_pauses(ms(40), ms(145));
    assert_eq!(chosen_engine(&fleet), "b");
}

/// Symptom: prompts are read again at engines that lack their shared parts, and are late, while streams have time to
/// spare. Cause: their delay was counted although it makes none of them late.
#[test]
fn a_prompt_ignores_streams_with_slack_in_their_pauses() {
    let fleet = fleet_with_pauses(ms(20), ms(60));
    assert_eq!(chosen_engine(&fleet), "a");
}

#[test]
fn no_engine_is_avoided_before_pauses_are_observed() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    fleet.cache_parts(&id("a"), &prompt(&[(7, 2_000)]), 400_000, ms(0));
    for _ in 0..STREAMS {
        fleet.begin_call(&id("a"), 0, 1, ms(0));
    }
    assert_eq!(chosen_engine(&fleet), "a");
}

/// Symptom: in a peak streams are late although the prompts beside them are, too. Sequence: a prompt cannot be on time
/// anywhere; the engine that only reads has a long line, the one that generates has none; it goes there, a third of a
/// second sooner and of no use, and holds the streams up. Cause: a call that is late anyway was in as much haste
/// as others.
#[test]
fn a_late_prompt_waits_rather_than_delay_streams() {
    let mut fleet = fleet_with_pauses(ms(40), ms(110));
    fleet.put(common::record("r", Some(Stage::Prefill)));
    fleet.remove("b");
    let now = ms(60_000);
    for _ in 0..6 {
        fleet.begin_call(&id("r"), 24_000, 0, now);
    }
    let parts = prompt(&[(9, 6_000)]);
    let (service, zone) = (service(), zone());
    let demand = Demand {
        latency_target: ms(100),
        ..demand(&service, &zone, Some(generation(&parts)))
    };
    let choice = choose(&fleet, &demand, now);
    assert_matches!(choice, Choice::Split { prefill, .. } if prefill.rank > 1);
}

/// Symptom: all instances avoid engines after a pause of the whole fleet. Sequence: engines stand still for a second;
/// every stream has one pause far beyond what reading can do. Cause: it was taken for the work of a prompt.
#[test]
fn pauses_of_a_stalled_engine_are_ignored() {
    let mut fleet = fleet_with_pauses(ms(20), ms(60));
    let a = id("a");
    let mut now = ms(50_000);
    for _ in 0..5 {
        let mut last = fleet.stream_mark(&a, now).expect("the engine is known");
        let read = fleet.begin_call(&a, 4_000, 0, now);
        now += ms(1_000);
        fleet.record_stream_event(&a, &mut last, MAX_PAUSE, now);
        fleet.end_call(&read, None, now);
    }
    assert_eq!(chosen_engine(&fleet), "a");
    assert_matches!(fleet.stream_mark(&id("none"), now), None);
}
