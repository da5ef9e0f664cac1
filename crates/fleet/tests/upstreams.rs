//! Which upstreams get new work.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use std::time::Duration;

use fleet::Upstreams;
use fleet::health::{Cause, Settings};
use fleet::list::{Kind, Listing, Mark, View};
use fleet::upstream::{Input, Observation, Output, Outputs, State};
use support::{instance, listing, s, view};

const FAST: Observation = Observation::Answered(Duration::from_millis(10));

fn ids(count: usize) -> Vec<String> {
    (1..=count).map(|n| format!("engine-{n}")).collect()
}

fn upstreams(count: usize) -> Upstreams {
    let ids = ids(count);
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut upstreams = Upstreams::new(Settings::default());
    upstreams.step(s(0), Input::List(&view(Kind::Engine, &names)));
    upstreams
}

fn attempt(upstreams: &mut Upstreams, now: Duration, id: &str, end: Observation) -> Outputs {
    let input = Input::Attempt {
        upstream: id,
        observation: end,
    };
    upstreams.step(now, input)
}

fn fail(upstreams: &mut Upstreams, now: Duration, id: &str, times: u32) -> Outputs {
    (0..times)
        .flat_map(|_| attempt(upstreams, now, id, Observation::Failed))
        .collect()
}

fn probe(upstreams: &mut Upstreams, now: Duration, id: &str, end: Observation) {
    let input = Input::Probe {
        upstream: id,
        observation: end,
    };
    upstreams.step(now, input);
}

fn state(upstreams: &Upstreams, id: &str) -> State {
    upstreams.get(id).unwrap().state
}

fn probes(upstreams: &mut Upstreams, now: Duration) -> usize {
    let outputs = upstreams.step(now, Input::Tick);
    let is_probe = |one: &&Output| matches!(one, Output::Probe { .. });
    outputs.iter().filter(is_probe).count()
}

#[test]
fn a_leaving_upstream_gets_no_new_work_once_read() {
    let mut upstreams = upstreams(3);
    let mut view = View::default();
    let mut lines = listing(2, Kind::Engine, &["engine-1", "engine-2"]);
    lines
        .instances
        .push(instance("engine-3", Kind::Engine, Mark::Leaving));
    view.read(s(1), lines);
    upstreams.step(s(1), Input::List(&view));
    assert_eq!(state(&upstreams, "engine-3"), State::Leaving);
    assert_eq!(upstreams.live(s(1), "pool").count(), 2);
}

// In a platform outage the list may be empty, or unavailable, for a day. If unlisted upstreams were
// forgotten, nothing could be routed.
#[test]
fn a_frozen_or_empty_list_keeps_all_upstreams() {
    let mut upstreams = upstreams(3);
    let mut view = view(Kind::Engine, &["engine-1", "engine-2", "engine-3"]);
    let empty = Listing {
        version: 9,
        instances: Vec::new(),
    };
    view.read(s(100), empty);
    upstreams.step(s(100), Input::List(&view));
    upstreams.step(s(86_400), Input::Tick);
    upstreams.step(s(86_400), Input::List(&View::default()));
    assert_eq!(upstreams.live(s(86_400), "pool").count(), 3);
}

#[test]
fn orders_and_drains_also_close_upstreams_listed_later() {
    let mut upstreams = upstreams(1);
    let close = Input::Close {
        order: 31,
        upstream: "engine-2",
    };
    upstreams.step(s(1), close);
    upstreams.step(s(1), Input::Drains(&["engine-1".to_owned()]));
    let both = view(Kind::Engine, &["engine-1", "engine-2"]);
    let outputs = upstreams.step(s(2), Input::List(&both));
    // It is never reported as live in between.
    let closed = Output::Changed {
        id: "engine-2".to_owned(),
        was: None,
        state: State::Closed,
    };
    assert_eq!(outputs.as_slice(), [closed]);
    assert_eq!(state(&upstreams, "engine-1"), State::Drained);
    assert_eq!(state(&upstreams, "engine-2"), State::Closed);
    upstreams.step(s(3), Input::Open { order: 31 });
    upstreams.step(s(3), Input::Drains(&[]));
    assert_eq!(upstreams.live(s(3), "pool").count(), 2);
}

