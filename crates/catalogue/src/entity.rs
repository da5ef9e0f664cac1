//! Entities of the catalogue, their kinds and keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Drain, Entry, Model, Owner, Pool};

/// Kind of an entity. Snapshots list entities in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An organisation that may call, with its limits.
    Owner,
    /// A group of interchangeable upstreams.
    Pool,
    /// A model that engines can load.
    Model,
    /// A model or path that callers may request.
    Entry,
    /// An upstream that must not receive new work.
    Drain,
}

impl Kind {
    /// All kinds in the order of the variants.
    pub const ALL: [Self; 5] = [
        Self::Owner,
        Self::Pool,
        Self::Model,
        Self::Entry,
        Self::Drain,
    ];

    /// Name of the kind in records and files.
    pub fn label(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Pool => "pool",
            Self::Model => "model",
            Self::Entry => "entry",
            Self::Drain => "drain",
        }
    }

    /// Finds the kind by its name in records and files.
    pub fn from_label(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.label() == word)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Identifies an entity, also after it was removed and created again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Kind of the entity.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl Key {
    /// Creates the key of an entity.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// An entity whose fields have been validated.
#[derive(Clone, Debug, PartialEq)]
pub enum Entity {
    /// An organisation that may call.
    Owner(Owner),
    /// A group of interchangeable upstreams.
    Pool(Pool),
    /// A model that engines can load.
    Model(Model),
    /// A model or path that callers may request.
    Entry(Entry),
    /// An upstream that must not receive new work.
    Drain(Drain),
}

impl Entity {
    /// Keys of the entities that this one refers to; they must exist as long as it does.
    pub fn references(&self) -> SmallVec<[Key; 4]> {
        match self {
            Self::Owner(_) | Self::Pool(_) | Self::Drain(_) => SmallVec::new(),
            Self::Model(model) => model
                .pools
                .iter()
                .map(|pool| Key::new(Kind::Pool, pool))
                .collect(),
            Self::Entry(entry) => entry.references(),
        }
    }
}
