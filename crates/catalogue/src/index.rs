//! Secondary indexes of the entities.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use smallvec::SmallVec;

use crate::{Entity, Entry, Key, Kind, Owner, Target};

type Name = Arc<str>;
/// Entries at one path by method, with [`ANY_METHOD`] for all methods. A method has several
/// entries only while an edit is validated.
type EntriesByMethod = BTreeMap<Box<str>, SmallVec<[Name; 1]>>;

/// Method under which entries that serve all methods are indexed.
pub(crate) const ANY_METHOD: &str = "";

/// Lookups for the data plane and for validation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    owners_by_key: BTreeMap<[u8; 32], SmallVec<[Name; 1]>>,
    entries_by_path: BTreeMap<Arc<str>, EntriesByMethod>,
    entries_by_owner: BTreeMap<Name, BTreeSet<Name>>,
    dependents: BTreeMap<Key, BTreeSet<(Kind, Name)>>,
}

impl Index {
    /// Owners that have a key with this digest; more than one only while an edit is validated.
    pub(crate) fn owners_with_key(&self, digest: &[u8; 32]) -> &[Name] {
        self.owners_by_key
            .get(digest)
            .map_or(&[], SmallVec::as_slice)
    }

    /// Entries at exactly this path, by method.
    pub(crate) fn entries_at(&self, prefix: &str) -> Option<&EntriesByMethod> {
        self.entries_by_path.get(prefix)
    }

    /// Other entries with the path of this one and at least one of its methods.
    pub(crate) fn sharing_path(&self, entry: &Entry) -> SmallVec<[Name; 2]> {
        let mut others: SmallVec<[Name; 2]> = SmallVec::new();
        let Target::Path { prefix, .. } = &entry.target else {
            return others;
        };
        let Some(methods) = self.entries_at(prefix) else {
            return others;
        };
        for method in indexed_methods(entry) {
            for other in methods.get(method).into_iter().flatten() {
                if **other != *entry.name && !others.contains(other) {
                    others.push(Arc::clone(other));
                }
            }
        }
        others
    }

    /// Names of the entries of an owner, sorted.
    pub(crate) fn entries_of(&self, owner: &str) -> impl Iterator<Item = &str> {
        self.entries_by_owner
            .get(owner)
            .into_iter()
            .flatten()
            .map(|name| &**name)
    }

    /// Entities that refer to this one.
    pub(crate) fn dependents(&self, key: &Key) -> impl Iterator<Item = &(Kind, Name)> {
        self.dependents.get(key).into_iter().flatten()
    }

    /// Adds an entity.
    pub(crate) fn insert(&mut self, name: &Name, entity: &Entity) {
        match entity {
            Entity::Owner(owner) => self.insert_owner(name, owner),
            Entity::Entry(entry) => self.insert_entry(name, entry),
            Entity::Pool(_) | Entity::Model(_) | Entity::Drain(_) => {}
        }
        let kind = kind_of(entity);
        for key in entity.references() {
            let dependent = (kind, Arc::clone(name));
            self.dependents.entry(key).or_default().insert(dependent);
        }
    }

    /// Removes an entity.
    pub(crate) fn remove(&mut self, name: &Name, entity: &Entity) {
        match entity {
            Entity::Owner(owner) => self.remove_owner(name, owner),
            Entity::Entry(entry) => self.remove_entry(name, entry),
            Entity::Pool(_) | Entity::Model(_) | Entity::Drain(_) => {}
        }
        let dependent = (kind_of(entity), Arc::clone(name));
        for key in entity.references() {
            if let Some(dependents) = self.dependents.get_mut(&key) {
                dependents.remove(&dependent);
                if dependents.is_empty() {
                    self.dependents.remove(&key);
                }
            }
        }
    }

    fn insert_owner(&mut self, name: &Name, owner: &Owner) {
        for digest in &owner.keys {
            self.owners_by_key
                .entry(*digest)
                .or_default()
                .push(Arc::clone(name));
        }
    }

    fn remove_owner(&mut self, name: &Name, owner: &Owner) {
        for digest in &owner.keys {
            if let Some(names) = self.owners_by_key.get_mut(digest) {
                names.retain(|other| other != name);
                if names.is_empty() {
                    self.owners_by_key.remove(digest);
                }
            }
        }
    }

    fn insert_entry(&mut self, name: &Name, entry: &Entry) {
        let owned = self.entries_by_owner.entry(Arc::from(entry.owner.as_str()));
        owned.or_default().insert(Arc::clone(name));
        if let Target::Path { prefix, .. } = &entry.target {
            let methods = self
                .entries_by_path
                .entry(Arc::from(prefix.as_str()))
                .or_default();
            for method in indexed_methods(entry) {
                let names = methods.entry(Box::from(method)).or_default();
                names.push(Arc::clone(name));
            }
        }
    }

    fn remove_entry(&mut self, name: &Name, entry: &Entry) {
        if let Some(owned) = self.entries_by_owner.get_mut(entry.owner.as_str()) {
            owned.remove(name);
            if owned.is_empty() {
                self.entries_by_owner.remove(entry.owner.as_str());
            }
        }
        let Target::Path { prefix, .. } = &entry.target else {
            return;
        };
        let Some(methods) = self.entries_by_path.get_mut(prefix.as_str()) else {
            return;
        };
        for method in indexed_methods(entry) {
            if let Some(names) = methods.get_mut(method) {
                names.retain(|other| other != name);
                if names.is_empty() {
                    methods.remove(method);
                }
            }
        }
        if methods.is_empty() {
            self.entries_by_path.remove(prefix.as_str());
        }
    }
}

/// Methods under which an entry is indexed.
fn indexed_methods(entry: &Entry) -> SmallVec<[&str; 2]> {
    match &entry.target {
        Target::Path { methods, .. } if !methods.is_empty() => {
            methods.iter().map(String::as_str).collect()
        }
        _ => SmallVec::from_slice(&[ANY_METHOD]),
    }
}

fn kind_of(entity: &Entity) -> Kind {
    match entity {
        Entity::Owner(_) => Kind::Owner,
        Entity::Pool(_) => Kind::Pool,
        Entity::Model(_) => Kind::Model,
        Entity::Entry(_) => Kind::Entry,
        Entity::Drain(_) => Kind::Drain,
    }
}
