//! Which software versions a service had lately, at instances that start, wake or go on.

mod common;

use std::ops::RangeInclusive;
use std::rc::Rc;
use std::slice;
use std::time::Duration;

use clock::Moment;
use common::{ms, service};
use serving::claim::Era;
use serving::origin::Software;
use serving::version_history::{RETENTION, Record, VersionHistory, Versions};

/// True time at which the instances of these tests start.
const STARTED: Duration = Duration::from_secs(1_800_000_000);

/// Era of the store at the start.
const ERA: Era = 3;

fn versions(names: &[&str]) -> Versions {
    names.iter().map(|name| Software::from(*name)).collect()
}

fn record(names: &[&str], changed: Duration) -> Record {
    Record {
        service: service(),
        versions: versions(names),
        changed,
        era: ERA,
    }
}

/// An instance with its history.
struct Instance(VersionHistory);

impl Instance {
    /// The first one of all.
    fn first() -> Self {
        let mut history = VersionHistory::new(true);
        history.on_store_era(ERA, ms(0));
        Self(history)
    }

    /// One that starts and has not read the list of instances.
    fn start_unlisted() -> Self {
        let mut history = VersionHistory::new(false);
        history.on_store_era(ERA, ms(0));
        Self(history)
    }

    /// One that starts while other instances are registered and the store holds `recorded`.
    fn start(recorded: Option<Record>) -> Self {
        let mut instance = Self::start_unlisted();
        instance.0.on_instances_listed(false, ms(0));
        if let Some(record) = recorded {
            instance.0.on_record(record, ms(0), STARTED);
        }
        instance
    }

    /// Lists engines of these versions. Returns whether streams that began before are to be announced.
    fn list(&mut self, names: &[&str], at: Moment) -> bool {
        let listed = versions(names);
        self.0.observe(&service(), listed.iter(), at, STARTED + at)
    }

    /// Keeps the list of engines as new as the store's.
    fn follow(&mut self, times: RangeInclusive<Moment>) {
        let mut now = *times.start();
        while now <= *times.end() {
            self.0.on_list_current(now, now);
            now += ms(1_000);
        }
    }

    fn sole(&self, at: Moment) -> Option<String> {
        self.0.sole(&service(), at).map(ToString::to_string)
    }

    fn unrecorded(&self, at: Moment) -> Vec<Record> {
        self.0.unrecorded(at)
    }

    fn has_several(&self, at: Moment) -> bool {
        self.0.has_several(&service(), at)
    }
}

/// Guards against taking the list of a start for the whole story, and against refusing where the store tells
/// that nothing has changed.
#[test]
fn an_instance_that_starts_believes_a_list_only_if_the_store_agrees_with_it() {
    let long_ago = STARTED - RETENTION;
    let lately = STARTED - ms(5_000);
    let ahead = STARTED + ms(4_000);
    let both = ["v1", "v2"];
    let cases = [
        ("never changed", Some(record(&["v1"], ms(0))), true),
        ("unchanged", Some(record(&["v1"], long_ago)), true),
        ("another one left", Some(record(&both, lately)), false),
        ("both served", Some(record(&both, long_ago)), false),
        ("replaced", Some(record(&["v2"], long_ago)), false),
        ("changed lately", Some(record(&["v1"], lately)), false),
        ("a clock ahead", Some(record(&["v1"], ahead)), false),
        ("nothing recorded", None, false),
        (
            "from a copy of the store",
            Some(Record {
                era: ERA - 1,
                ..record(&["v1"], long_ago)
            }),
            false,
        ),
    ];
    for (name, recorded, is_believed) in cases {
        let mut instance = Instance::start(recorded);
        instance.list(&["v1"], ms(100));
        let expected = is_believed.then(|| "v1".to_owned());
        assert_eq!(instance.sole(ms(100)), expected, "{name}");
        let is_settled = instance.0.is_settled(&service(), ms(100));
        assert_eq!(is_settled, is_believed, "{name}");
        let later = ms(100) + RETENTION;
        assert_eq!(instance.sole(later), Some("v1".to_owned()), "{name}");
    }
}

/// Guards against refusals by all, now or after their ends, because of one instance that has just started.
#[test]
fn an_instance_without_a_record_knows_of_no_several_versions_and_records_none() {
    let mut instance = Instance::start(None);
    instance.list(&["v1"], ms(100));
    assert!(!instance.has_several(ms(100)));
    assert_eq!(instance.sole(ms(100)), None);
    // Another one may know for how long, and its record must not be replaced by a younger one.
    assert!(instance.unrecorded(ms(100)).is_empty());
    let later = ms(100) + RETENTION;
    let since = record(&["v1"], STARTED + ms(100));
    assert_eq!(instance.unrecorded(later), [since]);
}

