//! Snapshots, and processes of different software versions on one log.

mod common;

use std::sync::Arc;

use assert_matches::assert_matches;
use catalogue::{
    Applied, Entity, Findings, Frozen, Kind, Offset, RawEntity, RuleSet, Rules, SnapshotError,
    State, Verdict, seal,
};
use common::{accept, edit, owner, raise, record, removal, service_entry, service_pool};
use wire::record::Snapshot;
use wire::record::record::Body;

/// Adds a version 2 that differs only in refusing the name `old`.
fn newer_rules() -> Arc<Rules> {
    fn parse(raw: &RawEntity<'_>) -> Result<Entity, Findings> {
        if raw.name == "old" {
            let mut findings = Findings::new();
            findings.add(raw.kind, raw.name, "", "is a forbidden name");
            return Err(findings);
        }
        (first_rules().parse)(raw)
    }
    let second = RuleSet {
        version: 2,
        parse,
        validate: first_rules().validate,
    };
    Arc::new(Rules::new(vec![first_rules(), second]))
}

fn first_rules() -> RuleSet {
    *Rules::default().get(1).expect("version 1")
}

fn sealed_snapshot(state: &State) -> Snapshot {
    let mut snapshot = state.snapshot().expect("not frozen");
    seal(&mut snapshot);
    snapshot
}

fn filled(rules: Arc<Rules>) -> State {
    let mut state = State::new(rules);
    let changes = [
        owner("kiosks", "key-1"),
        service_pool("kiosk-api"),
        service_pool("old"),
        service_entry("cards", "kiosks", "kiosk-api", "/cards"),
    ];
    accept(&mut state, 3, &changes);
    accept(&mut state, 4, &[removal("pool", "old")]);
    state
}

/// Guards against instances that diverge on the same log. If newer software applied its stricter
/// rules before the log raises the version, it would refuse what older software accepts.
#[test]
fn newer_software_applies_the_version_in_force() {
    let mut old_software = State::default();
    let mut new_software = State::new(newer_rules());
    let mut fold = |offset: Offset, record: &wire::record::Record| {
        let old = old_software.apply(offset, record);
        (old, new_software.apply(offset, record))
    };
    let (old, new) = fold(1, &edit(0, "ana", &[service_pool("old")]));
    assert_eq!(old, Applied::Edit(Verdict::Accepted { revision: 1 }));
    assert_eq!(new, old);
    let (old, new) = fold(2, &raise(2));
    assert_eq!(
        old,
        Applied::Frozen(Frozen {
            offset: 2,
            rules: 2
        })
    );
    assert_eq!(new, Applied::Raised(2));
    let (old, new) = fold(3, &edit(1, "ana", &[service_pool("old")]));
    assert_eq!(old, Applied::Edit(Verdict::Undecided { rules: 2 }));
    assert_matches!(new, Applied::Edit(Verdict::Refused(_)));
    assert_eq!(old_software.view(), new_software.view());
}

/// Guards against an instance that does not know the rules in force but continues, or passes its
/// state on as the newest. After the rules were raised beyond its software, it could only guess
/// which edits are accepted.
#[test]
fn unknown_rules_freeze_the_last_accepted_catalogue() {
    let mut state = filled(Arc::new(Rules::default()));
    let before = state.view().clone();
    let _ = state.apply(5, &raise(2));
    let _ = state.apply(6, &edit(4, "ana", &[service_pool("another")]));
    let _ = state.apply(7, &raise(1));
    assert_eq!(state.view(), &before);
    assert_eq!((state.revision(), state.folded()), (4, 4));
    assert_eq!(state.snapshot(), None);
    assert_eq!(
        state.frozen(),
        Some(Frozen {
            offset: 5,
            rules: 2
        })
    );
}

#[test]
fn rules_version_never_decreases() {
    let mut state = State::new(newer_rules());
    assert_eq!(state.apply(1, &raise(2)), Applied::Raised(2));
    assert_eq!(state.apply(2, &raise(1)), Applied::NoEffect);
    assert_eq!(state.apply(3, &raise(2)), Applied::NoEffect);
    assert_eq!(state.version(), 2);
}

/// Guards against snapshots that newer rules cannot read. An entity is accepted, the rules are
/// raised to a version that would refuse it, and an instance starts from a snapshot; the entity
/// must be parsed by the rules under which it was accepted.
#[test]
fn snapshot_keeps_entities_that_newer_rules_refuse() {
    let mut state = State::new(newer_rules());
    accept(&mut state, 1, &[service_pool("old")]);
    let _ = state.apply(2, &raise(2));
    let restored = State::restore(newer_rules(), &sealed_snapshot(&state)).expect("restored");
    assert!(restored.view().pool("old").is_some());
    assert_eq!(restored.version(), 2);
}

