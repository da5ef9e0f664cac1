//! The fold of the log: catalogue and authority together, from the log's first record or from a
//! snapshot, without a gap, and never back.

use std::collections::VecDeque;

use catalogue::{Applied, SnapshotError};
use platform::Chunk;
use wire::Message as _;
use wire::record::record::Body;
use wire::record::{Record, Snapshot};

use crate::Offset;

/// One step of the fold.
pub(crate) enum FoldStep {
    /// A record was folded.
    Record(Box<FoldedRecord>),
    /// The state was taken from a snapshot.
    Restored,
}

/// A folded record and what it did.
pub(crate) struct FoldedRecord {
    pub(crate) offset: Offset,
    pub(crate) record: Record,
    pub(crate) applied: Applied,
    pub(crate) effect: authority::effect::Effect,
}

/// Snapshots of others that were compared with the own fold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SnapshotComparisons {
    pub(crate) same: u64,
    pub(crate) different: u64,
}

/// The folds. Records that lie behind a gap wait in `held` until a snapshot covers the gap.
pub(crate) struct Replica {
    catalogue: catalogue::State,
    authority: authority::state::State,
    pending: VecDeque<(Offset, Record)>,
    /// The newest state that a peer offered and that was not tried yet.
    offered: Option<Box<Snapshot>>,
    first: Offset,
    next: Offset,
    /// The newest snapshot in the log that was met, by what it covers.
    snapshot_upto: Offset,
    comparisons: SnapshotComparisons,
}

impl Default for Replica {
    fn default() -> Self {
        Self {
            catalogue: catalogue::State::default(),
            authority: authority::state::State::new(),
            pending: VecDeque::new(),
            offered: None,
            first: 1,
            next: 1,
            snapshot_upto: 0,
            comparisons: SnapshotComparisons::default(),
        }
    }
}

impl Replica {
    pub(crate) fn catalogue(&self) -> &catalogue::State {
        &self.catalogue
    }

    pub(crate) fn authority(&self) -> &authority::state::State {
        &self.authority
    }

    /// Highest folded offset. A catalogue whose rules are unknown stays behind it.
    pub(crate) fn folded(&self) -> Offset {
        self.authority.folded()
    }

    /// First retained offset and the offset of the next append, as last read.
    pub(crate) fn retained(&self) -> (Offset, Offset) {
        (self.first, self.next)
    }

    /// What the newest snapshot in the log covers.
    pub(crate) fn snapshot_upto(&self) -> Offset {
        self.snapshot_upto
    }

    pub(crate) fn comparisons(&self) -> SnapshotComparisons {
        self.comparisons
    }

    /// Whether all that the log held at the last read is folded.
    pub(crate) fn is_up_to_date(&self) -> bool {
        self.pending.is_empty() && self.folded() + 1 >= self.next
    }

    /// Whether records are missing that no snapshot has covered so far.
    pub(crate) fn has_gap(&self) -> bool {
        let first_pending = self.pending.front().map(|(offset, _)| *offset);
        self.folded() + 1 < first_pending.unwrap_or(self.first)
    }

    /// Takes in what was read; [`Replica::step`] folds it. A record that no decoder understands is
    /// the same bytes for all and is folded by all as one without effect.
    pub(crate) fn push(&mut self, chunk: Chunk) -> Vec<(Offset, Record)> {
        self.first = self.first.max(chunk.first);
        self.next = self.next.max(chunk.next);
        let decode = |entry: platform::Entry| {
            let record = Record::decode(entry.data).unwrap_or_default();
            (entry.offset, record)
        };
        let records: Vec<_> = chunk.records.into_iter().map(decode).collect();
        self.pending.extend(records.iter().cloned());
        records
    }

    /// Notes that the log does not retain anything before `first` any more.
    pub(crate) fn discard_before(&mut self, first: Offset, next: Offset) {
        self.first = self.first.max(first);
        self.next = self.next.max(next);
        self.pending.retain(|(offset, _)| *offset >= first);
    }

    /// Offers a peer's state; [`Replica::step`] takes it if it is newer.
    pub(crate) fn offer_snapshot(&mut self, snapshot: Box<Snapshot>) {
        let newest = self.offered.as_ref().map_or(0, |known| known.upto);
        if snapshot.upto > newest {
            self.offered = Some(snapshot);
        }
    }