#[test]
fn nothing_began_before_the_first_instance_of_all() {
    let mut first = Instance::first();
    first.list(&["v1"], ms(100));
    assert_eq!(first.sole(ms(100)).as_deref(), Some("v1"));
    assert_eq!(first.unrecorded(ms(100)), [record(&["v1"], ms(0))]);

    // The list of instances may be read after the engines.
    let mut alone = Instance::start_unlisted();
    alone.list(&["v1"], ms(100));
    assert_eq!(alone.sole(ms(100)), None);
    alone.0.on_instances_listed(true, ms(200));
    assert_eq!(alone.sole(ms(200)).as_deref(), Some("v1"));

    // What is added to the list later says nothing of those before.
    let mut later = Instance::start(None);
    later.0.on_instances_listed(true, ms(50));
    later.list(&["v1"], ms(100));
    assert_eq!(later.sole(ms(100)), None);
}

/// Guards against refusing everything where the record arrives after the engines.
#[test]
fn a_record_that_is_read_late_settles_what_was_unknown() {
    let mut instance = Instance::start(None);
    instance.list(&["v1"], ms(100));
    let recorded = record(&["v1"], ms(0));
    instance.0.on_record(recorded.clone(), ms(300), STARTED);
    assert_eq!(instance.sole(ms(300)).as_deref(), Some("v1"));

    let mut instance = Instance::start(None);
    instance.list(&["v2"], ms(100));
    instance.0.on_record(recorded, ms(300), STARTED);
    assert!(instance.has_several(ms(300)));
}

/// Guards against mixing where an instance was frozen while both versions served, or all engines of the first
/// had ended before the second one came.
#[test]
fn versions_that_follow_each_other_without_overlap_count_as_several() {
    let mut instance = Instance::first();
    instance.list(&["v1"], ms(0));
    instance.list(&[], ms(60_000));
    assert_eq!(instance.sole(ms(60_000)).as_deref(), Some("v1"));
    assert!(instance.list(&["v2"], ms(61_000)));
    assert_eq!(instance.sole(ms(61_000)), None);
    assert!(instance.has_several(ms(90_000)));
    assert_eq!(instance.sole(ms(91_000)).as_deref(), Some("v2"));
}

/// Guards against mixing after a rollback.
#[test]
fn a_version_that_comes_back_is_believed_once_streams_of_the_other_have_ended() {
    let mut instance = Instance::first();
    instance.list(&["v1"], ms(0));
    assert!(instance.list(&["v1", "v2"], ms(40_000)));
    assert!(!instance.list(&["v1"], ms(45_000)));
    let changed = record(&["v1"], STARTED + ms(45_000));
    assert_eq!(instance.unrecorded(ms(45_000)), [changed]);
    assert_eq!(instance.sole(ms(74_999)), None);
    assert_eq!(instance.sole(ms(75_000)).as_deref(), Some("v1"));
}

#[test]
fn a_service_that_comes_later_has_no_streams_from_before() {
    let mut instance = Instance::start(None);
    let other = Rc::from("other");
    let listed = versions(&["v1"]);
    instance.0.observe(&other, listed.iter(), ms(0), STARTED);
    let at = RETENTION;
    instance.list(&["v2"], at);
    assert_eq!(instance.sole(at).as_deref(), Some("v2"));
}

/// Guards against writes that repeat what the store holds, and against leaving it behind.
#[test]
fn versions_are_recorded_when_they_change_and_after_the_store_went_back() {
    let mut instance = Instance::start(Some(record(&["v1"], ms(0))));
    assert!(instance.unrecorded(ms(400)).is_empty());
    instance.list(&["v1"], ms(100));
    assert!(instance.unrecorded(ms(400)).is_empty());
    instance.list(&["v1", "v2"], ms(200));
    let changed = record(&["v1", "v2"], STARTED + ms(200));
    assert_eq!(instance.unrecorded(ms(400)), slice::from_ref(&changed));
    // Another instance wrote it.
    let unix = STARTED + ms(300);
    instance.0.on_record(changed.clone(), ms(300), unix);
    assert!(instance.unrecorded(ms(400)).is_empty());
    instance.0.on_store_era(ERA + 1, ms(300));
    let again = Record {
        era: ERA + 1,
        ..changed
    };
    assert_eq!(instance.unrecorded(ms(400)), slice::from_ref(&again));
    // A write from before arrives.
    instance.0.on_recorded(record(&["v1", "v2"], again.changed));
    assert_eq!(instance.unrecorded(ms(400)), [again]);
    // A placer says that there are several, and not which.
    let mut caching = Instance::start(None);
    assert!(caching.0.on_several(&service(), ms(0)));
    assert!(!caching.0.on_several(&service(), ms(10)));
    assert!(caching.unrecorded(ms(20)).is_empty());
}

