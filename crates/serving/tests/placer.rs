//! The placers of a fleet, and the order in which they are asked.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use clock::Clock as _;
use common::ms;
use serving::placer::{
    Election, Member, PLACERS_PER_ZONE, Placers, ZoneHash, ask_order, is_current,
};
use serving::receipt::Inbox;

const NOW: Duration = Duration::from_secs(10);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn member(number: u16, place: ZoneHash, lives: bool) -> Member {
    Member {
        address: address(number),
        zone: place,
        order: u64::from(number),
        alive: lives,
    }
}

fn placers_seen_by(own: u16, others: &[Member]) -> Placers {
    Election::default().update(&member(own, 1, true), others, NOW)
}

fn numbers(placers: &Placers) -> Vec<u16> {
    placers
        .others
        .iter()
        .map(|(address, _)| address.port())
        .collect()
}

#[test]
fn two_instances_of_each_data_centre_place() {
    let others = [1, 2, 3].map(|n| member(n, 1, true));
    let far = [11, 12, 13].map(|n| member(n, 2, true));
    let placers = placers_seen_by(9, &[&others[..], &far].concat());
    assert!(!placers.includes_self);
    assert_eq!(numbers(&placers), [1, 2, 11, 12]);
}

/// With two instances per data centre, each places its own calls.
#[test]
fn in_a_small_fleet_all_instances_place() {
    let placers = placers_seen_by(
        2,
        &[member(1, 1, true), member(11, 2, true), member(12, 2, true)],
    );
    assert!(placers.includes_self);
    assert_eq!(numbers(&placers), [1, 11, 12]);
}

/// Guards against many placers at once: after a placer ended, fifty instances that do not hear from
/// each other all filled the vacancy, and each call was announced to half of the fleet for a
/// second.
#[test]
fn instances_fill_a_vacancy_one_after_the_other() {
    let others: Vec<Member> = (2..50).map(|n| member(n, 1, false)).collect();
    let with_one = [vec![member(1, 1, true)], others].concat();
    let begins_after = |own: u16| {
        let others: Vec<Member> = with_one
            .iter()
            .filter(|m| m.order != u64::from(own))
            .copied()
            .collect();
        let mut election = Election::default();
        let mut looks = (0..).step_by(50);
        let begins = looks.find(|after| {
            election
                .update(&member(own, 1, true), &others, NOW + ms(*after))
                .includes_self
        });
        begins.expect("every instance starts eventually")
    };
    assert_eq!(begins_after(2), 0);
    assert_eq!(begins_after(3), 150);
    assert!(begins_after(40) > 5_000);
}

#[test]
fn a_placer_stops_when_it_hears_of_preceding_ones() {
    let mut election = Election::default();
    let own = member(9, 1, true);
    assert!(election.update(&own, &[], NOW).includes_self);
    let others = [1, 2].map(|n| member(n, 1, true));
    assert!(!election.update(&own, &others, NOW + ms(100)).includes_self);
    assert_eq!(others.len(), PLACERS_PER_ZONE);
}

/// Guards against placing blindly while links are up: both placers of a data centre end at once,
/// and only those were asked.
#[test]
fn placers_of_the_own_data_centre_are_asked_first() {
    let placers = [
        (address(1), 1),
        (address(2), 1),
        (address(11), 2),
        (address(12), 2),
    ];
    let asked = |beginning| ask_order(&placers, 1, beginning);
    assert_eq!(asked(0), [1, 2, 11, 12].map(address));
    assert_eq!(asked(1), [2, 1, 12, 11].map(address));
    assert_eq!(ask_order(&placers, 3, 0).len(), 4);
}

/// Guards against calls to an engine that left while the instance was stopped, by a placement that waited.
#[test]
fn a_placement_that_waited_through_a_stop_does_not_count() {
    let drain = ms(2_000);
    let clock = clock::Manual::new();
    let inbox = Inbox::new(clock.now());
    let asked = clock.now();
    clock.advance(ms(20));
    let now = clock.now();
    assert!(is_current(asked, drain, now));
    assert!(is_current(inbox.receipt(now).arrived, drain, now));
    clock.advance(ms(2_500));
    let now = clock.now();
    assert!(!is_current(asked, drain, now));
    assert!(!is_current(inbox.receipt(now).arrived, drain, now));
}
