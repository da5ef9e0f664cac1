//! Lookups of owners and entries for the data plane.

use crate::index::ANY_METHOD;
use crate::table::View;
use crate::{Entry, Owner, Target};

/// Digest under which the catalogue stores a bearer key.
pub fn digest(bearer_key: &str) -> [u8; 32] {
    *blake3::hash(bearer_key.as_bytes()).as_bytes()
}

/// Result of looking up a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PathMatch<'v> {
    /// The entry that serves the path.
    Entry(&'v Entry),
    /// The longest matching prefix does not serve the method.
    MethodNotAllowed,
    /// No entry has a matching prefix.
    NotFound,
}

impl View {
    /// Finds the owner of a bearer key. Only digests are compared, so that the timing reveals
    /// nothing about the keys.
    pub fn owner_of_key(&self, bearer_key: &str) -> Option<&Owner> {
        let name = self.index().owners_with_key(&digest(bearer_key)).first()?;
        self.owner(name)
    }

    /// Finds the entry with the longest prefix of `path` in whole segments. A method that it does
    /// not serve does not fall through to a shorter prefix, which might allow retries that the
    /// longer one forbids.
    pub fn entry_at(&self, method: &str, path: &str) -> PathMatch<'_> {
        let mut prefix = path;
        loop {
            if let Some(methods) = self.index().entries_at(prefix) {
                let names = methods.get(method).or_else(|| methods.get(ANY_METHOD));
                let entry = names
                    .and_then(|names| names.first())
                    .and_then(|name| self.entry(name));
                return entry.map_or(PathMatch::MethodNotAllowed, PathMatch::Entry);
            }
            prefix = match prefix.rfind('/') {
                Some(0) if prefix.len() > 1 => "/",
                Some(cut) if cut > 0 => &prefix[..cut],
                _ => return PathMatch::NotFound,
            };
        }
    }

    /// Resolves the `model` of a request: the owner's entry of that name, or else the owner's first
    /// entry by name that serves the model of that name.
    pub fn entry_for_model(&self, owner: &str, name: &str) -> Option<&Entry> {
        let is_model = |entry: &&Entry| matches!(&entry.target, Target::Model { .. });
        let serves_model =
            |entry: &&Entry| matches!(&entry.target, Target::Model { model, .. } if model == name);
        self.entry(name)
            .filter(|entry| entry.owner == owner)
            .filter(is_model)
            .or_else(|| self.entries_of(owner).find(serves_model))
    }

    /// Entries of an owner, sorted by name.
    pub fn entries_of(&self, owner: &str) -> impl Iterator<Item = &Entry> {
        self.index()
            .entries_of(owner)
            .filter_map(|name| self.entry(name))
    }
}
