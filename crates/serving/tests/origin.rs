//! Memory of the software versions that began streams.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::slice;

use common::{fleet, id, ms, record, service};
use serving::fleet::Restart;
use serving::origin::{
    self, ASKED, Evidence, HOLDERS, Knowledge, Note, Origins, Software, Unresolved,
};
use serving::version_history::VersionHistory;
use serving::{Record, Stage};

fn version(name: &str) -> Software {
    Rc::from(name)
}

fn members(count: u8) -> Vec<SocketAddr> {
    let members = 0..count;
    let members = members.map(|number| SocketAddr::from(([10, 1, 0, number], 7_080)));
    members.collect()
}

fn draw(key: u64, members: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    origin::holders(key, members.iter().copied(), count).to_vec()
}

#[test]
fn streams_are_spread_over_instances_that_all_draw_alike() {
    let members = members(8);
    let reversed: Vec<SocketAddr> = members.iter().rev().copied().collect();
    let mut held: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for attempt in 0..800 {
        let key = origin::key("", "pool", &attempt.to_string());
        let holders = draw(key, &members, HOLDERS);
        assert_eq!(holders.len(), HOLDERS);
        assert_eq!(holders, draw(key, &reversed, HOLDERS));
        assert_eq!(holders, draw(key, &members, ASKED)[..HOLDERS]);
        for holder in holders {
            *held.entry(holder).or_default() += 1;
        }
    }
    assert!(
        held.len() == 8 && held.values().all(|held| (200..400).contains(held)),
        "{held:?}"
    );
}

/// Guards against losing streams where an instance comes or goes between two tries of a caller.
#[test]
fn a_changed_member_leaves_all_other_holders_among_those_asked() {
    let before = members(8);
    let after = members(9);
    for attempt in 0..100 {
        let key = origin::key("", "pool", &attempt.to_string());
        // The instance that begins the stream tells others.
        let told = draw(key, &before[..7], HOLDERS);
        let asked = draw(key, &after, ASKED);
        assert!(told.iter().all(|holder| asked.contains(holder)));
        let asked = draw(key, &before[1..], ASKED);
        let left = told.iter().filter(|holder| **holder != before[0]);
        assert!(left.clone().all(|holder| asked.contains(holder)));
    }
}

#[test]
fn organisations_and_services_may_use_the_same_attempt_ids() {
    let key = origin::key("a", "pool", "1");
    assert_ne!(key, origin::key("b", "pool", "1"));
    assert_ne!(key, origin::key("a", "other", "1"));
}

/// Guards against costs while a service has one version, and against losing streams that began before
/// the second one came.
#[test]
fn holders_are_told_only_while_versions_differ_and_then_of_earlier_streams_too() {
    let service = service();
    let mut versions = VersionHistory::new(true);
    let mut origins = Origins::default();
    let mut observe = |listed: &[&str], at| {
        let listed: Vec<Software> = listed.iter().map(|name| version(name)).collect();
        let is_new = versions.observe(&service, listed.iter(), at, at);
        (is_new, versions.is_settled(&service, at))
    };
    let (is_new, is_settled) = observe(&["v1"], ms(0));
    assert!(!is_new);
    let v1 = version("v1");
    let note = origins.begin(1, &service, &v1, ms(4_000), is_settled, ms(0));
    assert_eq!(note, None);
    assert_eq!(observe(&["v1", "v2"], ms(1_000)), (true, false));
    let unannounced = origins.unannounced(&service, ms(1_000));
    assert_eq!(unannounced.len(), 1);
    assert_eq!((unannounced[0].key, &*unannounced[0].software), (1, "v1"));
    let (is_new, is_settled) = observe(&["v1", "v2"], ms(2_000));
    assert!(!is_new);
    let v2 = version("v2");
    let note = origins.begin(2, &service, &v2, ms(4_000), is_settled, ms(2_000));
    assert!(note.is_some());
    // Streams of the version that has gone may still be resumed.
    assert_eq!(observe(&["v2"], ms(3_000)), (false, false));
    assert!(versions.has_several(&service, ms(31_000)));
    assert!(!versions.has_several(&service, ms(33_000)));
}

#[test]
fn streams_are_forgotten_once_their_callers_have_given_up() {
    let service = service();
    let mut origins = Origins::default();
    origins.begin(1, &service, &version("v1"), ms(4_000), true, ms(0));
    assert_eq!(origins.find(1, ms(8_000)), Some(version("v1")));
    // It was resumed, so that its caller waits on.
    origins.begin(1, &service, &version("v1"), ms(4_000), true, ms(8_000));
    origins.expire(ms(10_000));
    assert_eq!(origins.find(1, ms(16_000)), Some(version("v1")));
    origins.expire(ms(18_000));
    assert_eq!(origins.find(1, ms(18_000)), None);
}

