//! Snapshots: the folded catalogue as a record, written before the log drops the edits.

use std::fmt;
use std::sync::Arc;

use wire::Message;
use wire::record::{Entity as Stored, Snapshot};

use crate::table::{Slot, View};
use crate::{Findings, Key, Kind, RawEntity, Rules, State, Version};

/// Reason why a snapshot is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The digest does not match the fields: damage, or faulty software wrote it.
    Digest,
    /// The snapshot requires a version of the rules that this software does not know.
    Rules(Version),
    /// Entities cannot be parsed by the rules under which they were accepted.
    Entities(Findings),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Digest => f.write_str("the digest of the snapshot is wrong"),
            Self::Rules(version) => write!(f, "the snapshot needs rules version {version}"),
            Self::Entities(findings) => write!(f, "the snapshot cannot be read: {findings}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// Sets the digest of a snapshot after all other fields are set.
pub fn seal(snapshot: &mut Snapshot) {
    snapshot.digest = digest(snapshot).to_vec();
}

/// Verifies the digest of a snapshot.
pub fn verify(snapshot: &Snapshot) -> Result<(), SnapshotError> {
    if snapshot.digest == digest(snapshot) {
        Ok(())
    } else {
        Err(SnapshotError::Digest)
    }
}

/// Hashes the encoding without the digest. The encoding is canonical: fields in the order of
/// their numbers, lists in a fixed order.
fn digest(snapshot: &Snapshot) -> [u8; 32] {
    let without_digest = Snapshot {
        digest: Vec::new(),
        ..snapshot.clone()
    };
    *blake3::hash(&without_digest.encode_to_vec()).as_bytes()
}

impl State {
    /// Creates the catalogue's part of a snapshot; the caller adds scopes and orders as of the same
    /// offset and seals it. `None` while frozen, since what is in force is unknown then.
    pub fn snapshot(&self) -> Option<Snapshot> {
        if self.frozen().is_some() {
            return None;
        }
        Some(Snapshot {
            upto: self.folded(),
            rules: self.version(),
            revision: self.revision(),
            entities: self.view().slots().map(to_record).collect(),
            horizon: self.horizon(),
            ..Snapshot::default()
        })
    }

    /// Restores the catalogue from a sealed snapshot.
    ///
    /// # Errors
    ///
    /// If the digest is wrong, the rules are unknown to this software, or an entity cannot be
    /// parsed.
    pub fn restore(rules: Arc<Rules>, snapshot: &Snapshot) -> Result<Self, SnapshotError> {
        verify(snapshot)?;
        if rules.get(snapshot.rules).is_none() {
            return Err(SnapshotError::Rules(snapshot.rules));
        }
        let view = parse_entities(&rules, snapshot)?;
        Ok(Self::from_snapshot(rules, snapshot, view))
    }

    /// Replaces the state by a sealed snapshot, from the log or a peer, if the snapshot is newer;
    /// returns whether it was. An instance never goes back to an older catalogue, whoever sends it.
    ///
    /// # Errors
    ///
    /// As [`State::restore`]; the state is unchanged then.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> Result<bool, SnapshotError> {
        if snapshot.upto <= self.folded() {
            return Ok(false);
        }
        *self = Self::restore(Arc::clone(self.rules()), snapshot)?;
        Ok(true)
    }

    /// Whether a snapshot in the log disagrees with the folded state. Content is comparable only
    /// while no newer edit was accepted.
    pub(crate) fn contradicts(&self, snapshot: &Snapshot) -> bool {
        let comparable = self.folded() >= snapshot.upto
            && self.revision() <= snapshot.upto
            && self.version() == snapshot.rules;
        let same = || {
            let ours = self.view().slots().map(to_record);
            snapshot.revision == self.revision()
                && snapshot.horizon == self.horizon()
                && ours.eq(snapshot.entities.iter().cloned())
        };
        verify(snapshot).is_err() || (comparable && !same())
    }
}

fn to_record((kind, name, slot): (Kind, &str, &Slot)) -> Stored {
    Stored {
        kind: kind.to_string(),
        name: name.to_owned(),
        json: slot.json.to_string(),
        revision: slot.revision,
        operator: slot.operator.to_string(),
        rules: slot.rules,
    }
}

fn parse_entities(rules: &Rules, snapshot: &Snapshot) -> Result<View, SnapshotError> {
    let mut view = View::default();
    let mut findings = Findings::new();
    for stored in &snapshot.entities {
        let Some(kind) = Kind::from_label(&stored.kind) else {
            findings.add_edit_finding("entities", format!("`{}` is no kind", stored.kind));
            continue;
        };
        let mut slot = Slot {
            revision: stored.revision,
            operator: Box::from(stored.operator.as_str()),
            rules: stored.rules,
            json: Box::from(stored.json.as_str()),
            entity: None,
        };
        if !stored.json.is_empty() {
            let raw = RawEntity {
                kind,
                name: &stored.name,
                json: &stored.json,
            };
            let set = rules
                .get(stored.rules)
                .ok_or(SnapshotError::Rules(stored.rules))?;
            match (set.parse)(&raw) {
                Ok(entity) => slot.entity = Some(entity),
                Err(found) => found.iter().for_each(|one| findings.push(one.clone())),
            }
        }
        view.replace(&Key::new(kind, &stored.name), Some(&Arc::new(slot)));
    }
    if findings.is_empty() {
        Ok(view)
    } else {
        Err(SnapshotError::Entities(findings))
    }
}