#[test]
fn consecutive_failures_eject_and_a_probe_begins_a_slow_start() {
    let mut upstreams = upstreams(3);
    fail(&mut upstreams, s(1), "engine-1", 4);
    attempt(&mut upstreams, s(1), "engine-1", FAST);
    fail(&mut upstreams, s(1), "engine-1", 4);
    assert_eq!(state(&upstreams, "engine-1"), State::Live);
    fail(&mut upstreams, s(1), "engine-1", 1);
    assert_eq!(state(&upstreams, "engine-1"), State::Ejected);
    assert_eq!(probes(&mut upstreams, s(5)), 0);
    assert_eq!(probes(&mut upstreams, s(6)), 1);
    probe(&mut upstreams, s(6), "engine-1", FAST);
    assert_eq!(state(&upstreams, "engine-1"), State::Live);
    let share = |now| upstreams.live(now, "pool").next().unwrap().1;
    assert!(share(s(6)) < 0.2);
    assert!(share(s(13)) < 0.6);
    assert!((share(s(60)) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn ejections_lengthen_while_a_fault_recurs_and_reset_later() {
    let mut upstreams = upstreams(3);
    fail(&mut upstreams, s(0), "engine-1", 5);
    let until = |upstreams: &Upstreams| {
        let health = &upstreams.get("engine-1").unwrap().health;
        health.ejection().unwrap().1
    };
    assert_eq!(until(&upstreams), s(5));
    probe(&mut upstreams, s(5), "engine-1", Observation::TimedOut);
    assert_eq!(until(&upstreams), s(15));
    probe(&mut upstreams, s(15), "engine-1", FAST);
    fail(&mut upstreams, s(20), "engine-1", 5);
    assert_eq!(until(&upstreams), s(40));
    probe(&mut upstreams, s(40), "engine-1", FAST);
    fail(&mut upstreams, s(400), "engine-1", 5);
    assert_eq!(until(&upstreams), s(405));
}

// With a broken store behind all engines, every attempt fails. If each engine were judged alone,
// the whole pool would be ejected.
#[test]
fn only_a_fraction_of_a_pool_is_ejected() {
    let mut upstreams = upstreams(18);
    let mut withheld = 0;
    for id in ids(18) {
        let outputs = fail(&mut upstreams, s(1), &id, 5);
        let is_withheld = |one: &&Output| matches!(one, Output::EjectionWithheld { .. });
        withheld += outputs.iter().filter(is_withheld).count();
    }
    assert_eq!(upstreams.live(s(1), "pool").count(), 12);
    assert_eq!(withheld, 12);
}

#[test]
fn a_pool_of_one_is_never_ejected() {
    let mut upstreams = upstreams(1);
    fail(&mut upstreams, s(1), "engine-1", 50);
    assert_eq!(state(&upstreams, "engine-1"), State::Live);
}

#[test]
fn timeouts_and_slowness_eject_as_well() {
    let mut upstreams = upstreams(9);
    for _ in 0..3 {
        attempt(&mut upstreams, s(1), "engine-2", Observation::TimedOut);
    }
    for id in ids(9).iter().skip(2) {
        for _ in 0..20 {
            let slow = Duration::from_millis(if id == "engine-3" { 3000 } else { 200 });
            attempt(&mut upstreams, s(1), id, Observation::Answered(slow));
        }
    }
    upstreams.step(s(2), Input::Tick);
    let cause = |id| {
        let ejection = upstreams.get(id).unwrap().health.ejection();
        ejection.map(|(cause, _)| cause)
    };
    assert_eq!(cause("engine-2"), Some(Cause::Timeouts));
    assert_eq!(cause("engine-3"), Some(Cause::Slow));
    assert_eq!(cause("engine-4"), None);
}

#[test]
fn a_gone_upstream_is_kept_for_late_responses_and_then_forgotten() {
    let mut upstreams = upstreams(3);
    let fewer = view(Kind::Engine, &["engine-1", "engine-2"]);
    upstreams.step(s(10), Input::List(&fewer));
    assert_eq!(state(&upstreams, "engine-3"), State::Gone);
    upstreams.step(s(59), Input::Tick);
    assert!(upstreams.get("engine-3").is_some());
    let outputs = upstreams.step(s(60), Input::Tick);
    assert!(outputs.contains(&Output::Forgotten {
        id: "engine-3".to_owned()
    }));
}

#[test]
fn a_new_upstream_and_one_with_a_new_address_start_slowly() {
    let mut upstreams = upstreams(1);
    let mut lines = listing(2, Kind::Engine, &["engine-1", "engine-2"]);
    lines.instances[0].address = "elsewhere:9000".to_owned();
    let mut view = View::default();
    view.read(s(5), lines);
    upstreams.step(s(5), Input::List(&view));
    assert!(upstreams.live(s(5), "pool").all(|(_, share)| share < 0.2));
}
