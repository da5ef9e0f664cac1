//! The fold over the log: which edits are accepted, and what is in force.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use wire::record::record::Body;
use wire::record::{Change, Edit, Record, RulesRaise, Snapshot};

use crate::rules::FIRST_VERSION;
use crate::table::View;
use crate::{DecidedEdit, Findings, Key, Offset, Refusal, Revision, Rules, Verdict, Version};

mod acceptance;

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
    NoEffect,
    /// Records before it were left out, so that it cannot be judged. A snapshot must be adopted
    /// that covers them.
    Gap {
        /// The first offset that is missing.
        missing: Offset,
    },
    /// It was folded before; a catalogue never goes back.
    AlreadyFolded,
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
    history: VecDeque<DecidedEdit>,
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
            version: FIRST_VERSION,
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
    pub fn history(&self) -> impl Iterator<Item = &DecidedEdit> {
        self.history.iter().rev()
    }

    /// Folds one record. All records are handed in, whatever they hold; they may come twice, but
    /// none may be left out.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        // A reader that starts over may hand in records again. Folding an old edit a second time
        // would bring an older value back, and show as a revision that falls.
        if offset <= self.folded {
            return Applied::AlreadyFolded;
        }
        if let Some(frozen) = self.frozen {
            return match &record.body {
                Some(Body::Edit(edit)) => {
                    let verdict = Verdict::Undecided {
                        rules: frozen.rules,
                    };
                    self.add_to_history(offset, edit, &verdict);
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
            Some(Body::Edit(edit)) => Applied::Edit(self.decide(offset, edit)),
            Some(Body::RulesRaise(raise)) => self.raise(offset, *raise),
            Some(Body::Snapshot(snapshot)) if self.contradicts(snapshot) => {
                Applied::SnapshotDiffers
            }
            _ => Applied::NoEffect,
        };
        // A frozen state keeps its offset, so that nobody takes it for a newer one than it is.
        if self.frozen.is_none() {
            self.folded = offset;
        }
        applied
    }

    fn raise(&mut self, offset: Offset, raise: RulesRaise) -> Applied {
        if raise.rules <= self.version {
            return Applied::NoEffect;
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

    /// The state as of a snapshot whose entities were read into `view`.
    pub(crate) fn from_snapshot(rules: Arc<Rules>, snapshot: &Snapshot, view: View) -> Self {
        let mut state = Self::new(rules);
        state.tombstones = view
            .slots()
            .filter(|(_, _, slot)| slot.entity.is_none())
            .map(|(kind, name, slot)| (slot.revision, Key::new(kind, name)))
            .collect();
        state.version = snapshot.rules;
        state.folded = snapshot.upto;
        state.revision = snapshot.revision;
        state.horizon = snapshot.horizon;
        state.view = view;
        state
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