/// Guards against memory that grows with the callers' attempts.
#[test]
fn the_number_of_remembered_streams_is_bounded() {
    let service = service();
    let mut origins = Origins::default();
    for key in 0..40_000 {
        let now = ms(key / 100);
        origins.begin(key, &service, &version("v1"), ms(4_000), true, now);
    }
    let known = (0..40_000).filter(|key| origins.find(*key, ms(400)).is_some());
    assert_eq!(known.count(), 16_384);
    assert!(origins.find(39_999, ms(400)).is_some());
}

/// Guards against guessing where instances lost a stream, and against refusing where there is nothing to
/// guess.
#[test]
fn a_version_is_told_by_a_note_or_by_being_the_only_one() {
    let noted = |name| Knowledge {
        software: Some(version(name)),
        is_mixed: true,
        sole: None,
        is_confirmed: false,
    };
    let sole = |name| Knowledge {
        sole: Some(version(name)),
        ..Knowledge::default()
    };
    let mixed = Knowledge {
        is_mixed: true,
        ..Knowledge::default()
    };
    let unknown = Knowledge::default();
    let resolve = |known: &[Knowledge]| {
        let (own, others) = known.split_first().expect("this instance is among them");
        origin::resolve(own, others, true)
    };
    assert_eq!(
        resolve(&[mixed.clone(), noted("v1"), unknown.clone()]),
        Ok((version("v1"), Evidence::Note))
    );
    assert_eq!(
        resolve(&[sole("v1"), noted("v2")]),
        Ok((version("v2"), Evidence::Note))
    );
    assert_eq!(
        resolve(&[noted("v1"), noted("v2")]),
        Err(Unresolved::Conflicting)
    );
    assert_eq!(
        resolve(&[sole("v1"), sole("v1"), unknown.clone()]),
        Ok((version("v1"), Evidence::OnlyVersion))
    );
    assert_eq!(
        resolve(&[sole("v1"), mixed]),
        Err(Unresolved::SeveralVersions)
    );
    assert_eq!(
        resolve(&[sole("v1"), sole("v2")]),
        Err(Unresolved::Conflicting)
    );
    assert_eq!(resolve(&[unknown]), Err(Unresolved::Unknown));
}

/// Guards against mixing at instances that have been stopped or cut off since before the second version came,
/// alone or together, and against refusing all while the store is away.
#[test]
fn an_old_list_is_believed_only_if_all_that_may_hold_a_note_answer() {
    let sole = |is_confirmed| Knowledge {
        sole: Some(version("v1")),
        is_confirmed,
        ..Knowledge::default()
    };
    let is_resolved = |own: Knowledge, others: &[Knowledge], is_complete| {
        let resolved = origin::resolve(&own, others, is_complete);
        resolved == Ok((version("v1"), Evidence::OnlyVersion))
    };
    let unknown = Knowledge::default();
    let one_answer = slice::from_ref(&unknown);
    assert!(is_resolved(sole(false), one_answer, true));
    assert!(!is_resolved(sole(false), &[], false));
    assert!(!is_resolved(sole(false), one_answer, false));
    assert!(!is_resolved(sole(false), &[sole(false)], false));
    assert!(is_resolved(sole(true), &[], false));
    assert!(is_resolved(unknown.clone(), &[sole(true)], false));
    let confirmed_unknown = Knowledge {
        is_confirmed: true,
        ..Knowledge::default()
    };
    assert!(!is_resolved(sole(false), &[confirmed_unknown], false));
    let noted = Knowledge {
        software: Some(version("v1")),
        ..Knowledge::default()
    };
    let resolved = origin::resolve(&noted, &[], false);
    assert_eq!(resolved, Ok((version("v1"), Evidence::Note)));
}

/// Guards against taking silent holders of a note for holders that have none.
#[test]
fn answers_are_complete_once_every_instance_that_may_hold_a_note_has_answered() {
    let all = members(90);
    for key in 0..64 {
        let drawn = origin::holders(key, all.iter().copied(), ASKED);
        // Whoever began the stream told the first of the others.
        for first in all.iter().copied() {
            let others = all.iter().copied().filter(|other| *other != first);
            for holder in origin::holders(key, others, HOLDERS) {
                assert!(!origin::is_complete(&drawn, |member| member != holder));
            }
        }
        assert!(origin::is_complete(&drawn, |member| {
            drawn[..=HOLDERS].contains(&member)
        }));
    }
    let alone = origin::holders(1, members(1).into_iter(), ASKED);
    assert!(!origin::is_complete(&alone, |_| true));
}

