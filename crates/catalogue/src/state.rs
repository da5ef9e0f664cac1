//! The fold over the log: which edits are accepted, and what is in force.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use smallvec::SmallVec;
use wire::record::record::Body;
use wire::record::{Change, Edit, Record, RulesRaise};

use crate::finding::nearest;
use crate::rules::FIRST;
use crate::table::{Slot, View};
use crate::{
    Conflict, Findings, Judgement, Key, Kind, Offset, Raw, Refusal, Revision, Rules, Verdict,
    Version,
};

/// Judgements that are kept for operators.
const HISTORY: usize = 256;
/// Tombstones that are kept. An edit that is based on a revision before the oldest dropped one is
/// refused as stale.
const TOMBSTONES: usize = 1024;

/// Where and why the fold stopped. What was in force stays in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frozen {
    /// Offset of the record that raised the rules.
    pub offset: Offset,
    /// Version in force since, unknown to this software.
    pub rules: Version,
}

/// What a record did to the catalogue.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// It was an edit.
    Edit(Verdict),
    /// It raised the rules to this version.
    Raised(Version),
    /// It raised the rules to a version that this software does not know.
    Frozen(Frozen),
    /// A snapshot that cannot have been folded from this log; its writer must be looked at.
    SnapshotDiffers,
    /// It concerns others.
    Nothing,
    /// Records before it were left out, so that it cannot be judged. A snapshot must be adopted
    /// that covers them.
    Gap {
        /// The first offset that is missing.
        missing: Offset,
    },
    /// It was folded before; a catalogue never goes back.
    Old,
}

/// The folded catalogue.
#[derive(Clone, Debug)]
pub struct State {
    rules: Arc<Rules>,
    version: Version,
    frozen: Option<Frozen>,
    folded: Offset,
    revision: Revision,
    horizon: Revision,
    tombstones: BTreeSet<(Revision, Key)>,
    history: VecDeque<Judgement>,
    view: View,
}

impl Default for State {
    fn default() -> Self {
        Self::new(Arc::new(Rules::default()))
    }
}

impl State {
    /// The empty catalogue before the first record.
    pub fn new(rules: Arc<Rules>) -> Self {
        Self {
            rules,
            version: FIRST,
            frozen: None,
            folded: 0,
            revision: 0,
            horizon: 0,
            tombstones: BTreeSet::new(),
            history: VecDeque::new(),
            view: View::default(),
        }
    }

    /// The entities in force.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Revision in force; 0 before the first accepted edit.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Offset of the newest record that was folded.
    pub fn folded(&self) -> Offset {
        self.folded
    }

    /// Oldest base revision that is still judged.
    pub fn horizon(&self) -> Revision {
        self.horizon
    }

