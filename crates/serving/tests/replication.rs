//! Which instances hold the records of all engines, and what an instance that does not hold them
//! forgets.

mod common;

use std::time::Duration;

use common::record;
use serving::registry::Registry;
use serving::replication::{Growth, holds_all, may_hold_all, transfer_time};
use serving::{Fleet, Stage};

#[test]
fn slow_links_hold_all_of_a_small_fleet_only() {
    assert!(holds_all(10.0, 160));
    assert!(holds_all(20.0, 3_000));
    assert!(!holds_all(20.0, 10_000));
    assert!(holds_all(1_000.0, 20_000));
}

/// Guards against transfers that keep a link busy: at any number of engines an instance that takes
/// them all has them within a moment.
#[test]
fn transfers_stay_short_at_any_size() {
    for engines in [100, 1_000, 10_000, 20_000, 100_000] {
        for link_mbps in [1.0, 10.0, 20.0, 200.0, 1_000.0, 10_000.0] {
            if may_hold_all(link_mbps, engines) {
                assert!(transfer_time(link_mbps, engines) < Duration::from_millis(700));
            }
        }
    }
}

/// Guards against a change of mind with each engine that comes or goes.
#[test]
fn a_holder_keeps_its_records_a_little_longer() {
    let limit = (1..)
        .find(|engines| !holds_all(20.0, *engines))
        .expect("a link has a limit");
    assert!(may_hold_all(20.0, limit));
    assert!(may_hold_all(20.0, limit + limit / 10));
    assert!(!may_hold_all(20.0, limit * 2));
}

#[test]
fn a_forgotten_record_may_be_read_again_from_the_same_position() {
    let (mut fleet, mut registry) = (Fleet::default(), Registry::default());
    let engine = record("e-1", Some(Stage::Decode));
    assert!(registry.is_newer("e-1", 7));
    registry.put(&mut fleet, engine.clone());
    let other = record("e-2", None);
    registry.put(&mut fleet, other);
    let with_both = registry.topic_state().digest;
    registry.forget(&mut fleet, "e-1");
    assert!(fleet.get("e-1").is_none());
    assert_eq!(registry.count(), 1);
    assert_ne!(registry.topic_state().digest, with_both);
    assert!(registry.is_newer("e-1", 7));
    registry.put(&mut fleet, engine);
    assert_eq!(registry.topic_state().digest, with_both);
}

/// Guards against a start in which all instances take the records of the first engines, and the news of
/// all later ones.
#[test]
fn the_number_of_engines_settles_once_it_stays() {
    let mut growth = Growth::default();
    let at = Duration::from_millis;
    for step in 0..10 {
        assert!(!growth.observe(1_000 + 1_000 * step, at(500 * step as u64)));
    }
    assert!(!growth.observe(10_100, at(6_000)));
    assert!(growth.observe(10_200, at(6_600)));
    assert!(growth.observe(9_000, at(7_000)));
}