/// Guards against mixing at an instance that was stopped or cut off while another version came, began streams and
/// went, and against refusing for 30 s after each stop.
#[test]
fn a_list_after_a_gap_is_believed_only_if_the_records_after_it_agree() {
    let at = |seconds: u64| ms(seconds * 1_000);
    let woken = |records: &[Record], read_at: Moment| {
        let mut instance = Instance::start(Some(record(&["v1"], Duration::ZERO)));
        instance.list(&["v1"], at(1));
        instance.0.on_list_current(at(1), at(1));
        instance.0.on_list_current(at(3), at(3));
        assert!(!instance.0.has_gap());
        assert_eq!(instance.sole(at(3)).as_deref(), Some("v1"));
        instance.0.on_list_current(at(6), at(6));
        assert!(instance.0.records_due(Duration::ZERO, at(6)));
        instance.list(&["v1"], at(6));
        assert!(instance.0.has_gap());
        assert_eq!(instance.sole(at(6)), None);
        for record in records {
            instance.0.on_record(record.clone(), at(6), STARTED + at(6));
        }
        instance
            .0
            .on_records_current(read_at, at(7), STARTED + at(7));
        instance
    };
    let unchanged = woken(&[], at(6));
    assert_eq!(unchanged.sole(at(7)).as_deref(), Some("v1"));
    assert!(!unchanged.0.has_gap());
    let mut read_before = woken(&[], at(5));
    read_before.follow(at(6)..=at(35));
    assert_eq!(read_before.sole(at(35)), None);
    assert_eq!(read_before.sole(at(36)).as_deref(), Some("v1"));
    let came_and_went = [
        record(&["v1", "v2"], STARTED + at(4)),
        record(&["v1"], STARTED + at(5)),
    ];
    let mut changed = woken(&came_and_went, at(6));
    assert_eq!(changed.sole(at(7)), None);
    changed.follow(at(6)..=at(35));
    assert!(changed.has_several(at(34)));
    assert_eq!(changed.sole(at(36)).as_deref(), Some("v1"));
}

/// Guards against a record of the only version, after a second one came and went that could not be written:
/// an instance that starts would go on with its streams at the first.
#[test]
fn a_version_that_went_before_it_was_recorded_is_known_to_an_instance_that_starts() {
    let mut instance = Instance::first();
    instance.list(&["v1"], ms(0));
    for record in instance.unrecorded(ms(500)) {
        instance.0.on_recorded(record);
    }
    let mut recorded = record(&["v1"], ms(0));
    let away = ms(0) + 2 * RETENTION;
    instance.list(&["v1", "v2"], away);
    instance.list(&["v1"], away + ms(1_500));
    if let Some(written) = instance.unrecorded(away + ms(2_000)).pop() {
        recorded = written;
    }
    let start = away + ms(3_000);
    let mut history = VersionHistory::new(false);
    history.on_store_era(ERA, start);
    history.on_instances_listed(false, start);
    history.on_record(recorded, start, STARTED + start);
    let mut next = Instance(history);
    next.list(&["v1"], start);
    assert_eq!(next.sole(start), None);
}

/// Guards against refusing all streams for 30 s where the store has come back from a copy after some seconds:
/// all instances have the same gap, and none of them writes the records that all wait for.
#[test]
fn a_store_that_comes_back_from_a_copy_leaves_the_only_version_known() {
    let mut instance = Instance::first();
    instance.list(&["v1"], ms(0));
    instance.0.on_list_current(ms(0), ms(0));
    for record in instance.unrecorded(ms(500)) {
        instance.0.on_recorded(record);
    }
    let back = ms(0) + 2 * RETENTION;
    instance
        .0
        .on_list_current(back - ms(2_500), back - ms(2_500));
    instance.0.on_store_era(ERA + 1, back);
    instance.0.on_list_current(back, back);
    instance.list(&["v1"], back);
    instance.0.on_records_current(back, back, STARTED + back);
    let mut now = back;
    while now < back + ms(5_000) {
        now += ms(500);
        instance.0.on_list_current(now, now);
        for record in instance.unrecorded(now) {
            instance.0.on_recorded(record);
        }
    }
    assert_eq!(instance.sole(now), Some("v1".to_owned()));
}

