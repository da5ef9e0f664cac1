//! Whom an instance asks to send calls to engines that it does not reach.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::forwarders::{ForwardResult, Forwarder, Forwarders};
use serving::{EngineId, ServiceName};

const ENGINE: &str = "engine-1";

fn engine() -> EngineId {
    EngineId::from(ENGINE)
}

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn service() -> ServiceName {
    ServiceName::from("pool")
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_380))
}

fn candidates(near: u8, far: u8) -> Vec<Forwarder> {
    (1..=near + far)
        .map(|number| Forwarder {
            address: address(number),
            near: number <= near,
            leaving: false,
        })
        .collect()
}

/// Guards against asking only instances of a data centre that is cut off as a whole.
#[test]
fn instances_of_other_data_centres_are_asked_too() {
    let order = Forwarders::default().order(
        address(99),
        ENGINE,
        &service(),
        &candidates(10, 10),
        at(1_000),
    );
    assert_eq!(order.len(), 4);
    assert!(order[..2].iter().all(|asked| *asked <= address(10)));
    assert!(order[2..].iter().all(|asked| *asked > address(10)));
}

#[test]
fn the_instance_that_sent_a_call_is_asked_first() {
    let mut forwarders = Forwarders::default();
    forwarders.record(
        address(1),
        &engine(),
        &service(),
        ForwardResult::Failed,
        at(900),
    );
    forwarders.record(
        address(15),
        &engine(),
        &service(),
        ForwardResult::Sent,
        at(900),
    );
    let order = forwarders.order(
        address(99),
        ENGINE,
        &service(),
        &candidates(10, 10),
        at(1_000),
    );
    assert_eq!(order[0], address(15));
    assert!(!order.contains(&address(1)));
    let later = forwarders.order(
        address(99),
        ENGINE,
        &service(),
        &candidates(1, 0),
        at(3_000),
    );
    assert_eq!(later.as_slice(), [address(1)]);
}

/// Guards against asking an instance again and again that reaches the engines of other services only.
#[test]
fn an_instance_that_lacks_a_service_is_asked_for_others_only() {
    let mut forwarders = Forwarders::default();
    let other = ServiceName::from("app");
    forwarders.record(address(1), &engine(), &other, ForwardResult::Sent, at(900));
    forwarders.record(
        address(1),
        &engine(),
        &service(),
        ForwardResult::Isolated,
        at(950),
    );
    let all = candidates(2, 0);
    let order = forwarders.order(address(99), ENGINE, &service(), &all, at(1_000));
    assert_eq!(order.as_slice(), [address(2)]);
    let order = forwarders.order(address(99), ENGINE, &other, &all, at(1_000));
    assert_eq!(order[0], address(1));
}

/// Guards against the calls of many isolated instances that all go to the same one.
#[test]
fn isolated_instances_spread_their_calls() {
    let all = candidates(30, 0);
    let mut asked = [0; 31];
    for own in 100..=255 {
        let order = Forwarders::default().order(address(own), ENGINE, &service(), &all, at(1_000));
        let [.., number] = match order[0] {
            SocketAddr::V4(first) => first.ip().octets(),
            SocketAddr::V6(_) => unreachable!("all addresses are of version 4"),
        };
        asked[usize::from(number)] += 1;
    }
    assert!(asked.iter().all(|count| *count <= 14), "{asked:?}");
}

/// Guards against asking an instance for each call again that has just said that it does not reach the
/// engine.
#[test]
fn an_instance_that_does_not_reach_an_engine_is_asked_for_others_only() {
    let mut forwarders = Forwarders::default();
    let declined = ForwardResult::EngineUnreachable;
    forwarders.record(address(1), &engine(), &service(), declined, at(900));
    let all = candidates(1, 0);
    let order = |engine, now| forwarders.order(address(99), engine, &service(), &all, at(now));
    assert!(order(ENGINE, 1_000).is_empty());
    assert!(forwarders.is_declined(ENGINE, at(1_000)));
    assert_eq!(order("engine-2", 1_000).as_slice(), [address(1)]);
    assert_eq!(order(ENGINE, 1_900).as_slice(), [address(1)]);
}

/// Guards against leaving the only instance with paths alone for seconds after it has restarted.
#[test]
fn an_instance_that_refuses_at_once_is_asked_again_soon() {
    let mut forwarders = Forwarders::default();
    let result = ForwardResult::Busy;
    forwarders.record(address(1), &engine(), &service(), result, at(1_000));
    let all = candidates(1, 0);
    let order = |now| forwarders.order(address(99), ENGINE, &service(), &all, at(now));
    assert!(order(1_200).is_empty());
    assert_eq!(order(1_250).as_slice(), [address(1)]);
}

/// Guards against calls that are cut off by the end of an instance while another one stays.
#[test]
fn leaving_instances_are_asked_last() {
    let mut all = candidates(2, 1);
    for other in &mut all[..2] {
        other.leaving = true;
    }
    let order = Forwarders::default().order(address(99), ENGINE, &service(), &all, at(1_000));
    assert_eq!(order[0], address(3));
    assert_eq!(order.len(), 3);
}

/// Guards against leaving an instance alone for what the process before it answered or missed.
#[test]
fn a_restarted_instance_is_asked_at_once() {
    let results = [
        ForwardResult::Isolated,
        ForwardResult::EngineUnreachable,
        ForwardResult::Busy,
        ForwardResult::Failed,
    ];
    for result in results {
        let mut forwarders = Forwarders::default();
        forwarders.record(address(1), &engine(), &service(), result, at(1_000));
        let all = candidates(1, 0);
        let order = |forwarders: &Forwarders| {
            forwarders.order(address(99), ENGINE, &service(), &all, at(1_001))
        };
        assert!(order(&forwarders).is_empty(), "{result:?}");
        forwarders.on_restarted(address(1));
        assert_eq!(order(&forwarders).as_slice(), [address(1)], "{result:?}");
    }
}
