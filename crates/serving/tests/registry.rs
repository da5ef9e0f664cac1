//! Records of engines that are added, change and lapse.

mod common;

use common::{id, ms, prompt, record};
use serving::engine::{Record, Work};
use serving::hash;
use serving::health::Outcome;
use serving::registry::{Change, Registry};
use serving::{Fleet, Stage, State};

fn two_engines() -> (Registry, Fleet) {
    let (mut registry, mut fleet) = (Registry::default(), Fleet::default());
    registry.store_answered(ms(1_000));
    registry.put(&mut fleet, record("a", Some(Stage::Decode)));
    registry.put(&mut fleet, record("b", Some(Stage::Decode)));
    (registry, fleet)
}

#[test]
fn a_lapsed_record_removes_its_engine() {
    let (mut registry, mut fleet) = two_engines();
    registry.store_answered(ms(1_400));
    assert_eq!(registry.remove(&mut fleet, "a", ms(1_400)), Change::Removed);
    assert!(fleet.get("a").is_none());
}

/// Guards against refusing every call for a second after an outage: the store is away for four
/// seconds, all records lapse because none can be renewed, and the instance reads the lapses before
/// the new records.
#[test]
fn lapses_right_after_an_outage_are_doubted() {
    let (mut registry, mut fleet) = two_engines();
    registry.store_answered(ms(5_000));
    assert_eq!(registry.remove(&mut fleet, "a", ms(5_010)), Change::Doubted);
    assert_eq!(registry.remove(&mut fleet, "b", ms(5_010)), Change::Doubted);
    registry.put(&mut fleet, record("a", Some(Stage::Decode)));
    assert!(registry.expire(&mut fleet, ms(6_900)).is_empty());
    assert_eq!(registry.expire(&mut fleet, ms(7_300)).len(), 1);
    assert!(fleet.get("a").is_some());
    assert!(fleet.get("b").is_none());
}

#[test]
fn a_draining_engine_is_removed_without_doubt() {
    let (mut registry, mut fleet) = two_engines();
    let mut leaving = record("a", Some(Stage::Decode));
    leaving.state = State::Draining;
    registry.put(&mut fleet, leaving);
    registry.store_answered(ms(5_000));
    assert_eq!(registry.remove(&mut fleet, "a", ms(5_010)), Change::Removed);
}

/// A registry of an instance that has read a log which grows by 20 records a second until 11 s.
fn steady_registry() -> (Registry, Fleet) {
    let (mut registry, mut fleet) = (Registry::default(), Fleet::default());
    for at in (1_000..=11_000).step_by(400) {
        registry.store_read(at / 50, ms(at));
    }
    registry.put(&mut fleet, record("a", Some(Stage::Decode)));
    registry.put(&mut fleet, record("b", Some(Stage::Decode)));
    (registry, fleet)
}

/// Guards against calls to engines that left while only the instances could not reach the store:
/// the other engines renewed their records, as the growth of the log shows.
#[test]
fn a_record_that_went_while_others_were_renewed_is_believed_to_be_gone() {
    let (mut registry, mut fleet) = steady_registry();
    let silence = registry.store_read(14_000 / 50, ms(14_000));
    assert!(silence.is_some_and(|silence| silence.engines_renewed));
    assert_eq!(
        registry.remove(&mut fleet, "a", ms(14_000)),
        Change::Removed
    );
}

/// Guards against refusing calls after an outage in which all records lapsed: the deletions and the
/// first records of engines that are back make the log grow, but not by as much as heartbeats do.
#[test]
fn lapses_are_doubted_although_deletions_and_returns_make_the_log_grow() {
    let (mut registry, mut fleet) = steady_registry();
    let (engines, last) = (20, 11_000 / 50);
    let silence = registry.store_read(last + 2 * engines, ms(15_500));
    assert!(silence.is_some_and(|silence| !silence.engines_renewed));
    assert_eq!(
        registry.remove(&mut fleet, "a", ms(15_500)),
        Change::Doubted
    );
}

/// Guards against calls to leaving engines, for two seconds, from instances that do not read the
/// store: they hear of changes only minutes apart, and each looked like the first answer after an
/// outage because the reads of others did not count.
#[test]
fn reads_of_other_instances_count_as_store_answers() {
    let (mut registry, mut fleet) = two_engines();
    for at in (1_000..60_000).step_by(700) {
        registry.store_answered(ms(at));
    }
    assert_eq!(
        registry.remove(&mut fleet, "a", ms(60_000)),
        Change::Removed
    );
}

#[test]
fn the_same_record_from_several_sources_is_new_once() {
    let (mut registry, _) = two_engines();
    assert!(registry.is_newer("a", 5));
    assert!(!registry.is_newer("a", 5));
    assert!(!registry.is_newer("a", 4));
    assert!(registry.is_newer("a", 6));
}