/// Guards against taking records that were read before a gap for those from after it.
#[test]
fn a_record_that_was_read_before_a_gap_does_not_end_it() {
    let mut instance = Instance::first();
    instance.list(&["v1"], ms(0));
    instance.0.on_list_current(ms(0), ms(0));
    let end = ms(60_000);
    instance.0.on_list_current(end - ms(3_000), end - ms(3_000));
    instance
        .0
        .on_records_current(end - ms(3_000), end, STARTED + end);
    instance.0.on_list_current(end, end);
    assert_eq!(instance.sole(end), None);
    // The answer to a read of the list of instances that was asked for before the gap.
    instance
        .0
        .on_record(record(&["v1"], ms(0)), end, STARTED + end);
    instance
        .0
        .on_records_current(end - ms(2_000), end, STARTED + end);
    assert!(instance.0.has_gap());
    assert_eq!(instance.sole(end), None);
}

/// Guards against telling nobody of the streams from before an outage of the store in which a second version came:
/// their holders know nothing once the instances that began them have gone.
#[test]
fn streams_from_before_a_gap_are_announced_as_the_second_version_is_listed_after_it() {
    let mut instance = Instance::first();
    instance.list(&["v1"], ms(0));
    instance.0.on_list_current(ms(0), ms(0));
    assert!(instance.0.is_settled(&service(), ms(500)));
    let mut is_announced = false;
    for at in [3_000, 3_100, 3_500, 4_000].map(ms) {
        instance.0.on_list_current(at, at);
        if instance.0.records_due(Duration::ZERO, at) {
            is_announced |= instance.list(&["v1", "v2"], at);
            let recorded = record(&["v1", "v2"], STARTED + at);
            instance.0.on_record(recorded, at, STARTED + at);
            instance.0.on_records_current(at, at, STARTED + at);
        }
        is_announced |= instance.list(&["v1", "v2"], at);
    }
    assert!(is_announced);
}

/// Guards against passing over, and writing over, the store's record of a version that came and went between two
/// reads of the engines.
#[test]
fn a_record_of_a_version_that_was_never_listed_here_is_believed() {
    let mut instance = Instance::first();
    instance.list(&["v1"], ms(0));
    for record in instance.unrecorded(ms(500)) {
        instance.0.on_recorded(record);
    }
    let now = 2 * RETENTION;
    let recorded = record(&["v1", "v2"], STARTED + now - ms(1_000));
    instance.0.on_record(recorded, now, STARTED + now);
    instance.list(&["v1"], now);
    for record in instance.unrecorded(now) {
        let changed = STARTED + now - record.changed;
        assert!(changed < RETENTION, "changed {changed:?} ago");
    }
    assert_eq!(instance.sole(now), None);
}

/// Guards against mixing at an instance that is stopped between its first read of the records and its first list
/// of engines: another version came, began streams and went meanwhile, and the records were read before it.
#[test]
fn a_first_list_long_after_the_records_is_not_believed_by_them() {
    let mut instance = Instance::start(Some(record(&["v1"], Duration::ZERO)));
    instance.0.on_records_current(ms(0), ms(0), STARTED);
    let woken = ms(10_000);
    instance.0.on_list_current(woken, woken);
    instance.list(&["v1"], woken);
    assert_eq!(instance.sole(woken), None);
}

/// Guards against mixing after a gap in which engines of a service were listed for the first time: what was recorded
/// before the gap, or that nothing was listed before it, says nothing of the versions that came and went in it.
#[test]
fn a_service_that_came_within_a_gap_is_not_believed_until_the_records_are_read() {
    let instances = [
        ("the first of all", Instance::first()),
        ("no record", Instance::start(None)),
        (
            "a record from before",
            Instance::start(Some(record(&["v1"], Duration::ZERO))),
        ),
    ];
    let woken = RETENTION + ms(10_000);
    let believed = instances.into_iter().filter_map(|(name, mut instance)| {
        let other = Rc::from("other");
        let listed = versions(&["v1"]);
        instance.0.observe(&other, listed.iter(), ms(0), STARTED);
        instance.follow(ms(0)..=RETENTION);
        instance.0.on_list_current(woken, woken);
        instance.list(&["v1"], woken);
        assert!(instance.0.has_gap());
        instance.sole(woken).map(|_| name)
    });
    let believed: Vec<&str> = believed.collect();
    assert_eq!(believed, [""; 0]);
}

/// Guards against taking an instance for the first of all because the list of instances is empty: all can have left
/// it, and the records beside it tell of versions that began streams.
#[test]
fn an_instance_beside_recorded_versions_is_not_the_first_of_all() {
    let lately = STARTED - ms(2_000);
    let mut instance = Instance::start_unlisted();
    instance
        .0
        .on_record(record(&["v1", "v2"], lately), ms(0), STARTED);
    instance.0.on_instances_listed(true, ms(0));
    instance.list(&["v1"], ms(100));
    assert_eq!(instance.sole(ms(100)), None);
}
