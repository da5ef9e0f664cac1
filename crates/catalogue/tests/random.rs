//! Random edits on a small set of names: the catalogue in force stays valid, refused edits change
//! nothing, and a snapshot restores the same state and lookups as the fold.

mod common;

use std::cell::Cell;
use std::sync::Arc;

use catalogue::{Applied, PathMatch, Rules, State, Verdict, seal};
use common::{change, edit, engine_pool, owner, removal, service_entry, service_pool};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use wire::record::Change;

const NAMES: [&str; 3] = ["a", "b", "c"];
const PATHS: [&str; 3] = ["/", "/x", "/x/y"];

fn name() -> impl Strategy<Value = &'static str> {
    prop::sample::select(&NAMES[..])
}

fn any_change() -> impl Strategy<Value = Change> {
    let kinds = prop::sample::select(vec!["owner", "pool", "model", "entry"]);
    let model = |(model, pool)| {
        let json = format!(r#"{{"versions": ["1"], "pools": ["{pool}"]}}"#);
        change("model", model, json)
    };
    let entry = |(entry, owner, pool, model): (&str, &str, &str, &str)| {
        let json = format!(
            r#"{{"owner": "{owner}", "class": "batch", "pool": "{pool}", "model": "{model}",
                "version": "1", "contract": {{"objective": 0.9, "deadline": "9s"}},
                "repeatable": true}}"#
        );
        change("entry", entry, json)
    };
    prop_oneof![
        (kinds, name()).prop_map(|(kind, name)| removal(kind, name)),
        (name(), name()).prop_map(|(name, key)| owner(name, key)),
        name().prop_map(service_pool),
        name().prop_map(engine_pool),
        (name(), name()).prop_map(model),
        (name(), name(), name(), name()).prop_map(entry),
        (name(), name(), name(), prop::sample::select(&PATHS[..]))
            .prop_map(|(name, owner, pool, path)| service_entry(name, owner, pool, path)),
        Just(change("pool", "a", r#"{"kind": "neither"}"#)),
    ]
}

/// Results of all lookups as text.
fn lookups(state: &State) -> Vec<String> {
    let view = state.view();
    let mut lines = Vec::new();
    for name in NAMES {
        lines.push(format!(
            "{:?}",
            view.owner_of_key(name).map(|owner| &owner.name)
        ));
        lines.push(format!(
            "{:?}",
            view.entries_of(name).map(|e| &e.name).collect::<Vec<_>>()
        ));
        for model in NAMES {
            lines.push(format!(
                "{:?}",
                view.entry_for_model(name, model).map(|e| &e.name)
            ));
        }
    }
    for path in ["/", "/x", "/x/y/z", "/z"] {
        let found = match view.entry_at("GET", path) {
            PathMatch::Entry(entry) => entry.name.as_str(),
            PathMatch::MethodNotAllowed => "other method",
            PathMatch::NotFound => "nothing",
        };
        lines.push(found.to_owned());
    }
    lines
}

fn assert_valid(state: &State) {
    let rules = Rules::default();
    let set = rules.get(state.version()).expect("rules");
    let mut findings = catalogue::Findings::new();
    for (_, _, slot) in state.view().slots() {
        if let Some(entity) = &slot.entity {
            (set.validate)(state.view(), entity, &mut findings);
        }
    }
    assert!(findings.is_empty(), "{findings}");
}

fn restore_from_snapshot(state: &State) -> State {
    let mut snapshot = state.snapshot().expect("not frozen");
    seal(&mut snapshot);
    State::restore(Arc::new(Rules::default()), &snapshot).expect("restored")
}

/// Folds the edits, checks the state after each and returns the number that were accepted.
fn fold(edits: &[(u64, Vec<Change>)]) -> Result<usize, TestCaseError> {
    let mut state = State::default();
    let mut accepted = 0;
    for (offset, (age, changes)) in (1u64..).zip(edits) {
        let before = (state.view().clone(), lookups(&state));
        let base = state.folded().saturating_sub(*age);
        let applied = state.apply(offset, &edit(base, "ana", changes));
        if matches!(applied, Applied::Edit(Verdict::Accepted { .. })) {
            accepted += 1;
            assert_valid(&state);
        } else {
            prop_assert_eq!((state.view().clone(), lookups(&state)), before);
        }
        let again = restore_from_snapshot(&state);
        prop_assert_eq!(again.view(), state.view());
        prop_assert_eq!(lookups(&again), lookups(&state));
    }
    Ok(accepted)
}

#[test]
fn random_edits_keep_the_catalogue_valid() {
    let changes = prop::collection::vec(any_change(), 1..5);
    let edits = prop::collection::vec((0u64..4, changes), 1..60);
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    });
    let accepted = Cell::new(0);
    let run = runner.run(&edits, |edits| {
        accepted.set(accepted.get() + fold(&edits)?);
        Ok(())
    });
    run.unwrap_or_else(|failure| panic!("{failure}"));
    // The run is only meaningful if enough edits are accepted.
    assert!(accepted.get() > 1_000, "{} accepted", accepted.get());
}