#[test]
fn restored_state_decides_as_the_folded_one() {
    let mut folded = filled(Arc::new(Rules::default()));
    let mut restored =
        State::restore(Arc::clone(folded.rules()), &sealed_snapshot(&folded)).expect("restored");
    assert_eq!(restored.view(), folded.view());
    assert!(restored.view().owner_of_key("key-1").is_some());
    // The tombstone must be part of the snapshot.
    for (offset, record) in [
        (5, edit(3, "luis", &[service_pool("old")])),
        (6, edit(4, "luis", &[removal("pool", "kiosk-api")])),
        (
            7,
            edit(4, "luis", &[service_pool("old"), removal("entry", "cards")]),
        ),
    ] {
        assert_eq!(
            restored.apply(offset, &record),
            folded.apply(offset, &record)
        );
    }
    assert_eq!(sealed_snapshot(&restored), sealed_snapshot(&folded));
}

#[test]
fn damaged_snapshot_is_rejected() {
    let state = filled(Arc::new(Rules::default()));
    let mut snapshot = sealed_snapshot(&state);
    snapshot.entities[0].operator = "luis".to_owned();
    assert_matches!(
        State::restore(newer_rules(), &snapshot),
        Err(SnapshotError::Digest)
    );
    let mut snapshot = sealed_snapshot(&state);
    snapshot.rules = 3;
    seal(&mut snapshot);
    assert_matches!(
        State::restore(newer_rules(), &snapshot),
        Err(SnapshotError::Rules(3))
    );
}

/// Guards against going back to an older catalogue. An instance receives an older snapshot from a
/// lagging peer, and old records from a reader that started over; only the offsets show that they
/// are older.
#[test]
fn older_snapshot_and_older_records_change_nothing() {
    let mut state = filled(Arc::new(Rules::default()));
    let old = sealed_snapshot(&state);
    let record = edit(4, "ana", &[service_pool("new")]);
    let _ = state.apply(5, &record);
    assert_eq!(state.adopt(&old), Ok(false));
    assert_eq!(state.apply(5, &record), Applied::AlreadyFolded);
    assert_eq!(
        state.apply(4, &edit(3, "ana", &[service_pool("kiosk-api")])),
        Applied::AlreadyFolded
    );
    assert_eq!(state.revision(), 5);
    let mut behind = State::restore(newer_rules(), &old).expect("restored");
    assert_eq!(behind.adopt(&sealed_snapshot(&state)), Ok(true));
    assert!(behind.view().pool("new").is_some());
}

/// Guards against publishing an older catalogue as the newest. An instance with older software
/// falls behind the retention, cannot read the snapshot and continues from the first retained
/// record; nothing but the offsets shows that edits are missing.
#[test]
fn records_after_a_gap_are_not_folded() {
    let mut state = filled(Arc::new(Rules::default()));
    let before = state.view().clone();
    let record = edit(4, "ana", &[service_pool("new")]);
    assert_eq!(state.apply(6, &record), Applied::Gap { missing: 5 });
    assert_eq!((state.view(), state.folded()), (&before, 4));
    assert_eq!(
        state.apply(5, &record),
        Applied::Edit(Verdict::Accepted { revision: 5 })
    );
}

/// Guards against instances that start from a snapshot and differ permanently from those that
/// folded the log. Faulty software may write a snapshot that no prefix of the log yields, and
/// starting instances have to trust it, so those that folded the log must report it.
#[test]
fn snapshot_that_differs_from_the_fold_is_reported() {
    let mut state = filled(Arc::new(Rules::default()));
    let good = sealed_snapshot(&state);
    let mut bad = good.clone();
    bad.entities.pop();
    seal(&mut bad);
    assert_eq!(
        state.apply(5, &record(Body::Snapshot(good.clone()))),
        Applied::NoEffect
    );
    assert_eq!(
        state.apply(6, &record(Body::Snapshot(bad.clone()))),
        Applied::SnapshotDiffers
    );
    // Once a newer edit is accepted, an older snapshot can no longer be compared.
    accept(&mut state, 7, &[service_pool("new")]);
    assert_eq!(
        state.apply(8, &record(Body::Snapshot(good))),
        Applied::NoEffect
    );
    assert!(state.view().entity(Kind::Pool, "new").is_some());
}