    /// Folds on by one record; `None` when there is nothing to fold.
    pub(crate) fn step(&mut self) -> Option<FoldStep> {
        if let Some(snapshot) = self.offered.take()
            && self.restore(&snapshot)
        {
            return Some(FoldStep::Restored);
        }
        while self.pending.front()?.0 <= self.folded() {
            self.pending.pop_front();
        }
        if self.pending.front()?.0 == self.folded() + 1 {
            let (offset, record) = self.pending.pop_front()?;
            return Some(self.fold(offset, record));
        }
        self.restore_over_gap().then_some(FoldStep::Restored)
    }

    /// The state as of the last folded record; `None` while it cannot be vouched for.
    pub(crate) fn snapshot(&self) -> Option<Snapshot> {
        let mut snapshot = self.catalogue.snapshot()?;
        if snapshot.upto != self.folded() || snapshot.upto == 0 {
            return None;
        }
        self.authority.fill_snapshot(&mut snapshot);
        catalogue::seal(&mut snapshot);
        Some(snapshot)
    }

    fn fold(&mut self, offset: Offset, record: Record) -> FoldStep {
        if let Some(Body::Snapshot(snapshot)) = &record.body {
            self.compare_snapshot(snapshot);
        }
        let applied = self.catalogue.apply(offset, &record);
        if applied == Applied::SnapshotDiffers {
            self.comparisons.different += 1;
            log::error!(offset, author:? = record.author; "a snapshot differs from the own fold");
        }
        let effect = self.authority.apply(offset, &record);
        FoldStep::Record(Box::new(FoldedRecord {
            offset,
            record,
            applied,
            effect,
        }))
    }

    /// Compares a snapshot with the own state, if it speaks of just this prefix of the log.
    fn compare_snapshot(&mut self, snapshot: &Snapshot) {
        if catalogue::verify(snapshot).is_err() {
            return;
        }
        self.snapshot_upto = self.snapshot_upto.max(snapshot.upto);
        if snapshot.upto != self.folded() {
            return;
        }
        match self.snapshot() {
            Some(own) if own.digest == snapshot.digest => self.comparisons.same += 1,
            Some(_) => {
                self.comparisons.different += 1;
                log::error!(upto = snapshot.upto; "a snapshot differs from the own state");
            }
            None => (),
        }
    }

    /// Takes the newest snapshot among the held records that leaves no gap.
    fn restore_over_gap(&mut self) -> bool {
        let Some(first_pending) = self.pending.front().map(|(offset, _)| *offset) else {
            return false;
        };
        let fits = |snapshot: &&Snapshot| snapshot.upto + 1 >= first_pending;
        let snapshots = self
            .pending
            .iter()
            .filter_map(|(_, record)| match &record.body {
                Some(Body::Snapshot(snapshot)) => Some(snapshot),
                _ => None,
            });
        let mut fitting: Vec<Snapshot> = snapshots.filter(fits).cloned().collect();
        fitting.sort_by_key(|snapshot| std::cmp::Reverse(snapshot.upto));
        fitting.iter().any(|snapshot| self.restore(snapshot))
    }

    /// Takes a whole state if it is newer than what is folded, whoever offers it: the state of this
    /// process never goes back. The catalogue looks by itself, but one whose rules are unknown has
    /// folded less than the authority, which would go back to a former holder.
    fn restore(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.upto <= self.folded() {
            return false;
        }
        let authority = match authority::state::State::try_from(snapshot) {
            Ok(authority) => authority,
            Err(error) => {
                log::error!(upto = snapshot.upto, error:?; "a snapshot is malformed");
                return false;
            }
        };
        let adopted: Result<bool, SnapshotError> = self.catalogue.adopt(snapshot);
        match adopted {
            Ok(true) => {
                self.authority = authority;
                self.snapshot_upto = self.snapshot_upto.max(snapshot.upto);
                log::info!(upto = snapshot.upto, revision = snapshot.revision; "state taken from a snapshot");
                true
            }
            Ok(false) => false,
            Err(unfit) => {
                log::error!(upto = snapshot.upto, error:% = unfit; "a snapshot can't be used");
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;