#[test]
fn equal_records_have_equal_digests() {
    let (mut one, mut fleet) = two_engines();
    let (other, _) = two_engines();
    assert_eq!(one.topic_state().digest, other.topic_state().digest);
    one.remove(&mut fleet, "a", ms(1_100));
    assert_ne!(one.topic_state().digest, other.topic_state().digest);
}

#[test]
fn engines_missing_from_a_full_list_are_removed() {
    let (mut registry, mut fleet) = two_engines();
    let changes = registry.replace(
        &mut fleet,
        vec![record("a", Some(Stage::Decode))],
        ms(1_100),
    );
    assert_eq!(changes, [("b".into(), Change::Removed)]);
    assert!(fleet.get("b").is_none());
}

/// The record of one start of an engine.
fn start_record(name: &str, born: u64) -> Record {
    let mut record = record(&format!("{name}.{born}"), Some(Stage::Decode));
    record.name = name.into();
    record.started_ms = Some(born);
    record
}

fn running_calls(fleet: &Fleet, id: &str) -> Option<u32> {
    fleet.get(id).map(|engine| engine.running_calls())
}

/// Guards against applying state of a previous start to an engine that crashed and restarted under
/// its name before its record lapsed: its calls, cached parts and failures counted on.
#[test]
fn a_restarted_engine_has_no_cache_calls_or_failures() {
    let (mut registry, mut fleet) = two_engines();
    registry.put(&mut fleet, start_record("e", 10));
    let sent = fleet.begin_call(&id("e.10"), 5_000, 0, ms(1_200));
    fleet.cache_parts(&id("e.10"), &prompt(&[(7, 900)]), 400_000, ms(1_200));
    fleet.apply_all_work(
        1,
        vec![(
            id("e.10"),
            Work {
                calls: 9,
                ..Work::default()
            },
        )],
        ms(1_200),
    );
    assert_eq!(registry.put(&mut fleet, start_record("e", 20)), Change::Put);
    assert_eq!(running_calls(&fleet, "e.20"), Some(0));
    assert_eq!(
        fleet.parts.cached_tokens(&id("e.20"), &prompt(&[(7, 900)])),
        0
    );
    // The call ends at the start that it was sent to.
    fleet.end_call(&sent, Some(Outcome::Failed), ms(1_300));
    assert_eq!(running_calls(&fleet, "e.20"), Some(0));
    assert!(
        fleet
            .get("e.20")
            .is_some_and(|engine| engine.health.is_available(ms(1_300)))
    );
    assert_eq!(running_calls(&fleet, "e.10"), None);
}

/// Guards against counting work at a restarted engine that an instance still reports for the
/// previous start: frames named the engine and not its start.
#[test]
fn reports_about_the_previous_start_do_not_apply_to_the_new_one() {
    let (mut registry, mut fleet) = two_engines();
    registry.put(&mut fleet, start_record("e", 10));
    let previous_hash = hash::hash32("e.10");
    registry.put(&mut fleet, start_record("e", 20));
    assert_eq!(fleet.by_hash(previous_hash), None);
    assert_eq!(fleet.by_hash(hash::hash32("e.20")), Some(id("e.20")));
}

/// Guards against calls to an address that nobody listens on: a heartbeat of the previous start
/// reaches the store after the first one of the new start, and the last record to arrive counted.
#[test]
fn a_late_record_of_the_previous_start_is_ignored() {
    let (mut registry, mut fleet) = two_engines();
    registry.put(&mut fleet, start_record("e", 10));
    registry.put(&mut fleet, start_record("e", 20));
    let digest = registry.topic_state().digest;
    assert_eq!(
        registry.put(&mut fleet, start_record("e", 10)),
        Change::None
    );
    assert_eq!(registry.topic_state().digest, digest);
    assert_eq!(running_calls(&fleet, "e.20"), Some(0));
    assert_eq!(running_calls(&fleet, "e.10"), None);
    registry.remove(&mut fleet, "e", ms(1_400));
    assert_eq!(
        registry.put(&mut fleet, start_record("e", 10)),
        Change::None
    );
}

#[test]
fn a_restarted_engine_is_no_longer_doubted() {
    let (mut registry, mut fleet) = two_engines();
    registry.put(&mut fleet, start_record("e", 10));
    registry.store_answered(ms(5_000));
    assert_eq!(registry.remove(&mut fleet, "e", ms(5_010)), Change::Doubted);
    registry.put(&mut fleet, start_record("e", 20));
    assert!(registry.expire(&mut fleet, ms(9_000)).is_empty());
    assert_eq!(running_calls(&fleet, "e.20"), Some(0));
    assert_eq!(running_calls(&fleet, "e.10"), None);
}

