//! What must be sent so that the catalogue in force becomes that of a file: nothing for entities
//! that are alike already. An edit of what did not change would win against another operator's
//! edit of the same entity for no reason, and lose against it just as needlessly.

use std::collections::BTreeMap;

use catalogue::{Change, Document};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Kinds that `--prune` removes. Drains are made by hand in the moment and seldom kept in files,
/// so a file that lacks one says nothing of it.
const PRUNED_KINDS: [&str; 4] = ["owner", "pool", "model", "entry"];

/// The catalogue in force, as the administration API tells it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Catalogue {
    /// Its revision.
    pub revision: u64,
    /// Its entities.
    #[serde(default)]
    pub entities: Vec<Entity>,
}

/// One entity in force.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entity {
    /// Its kind.
    pub kind: String,
    /// Its name within the kind.
    pub name: String,
    /// Revision of its last change.
    #[serde(default)]
    pub revision: u64,
    /// Who changed it last.
    #[serde(default)]
    pub operator: String,
    /// Its fields.
    pub value: Value,
}

/// What happens to one entity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// It is new.
    Add,
    /// It gets other fields.
    Change,
    /// It goes.
    Remove,
}

impl ChangeKind {
    /// The sign in front of a line of a listing.
    pub fn sign(self) -> char {
        match self {
            Self::Add => '+',
            Self::Change => '~',
            Self::Remove => '-',
        }
    }
}

/// One entity that differs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Difference {
    /// What happens to it.
    pub act: ChangeKind,
    /// The change to send.
    pub change: Change,
}

/// All that differs between a file and the catalogue in force, in the order of the file; removals
/// come last, dependents before what they name.
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

/// Whether two values are alike. `1` and `1.0` are, since YAML writers do not keep them apart.
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
