//! Which engines an instance reaches.

use std::time::Duration;

use clock::Moment;
use serving::reachability::{Cause, Failure, Path, Reachability};
use serving::{EngineId, ServiceName};

const ENGINES: usize = 22;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn engine(number: usize) -> EngineId {
    EngineId::from(format!("engine-{number}"))
}

fn opened(links: &mut Reachability, number: usize, now: u64) -> bool {
    let since = links.on_opened(&engine(number), &service(), ENGINES, at(now));
    since.is_some()
}

/// A connection that timed out after 350 ms. Returns what it shows.
fn timed_out(links: &mut Reachability, number: usize, begun: u64) -> Cause {
    let (engine, service) = (engine(number), service());
    let ended = at(begun + 350);
    links.on_failed(
        &engine,
        &service,
        at(begun),
        Failure::Silent,
        ENGINES,
        ended,
    );
    links.cause(&service, at(begun))
}

fn path(links: &Reachability, number: usize) -> Path {
    links.path(&engine(number), &service())
}

fn isolated() -> Reachability {
    let mut links = Reachability::default();
    opened(&mut links, 0, 900);
    for number in 0..3 {
        timed_out(&mut links, number, 1_000);
    }
    links
}

/// Guards against paying a time-out for each engine when the path to all of them is gone.
#[test]
fn three_engines_that_fail_in_a_row_isolate_the_instance() {
    let mut links = Reachability::default();
    opened(&mut links, 0, 900);
    assert_eq!(timed_out(&mut links, 1, 1_000), Cause::Unclear);
    assert_eq!(timed_out(&mut links, 2, 1_050), Cause::Unclear);
    assert_eq!(path(&links, 7), Path::Direct);
    assert_eq!(timed_out(&mut links, 3, 1_100), Cause::Isolation);
    assert_eq!(path(&links, 7), Path::Forwarded);
}

/// Guards against taking engines that fail together for a fault of the instance's own path.
#[test]
fn engines_that_fail_while_others_are_reached_do_not_isolate_the_instance() {
    let mut links = Reachability::default();
    for number in 0..10 {
        let begun = 1_000 + 50 * u64::try_from(number).expect("small");
        opened(&mut links, 20, begun + 100);
        assert_eq!(timed_out(&mut links, number, begun), Cause::Engine);
    }
    assert!(!links.is_isolated(&service()));
    assert_eq!(path(&links, 3), Path::Forwarded);
    assert_eq!(path(&links, 20), Path::Direct);
}

/// Guards against an instance that reaches one service and counts as isolated from it with another.
#[test]
fn isolation_from_one_service_leaves_others_alone() {
    let links = isolated();
    let app = ServiceName::from("app");
    assert_eq!(links.path("app-1", &app), Path::Direct);
}

/// Guards against finding out for each of many services anew that no engine is reached.
#[test]
fn isolation_from_two_services_is_isolation_from_all_until_an_engine_is_reached() {
    let mut links = isolated();
    let (app, other) = (ServiceName::from("app"), ServiceName::from("other"));
    let app_engine = EngineId::from("app-1");
    links.on_failed(&app_engine, &app, at(1_000), Failure::Silent, 1, at(1_400));
    assert_eq!(links.path("other-1", &other), Path::Forwarded);
    assert!(links.is_isolated(&other));
    links.on_opened(&EngineId::from("other-2"), &other, 5, at(1_500));
    assert_eq!(links.path("other-1", &other), Path::Direct);
    assert!(links.is_isolated(&app));
}

/// Guards against an instance that needs three engines of a service that has one.
#[test]
fn the_only_engine_that_fails_isolates_the_instance() {
    let mut links = Reachability::default();
    let (engine, service) = (engine(0), service());
    assert!(links.on_failed(&engine, &service, at(1_000), Failure::Silent, 1, at(1_350)));
    assert_eq!(
        links.on_opened(&engine, &service, 1, at(2_000)),
        Some(at(1_350))
    );
}

/// Guards against refusing calls when several engines ended, while others were not even tried.
#[test]
fn engines_are_tried_directly_while_failures_cost_no_time() {
    let mut links = Reachability::default();
    for number in 0..3 {
        let engine = engine(number);
        links.on_failed(
            &engine,
            &service(),
            at(1_000),
            Failure::Refused,
            ENGINES,
            at(1_001),
        );
    }
    assert!(links.is_isolated(&service()));
    assert!(links.may_try(&engine(3), &service()));
    assert!(!links.may_try(&engine(2), &service()));
    timed_out(&mut links, 4, 1_010);
    assert!(!links.may_try(&engine(3), &service()));
}

/// Guards against failures of long ago that add up.
#[test]
fn old_failures_are_no_evidence() {
    let mut links = Reachability::default();
    for (number, begun) in [(0, 1_000), (1, 5_000), (2, 9_000), (3, 13_000)] {
        assert_eq!(timed_out(&mut links, number, begun), Cause::Unclear);
    }
}

/// Guards against callers' calls that find out whether the paths are back.
#[test]
fn probes_end_the_isolation() {
    let mut links = isolated();
    let probed = links.due_probes(2, at(1_600));
    assert_eq!(probed.len(), 2);
    let probed_first = links.on_opened(&probed[0], &service(), ENGINES, at(1_602));
    assert_eq!(probed_first, None);
    assert_eq!(links.path(&probed[0], &service()), Path::Direct);
    assert_eq!(path(&links, 9), Path::Forwarded);
    let probed_second = links.on_opened(&probed[1], &service(), ENGINES, at(1_603));
    assert_eq!(probed_second, Some(at(1_350)));
    assert_eq!(path(&links, 9), Path::Direct);
    // The third one could not be reached either.
    assert_eq!(links.due_probes(2, at(1_603)).len(), 1);
}

#[test]
fn an_isolated_instance_probes_each_engine_that_failed_twice_a_second() {
    let mut links = isolated();
    let mut probes = 0;
    for tick in 0..40 {
        probes += links.due_probes(2, at(1_600 + 250 * tick)).len();
    }
    assert_eq!(probes, 61);
}

#[test]
fn an_engine_that_stays_away_is_probed_ever_more_rarely() {
    let mut links = Reachability::default();
    timed_out(&mut links, 0, 1_000);
    let ticks = (0..240).map(|tick| at(1_600 + 250 * tick));
    let probes: usize = ticks.map(|now| links.due_probes(2, now).len()).sum();
    assert!(probes <= 20, "{probes}");
}

fn service() -> ServiceName {
    ServiceName::from("pool")
}
