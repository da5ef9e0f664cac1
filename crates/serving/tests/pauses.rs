//! Delay of streams by prompts read at the same engine.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{demand, fleet, generation, id, ms, prompt, service, zone};
use serving::place::choose;
use serving::{Choice, Demand, Fleet, Stage};

/// Longest pause that the streams of these tests may have.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Streams that run at engine `a`.
const STREAMS: u32 = 10;
/// Pauses of either kind from which a fleet learns.
const PAUSES: u64 = 60;

/// A fleet of two decode engines with streams at `a`, which caches the shared part. The pause
/// between two events is `alone` without a prompt and `beside` with a prompt read all the while.
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

/// The engine chosen for a prompt half of which `a` caches.
fn chosen_engine(fleet: &Fleet) -> String {
    let parts = prompt(&[(7, 2_000), (8, 2_000)]);
    let (service, zone) = (service(), zone());
    let demand = demand(&service, &zone, Some(generation(&parts)));
    let choice = choose(fleet, &demand, ms(60_000));
    match choice {
        Choice::Direct(target) => target.engine.to_string(),
        other => panic!("unexpected choice: {other:?}"),
    }
}

/// Guards against counting a prompt's cost for other prompts only: in a peak, long prompts were
/// read at decode engines that cache their shared parts, and delayed all streams there, so that the
/// longest streams never finished on time.
#[test]
fn a_prompt_avoids_streams_whose_pauses_it_would_make_too_long() {
    let fleet = fleet_with_pauses(ms(40), ms(145));
    assert_eq!(chosen_engine(&fleet), "b");
}

/// Guards against counting a delay that makes no stream late: prompts were read again at engines
/// without their shared parts, and were late.
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

/// Guards against delaying streams for a late prompt: the prefill engine has a long queue, the
/// decode engine has none, and the prompt went there a third of a second sooner for no benefit.
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

/// Guards against attributing a stall to reading: after all engines had stalled for a second, every
/// stream had one very long pause, and instances avoided the engines.
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
