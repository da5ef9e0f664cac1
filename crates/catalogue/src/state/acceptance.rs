//! Acceptance of edits: checks the form, the base revision, the changed entities and their
//! dependents.

use std::collections::BTreeSet;
use std::sync::Arc;

use smallvec::SmallVec;
use wire::record::{Change, Edit};

use super::State;
use crate::finding::nearest;
use crate::table::Slot;
use crate::{
    Conflict, DecidedEdit, Entity, Findings, Key, Kind, Offset, RawEntity, Refusal, Revision,
    Verdict,
};

/// Number of decided edits in the history for operators.
const MAX_HISTORY: usize = 256;
/// Number of tombstones that are kept. An edit based on a revision before that of the last
/// dropped one is refused as stale.
const MAX_TOMBSTONES: usize = 1024;

impl State {
    pub(super) fn decide(&mut self, offset: Offset, edit: &Edit) -> Verdict {
        let verdict = match self.accept(offset, edit) {
            Ok(()) => Verdict::Accepted { revision: offset },
            Err(refusal) => Verdict::Refused(refusal),
        };
        self.add_to_history(offset, edit, &verdict);
        verdict
    }

    pub(super) fn accept(&mut self, offset: Offset, edit: &Edit) -> Result<(), Refusal> {
        let touched = touched_keys(offset, edit).map_err(Refusal::Invalid)?;
        if edit.base_revision < self.horizon {
            let horizon = self.horizon;
            return Err(Refusal::Stale { horizon });
        }
        let conflicts = self.conflicts(edit.base_revision, &touched);
        if !conflicts.is_empty() {
            return Err(Refusal::Conflict(conflicts));
        }
        self.apply_changes(offset, edit, &touched)
            .map_err(Refusal::Invalid)
    }

    fn conflicts(&self, base: Revision, touched: &[Key]) -> Vec<Conflict> {
        let changed = |key: &Key| {
            let slot = self.view.slot(key.kind, &key.name)?;
            (slot.revision > base).then(|| Conflict {
                entity: key.clone(),
                operator: slot.operator.to_string(),
                revision: slot.revision,
            })
        };
        touched.iter().filter_map(changed).collect()
    }

    /// Applies the changes, validates the affected entities and rolls back if there are findings.
    /// The cost depends on the entities touched and not on the size of the catalogue.
    fn apply_changes(
        &mut self,
        offset: Offset,
        edit: &Edit,
        touched: &[Key],
    ) -> Result<(), Findings> {
        let mut findings = Findings::new();
        let slots = self.parse_changes(offset, edit, touched, &mut findings);
        let mut replaced: SmallVec<[Option<Arc<Slot>>; 4]> = SmallVec::new();
        for (key, slot) in touched.iter().zip(&slots) {
            replaced.push(match slot {
                Some(slot) => self.view.replace(key, Some(slot)),
                None => self.view.slot(key.kind, &key.name).cloned(),
            });
        }
        let faulty: SmallVec<[&Key; 4]> = touched
            .iter()
            .zip(&slots)
            .filter(|(_, slot)| slot.is_none())
            .map(|(key, _)| key)
            .collect();
        self.validate(touched, &faulty, &mut findings);
        if !findings.is_empty() {
            for (key, old) in touched.iter().zip(replaced).rev() {
                self.view.replace(key, old.as_ref());
            }
            return Err(findings);
        }
        for (key, old) in touched.iter().zip(&replaced) {
            self.track_tombstones(offset, key, old.as_deref());
        }
        self.revision = offset;
        Ok(())
    }

    /// Parses the changed entities; one with findings yields `None` and is left unchanged.
    fn parse_changes(
        &self,
        offset: Offset,
        edit: &Edit,
        touched: &[Key],
        findings: &mut Findings,
    ) -> SmallVec<[Option<Arc<Slot>>; 4]> {
        let parse = |(change, key): (&Change, &Key)| {
            let entity = if change.json.is_empty() {
                self.check_removal(key, findings)?;
                None
            } else {
                Some(self.parse_entity(change, key, findings)?)
            };
            Some(Arc::new(Slot {
                revision: offset,
                operator: Box::from(edit.operator.as_str()),
                rules: self.version,
                json: Box::from(change.json.as_str()),
                entity,
            }))
        };
        edit.changes.iter().zip(touched).map(parse).collect()
    }