    /// Version of the rules in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The rules that this software knows.
    pub fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }

    /// Set once the rules in force are unknown to this software.
    pub fn frozen(&self) -> Option<Frozen> {
        self.frozen
    }

    /// Judgements, newest first. They are kept from the start of this process and bounded.
    pub fn history(&self) -> impl Iterator<Item = &Judgement> {
        self.history.iter().rev()
    }

    /// Folds one record. All records are handed in, whatever they hold; they may come twice, but
    /// none may be left out.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        // A reader that starts over may hand in records again. Folding an old edit a second time
        // would bring an older value back, and show as a revision that falls.
        if offset <= self.folded {
            return Applied::Old;
        }
        if let Some(frozen) = self.frozen {
            return match &record.body {
                Some(Body::Edit(edit)) => {
                    let verdict = Verdict::Undecided {
                        rules: frozen.rules,
                    };
                    self.keep(offset, edit, &verdict);
                    Applied::Edit(verdict)
                }
                _ => Applied::Frozen(frozen),
            };
        }
        // A reader that fell behind the retention, and cannot read the snapshot that covers the
        // hole, would fold on from an older catalogue and give it out as the newest.
        if offset > self.folded + 1 {
            return Applied::Gap {
                missing: self.folded + 1,
            };
        }
        let applied = match &record.body {
            Some(Body::Edit(edit)) => Applied::Edit(self.judge(offset, edit)),
            Some(Body::RulesRaise(raise)) => self.raise(offset, *raise),
            Some(Body::Snapshot(snapshot)) if self.contradicts(snapshot) => {
                Applied::SnapshotDiffers
            }
            _ => Applied::Nothing,
        };
        // A frozen state keeps its offset, so that nobody takes it for a newer one than it is.
        if self.frozen.is_none() {
            self.folded = offset;
        }
        applied
    }

    fn judge(&mut self, offset: Offset, edit: &Edit) -> Verdict {
        let verdict = match self.accept(offset, edit) {
            Ok(()) => Verdict::Accepted { revision: offset },
            Err(refusal) => Verdict::Refused(refusal),
        };
        self.keep(offset, edit, &verdict);
        verdict
    }

    fn accept(&mut self, offset: Offset, edit: &Edit) -> Result<(), Refusal> {
        let touched = touched(offset, edit).map_err(Refusal::Invalid)?;
        if edit.base_revision < self.horizon {
            let horizon = self.horizon;
            return Err(Refusal::Stale { horizon });
        }
        let conflicts = self.conflicts(edit.base_revision, &touched);
        if !conflicts.is_empty() {
            return Err(Refusal::Conflict(conflicts));
        }
        self.replace(offset, edit, &touched)
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

    /// Puts the changes in place, checks what they concern and takes them back if anything is
    /// wrong, so that an edit costs what it touches and not the size of the catalogue.
    fn replace(&mut self, offset: Offset, edit: &Edit, touched: &[Key]) -> Result<(), Findings> {
        let mut findings = Findings::new();
        let slots = self.read(offset, edit, touched, &mut findings);
        let mut replaced: SmallVec<[Option<Arc<Slot>>; 4]> = SmallVec::new();
        for (key, slot) in touched.iter().zip(&slots) {
            replaced.push(match slot {
                Some(slot) => self.view.put(key, Some(slot)),
                None => self.view.slot(key.kind, &key.name).cloned(),
            });
        }
        let faulty: SmallVec<[&Key; 4]> = touched
            .iter()
            .zip(&slots)
            .filter(|(_, slot)| slot.is_none())
            .map(|(key, _)| key)
            .collect();
        self.relate(touched, &faulty, &mut findings);
        if !findings.is_empty() {
            for (key, old) in touched.iter().zip(replaced).rev() {
                self.view.put(key, old.as_ref());
            }
            return Err(findings);
        }
        for (key, old) in touched.iter().zip(&replaced) {
            self.bury(offset, key, old.as_deref());
        }
        self.revision = offset;
        Ok(())
    }

    /// Reads the changed entities; one with findings gives `None` and is left as it was.
    fn read(
        &self,
        offset: Offset,
        edit: &Edit,
        touched: &[Key],
        findings: &mut Findings,
    ) -> SmallVec<[Option<Arc<Slot>>; 4]> {
        let read = |(change, key): (&Change, &Key)| {
            let entity = if change.json.is_empty() {
                if self.view.entity(key.kind, &key.name).is_none() {
                    findings.add(key.kind, &key.name, "", "cannot be removed, there is none");
                    return None;
                }
                None
            } else {
                let raw = Raw {
                    kind: key.kind,
                    name: &key.name,
                    json: &change.json,
                };
                // `frozen` is set where the version is unknown, and then nothing is judged.
                let set = self.rules.get(self.version)?;
                match (set.read)(&raw) {
                    Ok(entity) => Some(entity),
                    Err(faults) => {
                        for fault in &faults {
                            findings.push(fault.clone());
                        }
                        return None;
                    }
                }
            };
            Some(Arc::new(Slot {
                revision: offset,
                operator: Box::from(edit.operator.as_str()),
                rules: self.version,
                json: Box::from(change.json.as_str()),
                entity,
            }))
        };
        edit.changes.iter().zip(touched).map(read).collect()
    }

    /// Checks the changed entities against all others, and those that name them. Nothing else
    /// can have become invalid. What names a faulty entity is left out: that a new pool is
    /// missing is no news where the pool itself was found faulty.
    fn relate(&self, touched: &[Key], faulty: &[&Key], findings: &mut Findings) {
        let Some(set) = self.rules.get(self.version) else {
            return;
        };
        let mut relate = |kind: Kind, name: &str| {
            if let Some(entity) = self.view.entity(kind, name)
                && !entity.references().iter().any(|key| faulty.contains(&key))
            {
                (set.relate)(&self.view, entity, findings);
            }
        };
        for key in touched {
            relate(key.kind, &key.name);
            for (kind, name) in self.view.index().dependents(key) {
                relate(*kind, name);
            }
        }
    }

    /// Keeps count of tombstones. A removed entity must be remembered: otherwise an edit that was
    /// made before the removal would be accepted after it and silently bring the entity back.
    fn bury(&mut self, offset: Offset, key: &Key, old: Option<&Slot>) {
        if let Some(old) = old.filter(|old| old.entity.is_none()) {
            self.tombstones.remove(&(old.revision, key.clone()));
        }
        if self.view.entity(key.kind, &key.name).is_none() {
            self.tombstones.insert((offset, key.clone()));
        }
        while self.tombstones.len() > TOMBSTONES {
            if let Some((revision, key)) = self.tombstones.pop_first() {
                self.view.put(&key, None);
                self.horizon = revision;
            }
        }
    }

    fn raise(&mut self, offset: Offset, raise: RulesRaise) -> Applied {
        if raise.rules <= self.version {
            return Applied::Nothing;
        }
        if self.rules.get(raise.rules).is_some() {
            self.version = raise.rules;
            return Applied::Raised(raise.rules);
        }
        let frozen = Frozen {
            offset,
            rules: raise.rules,
        };
        self.frozen = Some(frozen);
        Applied::Frozen(frozen)
    }

    fn keep(&mut self, offset: Offset, edit: &Edit, verdict: &Verdict) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        let name = |change: &Change| format!("{} {}", change.kind, change.name);
        self.history.push_back(Judgement {
            offset,
            operator: edit.operator.clone(),
            note: edit.note.clone(),
            base_revision: edit.base_revision,
            touched: edit.changes.iter().map(name).collect(),
            verdict: verdict.clone(),
        });
    }

    pub(crate) fn restored(
        rules: Arc<Rules>,
        version: Version,
        [folded, revision, horizon]: [Offset; 3],
        view: View,
    ) -> Self {
        let mut state = Self::new(rules);
        state.tombstones = view
            .slots()
            .filter(|(_, _, slot)| slot.entity.is_none())
            .map(|(kind, name, slot)| (slot.revision, Key::new(kind, name)))
            .collect();
        state.version = version;
        state.folded = folded;
        state.revision = revision;
        state.horizon = horizon;
        state.view = view;
        state
    }
}

