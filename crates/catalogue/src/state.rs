//! The fold over the log, which decides on edits and holds the catalogue in force.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use wire::record::record::Body;
use wire::record::{Change, Edit, Record, RulesRaise, Snapshot};

use crate::rules::FIRST_VERSION;
use crate::table::View;
use crate::{DecidedEdit, Findings, Key, Offset, Refusal, Revision, Rules, Verdict, Version};

mod acceptance;

/// Where and why the fold stopped. The catalogue in force stays in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frozen {
    /// Offset of the record that raised the rules version.
    pub offset: Offset,
    /// Version in force since then, unknown to this software.
    pub rules: Version,
}

/// Effect of a record on the catalogue.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// An edit with its verdict.
    Edit(Verdict),
    /// The rules were raised to this version.
    Raised(Version),
    /// The rules were raised to a version that this software does not know.
    Frozen(Frozen),
    /// A snapshot that cannot have been folded from this log; its writer is faulty.
    SnapshotDiffers,
    /// The record does not change the catalogue.
    NoEffect,
    /// Records before this one are missing, so it was not folded. A snapshot that covers them must
    /// be adopted first.
    Gap {
        /// First missing offset.
        missing: Offset,
    },
    /// The record was folded before.
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
    /// Creates the empty catalogue before the first record.
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

    /// Entities in force.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Revision in force; 0 before the first accepted edit.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Offset of the newest folded record.
    pub fn folded(&self) -> Offset {
        self.folded
    }

    /// Oldest base revision that an edit may have.
    pub fn horizon(&self) -> Revision {
        self.horizon
    }

    /// Version of the rules in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Rules that this software knows.
    pub fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }

    /// Where the fold stopped, if the rules in force are unknown to this software.
    pub fn frozen(&self) -> Option<Frozen> {
        self.frozen
    }

    /// Decided edits, newest first; a bounded number of those since the process started.
    pub fn history(&self) -> impl Iterator<Item = &DecidedEdit> {
        self.history.iter().rev()
    }

    /// Folds one record. The caller passes every record, whatever its content; repeats are ignored,
    /// and omissions are reported as a gap.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        // A reader that starts over passes records again. Folding an old edit a second time would
        // bring back an older value and decrease the revision.
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
        // A reader that fell behind the retention and cannot read the snapshot that covers the gap
        // would otherwise continue from an older catalogue and publish it as the newest.
        if offset > self.folded + 1 {
            return Applied::Gap {
                missing: self.folded + 1,
            };
        }
        let applied = match &record.body {
            Some(Body::Edit(edit)) => Applied::Edit(self.decide(offset, edit)),
            Some(Body::RulesRaise(raise)) => self.raise_rules(offset, *raise),
            Some(Body::Snapshot(snapshot)) if self.contradicts(snapshot) => {
                Applied::SnapshotDiffers
            }
            _ => Applied::NoEffect,
        };
        // A frozen state keeps its offset, so that it is not taken for a newer one.
        if self.frozen.is_none() {
            self.folded = offset;
        }
        applied
    }

    fn raise_rules(&mut self, offset: Offset, raise: RulesRaise) -> Applied {
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

    /// Creates the state of a snapshot whose entities were parsed into `view`.
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

/// Returns the findings that an edit with these changes would have now, without applying it.
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
        // The base is the newest revision, so the edit can be neither in conflict nor stale.
        Ok(()) | Err(Refusal::Conflict(_) | Refusal::Stale { .. }) => Findings::new(),
    }
}