    /// Adds a finding and returns `None` if the entity does not exist.
    fn check_removal(&self, key: &Key, findings: &mut Findings) -> Option<()> {
        if self.view.entity(key.kind, &key.name).is_none() {
            findings.add(key.kind, &key.name, "", "cannot be removed, there is none");
            return None;
        }
        Some(())
    }

    fn parse_entity(&self, change: &Change, key: &Key, findings: &mut Findings) -> Option<Entity> {
        let raw = RawEntity {
            kind: key.kind,
            name: &key.name,
            json: &change.json,
        };
        // An unknown version freezes the state, and then no edit is decided.
        let set = self.rules.get(self.version)?;
        let parsed = (set.parse)(&raw);
        let report = |found: &Findings| found.iter().cloned().for_each(|one| findings.push(one));
        parsed.inspect_err(report).ok()
    }

    /// Validates the changed entities and their dependents; no others can have become invalid.
    /// Entities that refer to a faulty one are skipped: a new pool need not be reported as missing
    /// where the pool itself has findings.
    fn validate(&self, touched: &[Key], faulty: &[&Key], findings: &mut Findings) {
        let Some(set) = self.rules.get(self.version) else {
            return;
        };
        let mut validate = |kind: Kind, name: &str| {
            if let Some(entity) = self.view.entity(kind, name)
                && !entity.references().iter().any(|key| faulty.contains(&key))
            {
                (set.validate)(&self.view, entity, findings);
            }
        };
        for key in touched {
            validate(key.kind, &key.name);
            for (kind, name) in self.view.index().dependents(key) {
                validate(*kind, name);
            }
        }
    }

    /// Updates the tombstones and drops the oldest beyond the limit. Without a tombstone, an edit
    /// based on a revision before the removal would be accepted and silently restore the entity.
    fn track_tombstones(&mut self, offset: Offset, key: &Key, old: Option<&Slot>) {
        if let Some(old) = old.filter(|old| old.entity.is_none()) {
            self.tombstones.remove(&(old.revision, key.clone()));
        }
        if self.view.entity(key.kind, &key.name).is_none() {
            self.tombstones.insert((offset, key.clone()));
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            if let Some((revision, key)) = self.tombstones.pop_first() {
                self.view.replace(&key, None);
                self.horizon = revision;
            }
        }
    }

    pub(super) fn add_to_history(&mut self, offset: Offset, edit: &Edit, verdict: &Verdict) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        let name = |change: &Change| format!("{} {}", change.kind, change.name);
        self.history.push_back(DecidedEdit {
            offset,
            operator: edit.operator.clone(),
            note: edit.note.clone(),
            base_revision: edit.base_revision,
            touched: edit.changes.iter().map(name).collect(),
            verdict: verdict.clone(),
        });
    }
}

/// Returns the keys that an edit touches, if it is well-formed. This check is the same in all
/// versions of the rules.
fn touched_keys(offset: Offset, edit: &Edit) -> Result<SmallVec<[Key; 4]>, Findings> {
    let mut findings = Findings::new();
    let mut keys: SmallVec<[Key; 4]> = SmallVec::new();
    if edit.operator.is_empty() {
        findings.add_edit_finding("operator", "is missing");
    }
    if edit.base_revision >= offset {
        findings.add_edit_finding("base_revision", "lies in the future");
    }
    if edit.changes.is_empty() {
        findings.add_edit_finding("changes", "are missing");
    }
    let mut seen = BTreeSet::new();
    for (position, change) in edit.changes.iter().enumerate() {
        let Some(kind) = Kind::from_label(&change.kind) else {
            let problem = unknown_kind(&change.kind);
            findings.add_edit_finding(&format!("changes[{position}].kind"), problem);
            continue;
        };
        let key = Key::new(kind, &change.name);
        if !seen.insert(key.clone()) {
            findings.add(kind, &change.name, "", "stands twice in the edit");
        }
        keys.push(key);
    }
    if findings.is_empty() {
        Ok(keys)
    } else {
        Err(findings)
    }
}

fn unknown_kind(word: &str) -> String {
    let known = Kind::ALL.map(Kind::label);
    match nearest(word, &known) {
        Some(near) => format!("`{word}` is no kind, perhaps `{near}` was meant"),
        None => format!("`{word}` is no kind, the kinds are {}", known.join(", ")),
    }
}