/// The entities that an edit touches, if its form is right. This much is the same under all
/// versions of the rules.
fn touched(offset: Offset, edit: &Edit) -> Result<SmallVec<[Key; 4]>, Findings> {
    let mut findings = Findings::new();
    let mut keys: SmallVec<[Key; 4]> = SmallVec::new();
    if edit.operator.is_empty() {
        findings.add_edit("operator", "is missing");
    }
    if edit.base_revision >= offset {
        findings.add_edit("base_revision", "lies in the future");
    }
    if edit.changes.is_empty() {
        findings.add_edit("changes", "are missing");
    }
    let mut seen = BTreeSet::new();
    for (position, change) in edit.changes.iter().enumerate() {
        let Some(kind) = Kind::from_word(&change.kind) else {
            let problem = unknown_kind(&change.kind);
            findings.add_edit(&format!("changes[{position}].kind"), problem);
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
    let known = Kind::ALL.map(Kind::word);
    match nearest(word, &known) {
        Some(near) => format!("`{word}` is no kind, perhaps `{near}` was meant"),
        None => format!("`{word}` is no kind, the kinds are {}", known.join(", ")),
    }
}

/// Says what would be wrong with an edit that is made now, without making it.
pub fn check(state: &State, changes: &[Change]) -> Findings {
    let mut trial = state.clone();
    let edit = Edit {
        base_revision: state.revision.max(state.horizon),
        operator: "check".to_owned(),
        note: String::new(),
        changes: changes.to_vec(),
    };
    match trial.accept(state.folded.max(edit.base_revision) + 1, &edit) {
        Err(Refusal::Invalid(findings)) => findings,
        // The base is the newest revision, so that nothing conflicts and nothing is stale.
        Ok(()) | Err(Refusal::Conflict(_) | Refusal::Stale { .. }) => Findings::new(),
    }
}
