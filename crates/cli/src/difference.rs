//! Differences between a catalogue file and the catalogue in force. Unchanged entities are not
//! sent, since they would cause needless conflicts with other operators' edits of them.

use std::collections::BTreeMap;

use catalogue::{Change, Document};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Kinds that `--prune` removes. Drains are set by hand and rarely kept in files, so a file
/// without one does not mean that it should end.
const PRUNED_KINDS: [&str; 4] = ["owner", "pool", "model", "entry"];

/// The catalogue in force, as returned by the administration API.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Catalogue {
    /// Revision in force.
    pub revision: u64,
    /// Entities in force.
    #[serde(default)]
    pub entities: Vec<Entity>,
}

/// An entity in force.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entity {
    /// Kind of the entity.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Revision of its last change.
    #[serde(default)]
    pub revision: u64,
    /// Operator of its last change.
    #[serde(default)]
    pub operator: String,
    /// Fields of the entity.
    pub value: Value,
}

/// How an entity differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The entity is added.
    Add,
    /// The fields of the entity change.
    Change,
    /// The entity is removed.
    Remove,
}

impl ChangeKind {
    /// Sign at the start of a line in the listing.
    pub fn sign(self) -> char {
        match self {
            Self::Add => '+',
            Self::Change => '~',
            Self::Remove => '-',
        }
    }
}

/// An entity that differs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Difference {
    /// How the entity differs.
    pub act: ChangeKind,
    /// Change to send.
    pub change: Change,
}

/// Compares a file with the catalogue in force. Differences are in the order of the file; pruned
/// entities come last, dependents before the entities that they refer to.
pub fn between(file: &Document, in_force: &Catalogue, prune: bool) -> Vec<Difference> {
    let known: BTreeMap<_, _> = in_force
        .entities
        .iter()
        .map(|entity| ((entity.kind.as_str(), entity.name.as_str()), &entity.value))
        .collect();
    let wanted = file.changes.iter().filter_map(|change| {
        let old = known.get(&(change.kind.as_str(), change.name.as_str()));
        let act = change_kind(old.copied(), change.value.as_ref())?;
        Some(Difference {
            act,
            change: change.clone(),
        })
    });
    let mut differences: Vec<_> = wanted.collect();
    if prune {
        differences.extend(removals(file, in_force));
    }
    differences
}

fn change_kind(old: Option<&Value>, new: Option<&Value>) -> Option<ChangeKind> {
    match (old, new) {
        (None, Some(_)) => Some(ChangeKind::Add),
        (Some(_), None) => Some(ChangeKind::Remove),
        (Some(old), Some(new)) if !same_value(old, new) => Some(ChangeKind::Change),
        _ => None,
    }
}

/// Whether two values are equal. `1` equals `1.0`, since YAML writers do not distinguish them.
fn same_value(old: &Value, new: &Value) -> bool {
    match (old, new) {
        (Value::Number(old), Value::Number(new)) => old == new || old.as_f64() == new.as_f64(),
        (Value::Array(old), Value::Array(new)) => {
            old.len() == new.len() && old.iter().zip(new).all(|(old, new)| same_value(old, new))
        }
        (Value::Object(old), Value::Object(new)) => {
            old.len() == new.len()
                && old
                    .iter()
                    .all(|(name, old)| new.get(name).is_some_and(|new| same_value(old, new)))
        }
        (old, new) => old == new,
    }
}

fn removals(file: &Document, in_force: &Catalogue) -> Vec<Difference> {
    let named = |entity: &Entity| {
        file.changes
            .iter()
            .any(|change| change.kind == entity.kind && change.name == entity.name)
    };
    let pruned = |entity: &&Entity| PRUNED_KINDS.contains(&entity.kind.as_str()) && !named(entity);
    let mut removed: Vec<_> = in_force.entities.iter().filter(pruned).collect();
    removed.sort_by_key(|entity| {
        let rank = PRUNED_KINDS.iter().position(|kind| *kind == entity.kind);
        (std::cmp::Reverse(rank), entity.name.clone())
    });
    let remove = |entity: &Entity| Difference {
        act: ChangeKind::Remove,
        change: Change {
            kind: entity.kind.clone(),
            name: entity.name.clone(),
            value: None,
        },
    };
    removed.into_iter().map(remove).collect()
}
