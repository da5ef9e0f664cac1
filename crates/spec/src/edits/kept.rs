//! What the edit model keeps, with comparisons by content.

use catalogue::{Applied, State};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use wire::Message;
use wire::record::{Record, Snapshot};

/// A folded catalogue, compared by what a snapshot of it holds.
#[derive(Clone, Debug)]
pub(super) struct Folded {
    pub(super) state: State,
    pub(super) snapshot: Snapshot,
}

impl Folded {
    pub(super) fn new(state: State) -> Self {
        let snapshot = state.snapshot().unwrap_or_default();
        Self { state, snapshot }
    }

    /// After one more record.
    pub(super) fn after(&self, offset: u64, record: &Record) -> (Self, Applied) {
        let mut state = self.state.clone();
        let applied = state.apply(offset, record);
        (Self::new(state), applied)
    }

    pub(super) fn sealed(&self) -> Snapshot {
        let mut snapshot = self.snapshot.clone();
        catalogue::seal(&mut snapshot);
        snapshot
    }
}

impl PartialEq for Folded {
    fn eq(&self, other: &Self) -> bool {
        self.snapshot == other.snapshot
    }
}

impl Eq for Folded {}

impl Hash for Folded {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.snapshot.encode_to_vec().hash(hasher);
    }
}

/// A record on its way or in the log.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Letter(pub(super) Rc<Record>);

impl Eq for Letter {}

impl Hash for Letter {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.encode_to_vec().hash(hasher);
    }
}
