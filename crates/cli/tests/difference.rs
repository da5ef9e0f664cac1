//! Differences between a catalogue file and the catalogue in force.

use catalogue::Document;
use cli::difference::{Catalogue, ChangeKind, Difference, Entity, between};
use serde_json::{Value, json};

fn entity(kind: &str, name: &str, value: Value) -> Entity {
    Entity {
        kind: kind.to_owned(),
        name: name.to_owned(),
        value,
        ..Entity::default()
    }
}

fn in_force() -> Catalogue {
    let pool = json!({"kind": "engine", "role_change": {"price": 1}});
    Catalogue {
        revision: 9,
        entities: vec![
            entity("owner", "lima", json!({"keys": ["a"]})),
            entity("pool", "llm", pool),
            entity("entry", "old", json!({"pool": "llm"})),
            entity("drain", "engine-3", json!({"reason": "fan"})),
        ],
    }
}

fn kinds_and_names(differences: &[Difference]) -> Vec<(ChangeKind, &str)> {
    differences
        .iter()
        .map(|entry| (entry.act, entry.change.name.as_str()))
        .collect()
}

#[test]
fn only_what_differs_is_sent() {
    let file = "changes:
  - {kind: owner, name: lima, value: {keys: [a]}}
  - {kind: pool, name: llm, value: {role_change: {price: 1.0}, kind: engine}}
  - {kind: entry, name: old, value: {pool: kiosk}}
  - {kind: entry, name: new, value: {pool: llm}}
  - {kind: entry, name: never, value: null}
";
    let document = Document::parse(file).unwrap();
    let differences = between(&document, &in_force(), false);
    let expected = [(ChangeKind::Change, "old"), (ChangeKind::Add, "new")];
    assert_eq!(kinds_and_names(&differences), expected);
}

#[test]
fn change_of_a_nested_field_is_detected() {
    let file = "changes:
  - {kind: pool, name: llm, value: {kind: engine, role_change: {price: 2}}}
";
    let document = Document::parse(file).unwrap();
    let differences = between(&document, &in_force(), false);
    assert_eq!(kinds_and_names(&differences), [(ChangeKind::Change, "llm")]);
}

#[test]
fn pruning_removes_dependents_first_and_leaves_drains() {
    let document = Document::parse("changes: []").unwrap();
    let differences = between(&document, &in_force(), true);
    let expected = ["old", "llm", "lima"].map(|name| (ChangeKind::Remove, name));
    assert_eq!(kinds_and_names(&differences), expected);
    assert!(between(&document, &in_force(), false).is_empty());
}
