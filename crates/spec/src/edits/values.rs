//! Values in the state of the edit model, compared by content.

use catalogue::{Applied, State};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use wire::Message;
use wire::record::{Record, Snapshot};

/// A folded catalogue, compared by the contents of its snapshot.
#[derive(Clone, Debug)]
pub(super) struct FoldedState {
    pub(super) state: State,
    pub(super) snapshot: Snapshot,
}

impl FoldedState {
    pub(super) fn new(state: State) -> Self {
        let snapshot = state.snapshot().unwrap_or_default();
        Self { state, snapshot }
    }

    /// The state after one more record.
    pub(super) fn after(&self, offset: u64, record: &Record) -> (Self, Applied) {
        let mut state = self.state.clone();
        let applied = state.apply(offset, record);
        (Self::new(state), applied)
    }

    pub(super) fn sealed_snapshot(&self) -> Snapshot {
        let mut snapshot = self.snapshot.clone();
        catalogue::seal(&mut snapshot);
        snapshot
    }
}

impl PartialEq for FoldedState {
    fn eq(&self, other: &Self) -> bool {
        self.snapshot == other.snapshot
    }
}

impl Eq for FoldedState {}

impl Hash for FoldedState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.snapshot.encode_to_vec().hash(hasher);
    }
}

/// A record in flight or in the log.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SharedRecord(pub(super) Rc<Record>);

impl Eq for SharedRecord {}

impl Hash for SharedRecord {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.encode_to_vec().hash(hasher);
    }
}
