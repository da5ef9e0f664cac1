//! The entities in force with their revisions, and the tombstones of removed ones.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::index::Index;
use crate::{Drain, Entity, Entry, Key, Kind, Model, Owner, Pool, Revision, Version};

/// An entity in force, or the tombstone of a removed one.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// Revision of the edit that last changed or removed the entity.
    pub revision: Revision,
    /// Operator who made that edit.
    pub operator: Box<str>,
    /// Version of the rules under which that edit was accepted.
    pub rules: Version,
    /// JSON of the fields in that edit; empty for a tombstone.
    pub json: Box<str>,
    /// The parsed entity; `None` for a tombstone.
    pub entity: Option<Entity>,
}

/// All entities. Clones share them, so that readers can keep one while the fold continues.
#[derive(Clone, Debug, Default)]
pub struct View {
    slots: [BTreeMap<Arc<str>, Arc<Slot>>; Kind::ALL.len()],
    index: Index,
}

impl PartialEq for View {
    /// Compares the slots only, since the index is derived from them.
    fn eq(&self, other: &Self) -> bool {
        self.slots == other.slots
    }
}

impl View {
    /// Returns the slot of an entity, including tombstones.
    pub fn slot(&self, kind: Kind, name: &str) -> Option<&Arc<Slot>> {
        self.table(kind).get(name)
    }

    /// Returns an entity in force.
    pub fn entity(&self, kind: Kind, name: &str) -> Option<&Entity> {
        self.slot(kind, name)?.entity.as_ref()
    }

    /// Returns the owner of this name.
    pub fn owner(&self, name: &str) -> Option<&Owner> {
        match self.entity(Kind::Owner, name)? {
            Entity::Owner(owner) => Some(owner),
            _ => None,
        }
    }

    /// Returns the pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        match self.entity(Kind::Pool, name)? {
            Entity::Pool(pool) => Some(pool),
            _ => None,
        }
    }

    /// Returns the model of this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        match self.entity(Kind::Model, name)? {
            Entity::Model(model) => Some(model),
            _ => None,
        }
    }

    /// Returns the entry of this name.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        match self.entity(Kind::Entry, name)? {
            Entity::Entry(entry) => Some(entry),
            _ => None,
        }
    }

    /// Returns the drain of this upstream, if one is in force.
    pub fn drain(&self, upstream: &str) -> Option<&Drain> {
        match self.entity(Kind::Drain, upstream)? {
            Entity::Drain(drain) => Some(drain),
            _ => None,
        }
    }

    /// Names of the entities of a kind in force, sorted.
    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.table(kind)
            .iter()
            .filter(|(_, slot)| slot.entity.is_some())
            .map(|(name, _)| &**name)
    }

    /// All slots including tombstones, sorted by kind and name.
    pub fn slots(&self) -> impl Iterator<Item = (Kind, &str, &Slot)> {
        Kind::ALL.into_iter().flat_map(|kind| {
            self.table(kind)
                .iter()
                .map(move |(name, slot)| (kind, &**name, &**slot))
        })
    }

    /// Number of entities in force.
    pub fn len(&self) -> usize {
        self.slots()
            .filter(|(_, _, slot)| slot.entity.is_some())
            .count()
    }

    /// Whether no entity is in force.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn index(&self) -> &Index {
        &self.index
    }

    /// Replaces a slot and returns the previous one, which is put back if the edit is refused.
    pub(crate) fn replace(&mut self, key: &Key, slot: Option<&Arc<Slot>>) -> Option<Arc<Slot>> {
        let table = &mut self.slots[key.kind as usize];
        let name: Arc<str> = match table.get_key_value(key.name.as_str()) {
            Some((name, _)) => Arc::clone(name),
            None => Arc::from(key.name.as_str()),
        };
        let old = match slot {
            Some(slot) => table.insert(Arc::clone(&name), Arc::clone(slot)),
            None => table.remove(&name),
        };
        if let Some(entity) = old.as_deref().and_then(|slot| slot.entity.as_ref()) {
            self.index.remove(&name, entity);
        }
        if let Some(entity) = slot.and_then(|slot| slot.entity.as_ref()) {
            self.index.insert(&name, entity);
        }
        old
    }

    fn table(&self, kind: Kind) -> &BTreeMap<Arc<str>, Arc<Slot>> {
        &self.slots[kind as usize]
    }
}
