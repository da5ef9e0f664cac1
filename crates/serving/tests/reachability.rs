//! Which engines an instance reaches.

use std::time::Duration;

use clock::Moment;
use serving::reachability::{
    Attempt, Cause, Failure, Origin, Path, Reachability, Report, Verdict, WITNESSES,
};
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

fn attempt(begun: u64, failure: Failure, origin: Origin) -> Attempt {
    Attempt {
        begun: at(begun),
        failure,
        origin,
    }
}

/// A connection that timed out after 350 ms. Returns what it shows.
fn timed_out_as(links: &mut Reachability, number: usize, begun: u64, origin: Origin) -> Cause {
    let (engine, service) = (engine(number), service());
    let attempt = attempt(begun, Failure::Silent, origin);
    links.on_failed(&engine, &service, attempt, ENGINES, at(begun + 350));
    links.cause(&engine, &service, at(begun))
}

fn timed_out(links: &mut Reachability, number: usize, begun: u64) -> Cause {
    timed_out_as(links, number, begun, Origin::Choice)
}

fn path(links: &Reachability, number: usize) -> Path {
    links.path(&engine(number), &service())
}

/// An instance whose drawn engines have all timed out.
fn suspicious() -> Reachability {
    let mut links = Reachability::default();
    opened(&mut links, 0, 900);
    for number in 0..WITNESSES {
        timed_out_as(&mut links, number, 1_000, Origin::Draw);
    }
    links
}

/// An instance that has lost its paths to the three engines of a service.
fn isolated() -> Reachability {
    let mut links = Reachability::default();
    opened(&mut links, 0, 900);
    for number in 0..3 {
        let failed = attempt(1_000, Failure::Silent, Origin::Choice);
        links.on_failed(&engine(number), &service(), failed, 3, at(1_350));
    }
    let verdict = links.on_report(&service(), Report::Reached, at(1_350));
    assert_eq!(verdict, Verdict::Isolated(Failure::Silent));
    links
}

/// Guards against paying a time-out for each engine when the path to all of them is gone.
#[test]
fn drawn_engines_that_all_fail_make_calls_take_another_way() {
    let mut links = Reachability::default();
    opened(&mut links, 0, 900);
    assert_eq!(timed_out(&mut links, 21, 1_000), Cause::Unclear);
    for number in 1..WITNESSES {
        let cause = timed_out_as(&mut links, number, 1_000, Origin::Draw);
        assert_eq!(cause, Cause::Unclear);
    }
    assert_eq!(path(&links, 15), Path::Direct);
    let cause = timed_out_as(&mut links, WITNESSES, 1_000, Origin::Draw);
    assert_eq!(cause, Cause::Isolation);
    assert_eq!(path(&links, 15), Path::Forwarded);
    assert!(!links.is_isolated(&service()));
    links.on_report(&service(), Report::Reached, at(1_360));
    assert!(links.is_isolated(&service()));
}

/// Guards against a conclusion from calls, which prefer engines that have just terminated.
#[test]
fn failed_calls_alone_raise_no_suspicion() {
    let mut links = Reachability::default();
    for number in 0..ENGINES - 1 {
        assert_eq!(timed_out(&mut links, number, 1_000), Cause::Unclear);
    }
    assert_eq!(path(&links, ENGINES - 1), Path::Direct);
}

/// Guards against asking others again and again about engines that terminated.
#[test]
fn a_refuted_suspicion_is_not_raised_again_by_the_same_failures() {
    let mut links = suspicious();
    let verdict = links.on_report(&service(), Report::NotReached, at(1_360));
    assert_eq!(verdict, Verdict::Engines);
    assert_eq!(path(&links, 15), Path::Direct);
    timed_out(&mut links, 20, 1_700);
    assert!(!links.is_suspected(&service()));
}

/// Guards against a late answer to an earlier question that ends an isolation.
#[test]
fn a_report_after_the_conclusion_changes_nothing() {
    let mut links = isolated();
    let verdict = links.on_report(&service(), Report::NotReached, at(1_400));
    assert_eq!(verdict, Verdict::Settled);
    assert!(links.is_isolated(&service()));
}

/// Guards against a connection that is open and silent, which proves no path, and against a fault
/// that stops new connections only.
#[test]
fn bytes_outweigh_refusals_and_not_the_silence_of_drawn_engines() {
    for (failure, is_suspected) in [(Failure::Refused, false), (Failure::Silent, true)] {
        let mut links = Reachability::default();
        for number in 0..WITNESSES {
            links.on_received(&service(), at(1_010));
            let attempt = attempt(1_000, failure, Origin::Draw);
            links.on_failed(&engine(number), &service(), attempt, ENGINES, at(1_200));
        }
        assert_eq!(links.is_suspected(&service()), is_suspected, "{failure:?}");
    }
    let mut links = Reachability::default();
    links.on_received(&service(), at(999));
    for number in 0..WITNESSES {
        let attempt = attempt(1_000, Failure::Refused, Origin::Draw);
        links.on_failed(&engine(number), &service(), attempt, ENGINES, at(1_200));
    }
    assert!(links.is_suspected(&service()));
    assert_eq!(path(&links, 20), Path::Direct);
    links.on_received(&service(), at(1_201));
    assert!(!links.is_suspected(&service()));
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
    let failed = attempt(1_000, Failure::Silent, Origin::Choice);
    assert!(links.on_failed(&app_engine, &app, failed, 1, at(1_400)));
    links.on_report(&app, Report::Reached, at(1_400));
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
    let failed = attempt(1_000, Failure::Silent, Origin::Choice);
    assert!(links.on_failed(&engine, &service, failed, 1, at(1_350)));
    let verdict = links.on_report(&service, Report::Unknown, at(1_350));
    assert_eq!(verdict, Verdict::Isolated(Failure::Silent));
    assert_eq!(
        links.on_opened(&engine, &service, 1, at(2_000)),
        Some(at(1_350))
    );
}

/// Guards against refusing calls when several engines ended, while others were not even tried.
#[test]
fn engines_are_tried_directly_while_failures_cost_no_time() {
    let mut links = Reachability::default();
    for number in 0..WITNESSES {
        let attempt = attempt(1_000, Failure::Refused, Origin::Draw);
        links.on_failed(&engine(number), &service(), attempt, ENGINES, at(1_001));
    }
    assert_eq!(path(&links, 20), Path::Direct);
    links.on_report(&service(), Report::Reached, at(1_002));
    assert_eq!(path(&links, 20), Path::Forwarded);
    assert!(links.is_isolated(&service()));
    assert!(links.may_try(&engine(20), &service()));
    assert!(!links.may_try(&engine(2), &service()));
    timed_out(&mut links, 21, 1_010);
    assert!(!links.may_try(&engine(20), &service()));
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
