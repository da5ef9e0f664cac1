//! The five kinds of entity and what they have in common.

use std::fmt;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Drain, Entry, Model, Owner, Pool};

/// Kind of an entity; the order is the one in which snapshots list them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Who may call and within which limits.
    Owner,
    /// Upstreams that are alike.
    Pool,
    /// What engines may be told to load.
    Model,
    /// What callers may ask for.
    Entry,
    /// An upstream that must get no new work.
    Drain,
}

impl Kind {
    /// All kinds in their order.
    pub const ALL: [Self; 5] = [
        Self::Owner,
        Self::Pool,
        Self::Model,
        Self::Entry,
        Self::Drain,
    ];

    /// The word that stands in records and files.
    pub fn label(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Pool => "pool",
            Self::Model => "model",
            Self::Entry => "entry",
            Self::Drain => "drain",
        }
    }

    /// The kind for the word in records and files.
    pub fn from_label(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.label() == word)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// What identifies an entity over its whole life, also across removal and renewed creation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Kind of the entity.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl Key {
    /// The key of the entity of this kind and name.
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

/// A checked entity.
#[derive(Clone, Debug, PartialEq)]
pub enum Entity {
    /// Who may call.
    Owner(Owner),
    /// Upstreams that are alike.
    Pool(Pool),
    /// What engines may load.
    Model(Model),
    /// What callers may ask for.
    Entry(Entry),
    /// An upstream without new work.
    Drain(Drain),
}

impl Entity {
    /// Entities that this one names; they must exist as long as it does.
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