/// Guards against keeping an engine whose record was overwritten by another writer: the unreadable
/// entry was skipped, so the previous record remained in force and the entry was logged at each
/// read.
#[test]
fn an_unreadable_entry_removes_the_engine_and_is_reported_once() {
    let (mut registry, mut fleet) = two_engines();
    assert!(registry.mark_unreadable(&mut fleet, "a"));
    assert!(!registry.mark_unreadable(&mut fleet, "a"));
    assert!(fleet.get("a").is_none());
    assert!(fleet.get("b").is_some());
    assert!(registry.expire(&mut fleet, ms(9_000)).is_empty());
    assert_eq!(
        registry.put(&mut fleet, record("a", Some(Stage::Decode))),
        Change::Put
    );
    assert!(fleet.get("a").is_some());
    assert!(registry.mark_unreadable(&mut fleet, "a"));
}

/// Guards against calls to an engine that is leaving, and to one that has ended, after the store
/// was restored from an older copy: the copy was believed over what was known.
#[test]
fn a_restored_store_does_not_revive_leaving_engines() {
    let (mut registry, mut fleet) = two_engines();
    let ready = |name| record(name, Some(Stage::Decode));
    let mut leaving = ready("a");
    leaving.state = State::Draining;
    registry.put(&mut fleet, leaving);
    registry.remove(&mut fleet, "b", ms(1_200));
    registry.store_answered(ms(1_500));
    registry.store_rolled_back(ms(1_500));
    registry.replace(&mut fleet, vec![ready("a"), ready("b")], ms(1_500));
    assert_eq!(fleet.get("a").unwrap().record.state, State::Draining);
    assert!(fleet.get("b").is_none());
    // A record written after the copy's records have lapsed comes from the engine itself.
    registry.store_answered(ms(6_600));
    registry.put(&mut fleet, ready("b"));
    assert!(fleet.get("b").is_some());
}

/// Guards against dropping engines that had just registered when the store was restored from an
/// older copy: they were treated as gone although none had time to register again.
#[test]
fn an_engine_missing_from_a_restored_store_is_doubted() {
    let (mut registry, mut fleet) = two_engines();
    registry.store_answered(ms(1_500));
    registry.store_rolled_back(ms(1_500));
    registry.replace(
        &mut fleet,
        vec![record("a", Some(Stage::Decode))],
        ms(1_500),
    );
    assert!(fleet.get("b").is_some());
    registry.put(&mut fleet, record("b", Some(Stage::Decode)));
    assert!(registry.expire(&mut fleet, ms(4_000)).is_empty());
    assert!(fleet.get("b").is_some());
}

/// Guards against reviving an engine by a late frame: a record that another instance had sent before
/// all records were read counted as new, since its name was not among them.
#[test]
fn a_record_older_than_a_full_read_does_not_bring_its_engine_back() {
    let (mut registry, mut fleet) = two_engines();
    assert!(registry.is_newer("b", 7));
    registry.read_all_up_to(20);
    registry.replace(
        &mut fleet,
        vec![record("a", Some(Stage::Decode))],
        ms(1_100),
    );
    assert!(!registry.is_newer("b", 8));
    assert!(registry.is_newer("b", 20));
}

/// Guards against doubting a removal at every instance that hears of it: the one that read it has
/// decided that already.
#[test]
fn a_removal_that_another_instance_believes_is_not_doubted() {
    let (mut registry, mut fleet) = two_engines();
    registry.store_answered(ms(5_000));
    assert_eq!(registry.remove(&mut fleet, "a", ms(5_010)), Change::Doubted);
    assert_eq!(
        registry.remove_announced(&mut fleet, "a", ms(5_020)),
        Change::Removed
    );
    assert!(registry.expire(&mut fleet, ms(9_000)).is_empty());
}

/// Guards against an announcement and a log line for each heartbeat of a leaving engine, at all
/// instances: the time that it still has shrinks with each.
#[test]
fn the_time_that_a_leaving_engine_still_has_is_no_change() {
    let mut fleet = Fleet::default();
    let leaving = |ms: Option<f64>| Record {
        state: State::Draining,
        notice: ms.map(|ms| ms.try_into().expect("it is valid")),
        ..record("e1", None)
    };
    assert!(fleet.put(leaving(Some(5_000.0))));
    assert!(!fleet.put(leaving(Some(4_000.0))));
    assert!(!fleet.put(leaving(None)));
    let engine = fleet.get("e1").expect("it is known");
    assert_eq!(engine.record, leaving(Some(5_000.0)));
    assert!(!engine.takes_calls());
}