/// Guards against taking a service for one of several versions after the last engine of all but one has
/// gone, or the other way round.
#[test]
fn versions_of_a_service_follow_its_engines() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    let new = |id| Record {
        software: Some(version("v2")),
        ..record(id, Some(Stage::Decode))
    };
    let versions = |fleet: &serving::Fleet| {
        let service = service();
        let versions = fleet.versions(&service).map(ToString::to_string);
        versions.collect::<Vec<_>>()
    };
    assert_eq!(versions(&fleet), ["v1"]);
    fleet.put(new("c"));
    fleet.put(new("a"));
    fleet.put(new("a"));
    assert_eq!(versions(&fleet), ["v1", "v2"]);
    fleet.remove(&id("b"));
    assert_eq!(versions(&fleet), ["v2"]);
    fleet.remove(&id("a"));
    fleet.remove(&id("c"));
    assert!(versions(&fleet).is_empty());
}

/// Guards against forgetting a stream that went on here because another instance tells of its first part, whose caller
/// waits for less time.
#[test]
fn an_older_note_does_not_shorten_the_memory_of_a_stream_that_went_on() {
    type Tell<'a> = Box<dyn Fn(&mut Origins) + 'a>;
    let (service, v1) = (service(), version("v1"));
    let older = origin::Note {
        key: 1,
        software: v1.clone(),
        lifetime: ms(5_000),
    };
    let batch = origin::Batch {
        service: service.clone(),
        software: v1.clone(),
        streams: vec![(1, ms(5_000))],
    };
    let tell: [(&str, Tell); 2] = [
        (
            "noted",
            Box::new(|origins| origins.on_note(&older, ms(100))),
        ),
        (
            "copied",
            Box::new(|origins| {
                origins.on_batch(&batch, true, ms(100));
            }),
        ),
    ];
    for (name, tell) in tell {
        let mut origins = Origins::default();
        origins.begin(1, &service, &v1, ms(8_000), true, ms(0));
        tell(&mut origins);
        assert_eq!(origins.find(1, ms(10_000)), Some(v1.clone()), "{name}");
        let own = origins.all_own(ms(4_000));
        assert_eq!(own.len(), 1, "{name}: it is no longer an own stream");
    }
}

/// Guards against resuming at the version of an engine's former record what the engine began after a restart,
/// and against refusing what it began before.
#[test]
fn streams_that_a_restarted_engine_may_have_begun_are_uncertain_whatever_arrives_later() {
    let (service, v1) = (service(), version("v1"));
    let mut origins = Origins::default();
    for (key, engine, at) in [(1, "a", 8_000), (2, "a", 10_500), (3, "b", 10_500)] {
        origins.begin(key, &service, &v1, ms(4_000), true, ms(0));
        origins.on_engine(key, &id(engine), ms(at));
    }
    let restart = |software| Restart {
        engine: id("a"),
        software: version(software),
        started: ms(10_000),
    };
    assert_eq!(origins.on_restart(&restart("v1"), ms(0)), []);
    let notes = origins.on_restart(&restart("v2"), ms(0));
    let keys: Vec<u64> = notes.iter().map(|note| note.key).collect();
    assert_eq!(keys, [2]);
    let mut holder = Origins::default();
    holder.on_note(&notes[0], ms(0));
    holder.on_note(
        &Note {
            software: v1.clone(),
            ..notes[0].clone()
        },
        ms(0),
    );
    let resolve = |origins: &Origins, key| {
        let known = Knowledge {
            software: origins.find(key, ms(0)),
            ..Knowledge::default()
        };
        origin::resolve(&known, &[], true)
    };
    assert_eq!(resolve(&origins, 1), Ok((v1, Evidence::Note)));
    assert_eq!(resolve(&origins, 2), Err(Unresolved::Restarted));
    assert_eq!(resolve(&holder, 2), Err(Unresolved::Restarted));
}

/// Guards against a question for every stream, and against going on at an engine that may have restarted.
#[test]
fn engines_are_asked_for_their_start_before_streams_that_depend_on_it_only() {
    let asks = |resumes, opened, as_of: Option<u64>, now| {
        origin::must_identify(resumes, ms(opened), as_of.map(ms), ms(now))
    };
    assert!(asks(true, 9_000, Some(9_900), 10_000));
    assert!(!asks(false, 9_950, Some(9_900), 10_000));
    assert!(!asks(false, 9_000, Some(9_500), 20_000));
    assert!(asks(false, 10_000, Some(9_500), 20_000));
    assert!(asks(false, 10_000, None, 20_000));
}
