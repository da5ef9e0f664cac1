//! Records of engines that come, change and lapse.

mod common;

use common::{ms, record};
use serving::registry::{Change, Registry};
use serving::{Fleet, Stage, State};

fn known() -> (Registry, Fleet) {
    let (mut registry, mut fleet) = (Registry::default(), Fleet::default());
    registry.heard(ms(1_000));
    registry.put(&mut fleet, record("a", Some(Stage::Decode)));
    registry.put(&mut fleet, record("b", Some(Stage::Decode)));
    (registry, fleet)
}

#[test]
fn a_record_that_lapses_takes_its_engine_away() {
    let (mut registry, mut fleet) = known();
    registry.heard(ms(1_400));
    assert_eq!(registry.remove(&mut fleet, "a", ms(1_400)), Change::Removed);
    assert!(fleet.get("a").is_none());
}

/// Symptom: in the second after an outage of the store every call is refused for want of engines.
/// Sequence: the store is away for four seconds, no engine can renew its record, all records
/// lapse; at its return the instance reads the lapses before the new records. Cause: a lapse was
/// believed although nobody could have renewed.
#[test]
fn lapses_right_after_an_outage_are_doubted() {
    let (mut registry, mut fleet) = known();
    registry.heard(ms(5_000));
    assert_eq!(registry.remove(&mut fleet, "a", ms(5_010)), Change::Doubted);
    assert_eq!(registry.remove(&mut fleet, "b", ms(5_010)), Change::Doubted);
    registry.put(&mut fleet, record("a", Some(Stage::Decode)));
    assert!(registry.expire(&mut fleet, ms(6_900)).is_empty());
    assert_eq!(registry.expire(&mut fleet, ms(7_300)).len(), 1);
    assert!(fleet.get("a").is_some());
    assert!(fleet.get("b").is_none());
}

#[test]
fn an_engine_that_had_said_that_it_leaves_is_believed() {
    let (mut registry, mut fleet) = known();
    let mut leaving = record("a", Some(Stage::Decode));
    leaving.state = State::Draining;
    registry.put(&mut fleet, leaving);
    registry.heard(ms(5_000));
    assert_eq!(registry.remove(&mut fleet, "a", ms(5_010)), Change::Removed);
}

/// Symptom: leaving engines get requests for two seconds too long, on instances that do not read the
/// store themselves. Sequence: such an instance hears of changes only, minutes apart; each of them looked
/// like the first word after an outage. Cause: what the readers say of their own reads was not
/// counted as the store's word.
#[test]
fn reads_of_other_instances_count_as_the_stores_word() {
    let (mut registry, mut fleet) = known();
    for at in (1_000..60_000).step_by(700) {
        registry.heard(ms(at));
    }
    assert_eq!(
        registry.remove(&mut fleet, "a", ms(60_000)),
        Change::Removed
    );
}

#[test]
fn the_same_record_from_several_sources_is_news_once() {
    let (mut registry, _) = known();
    assert!(registry.is_news("a", 5));
    assert!(!registry.is_news("a", 5));
    assert!(!registry.is_news("a", 4));
    assert!(registry.is_news("a", 6));
}

#[test]
fn two_that_know_the_same_have_the_same_digest() {
    let (mut one, mut fleet) = known();
    let (other, _) = known();
    assert_eq!(one.digest(), other.digest());
    one.remove(&mut fleet, "a", ms(1_100));
    assert_ne!(one.digest(), other.digest());
}

#[test]
fn what_is_missing_from_all_records_is_gone() {
    let (mut registry, mut fleet) = known();
    let changes = registry.replace(
        &mut fleet,
        vec![record("a", Some(Stage::Decode))],
        ms(1_100),
    );
    assert_eq!(changes, 1);
    assert!(fleet.get("b").is_none());
}
