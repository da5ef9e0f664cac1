//! Local replica of the state folded from the log: catalogue and authority, from the first record
//! or a snapshot, without gaps and never moving back.

use std::collections::VecDeque;

use catalogue::{Applied, SnapshotError};
use platform::Chunk;
use wire::Message as _;
use wire::record::record::Body;
use wire::record::{Record, Snapshot};

use crate::Offset;

/// One step of the fold.
pub(crate) enum FoldStep {
    /// A record was applied.
    Record(Box<FoldedRecord>),
    /// The state was restored from a snapshot.
    Restored,
}

/// A folded record and its effects.
pub(crate) struct FoldedRecord {
    pub(crate) offset: Offset,
    pub(crate) record: Record,
    pub(crate) applied: Applied,
    pub(crate) effect: authority::effect::Effect,
}

/// Results of comparing snapshots of other entries with the own state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SnapshotComparisons {
    pub(crate) same: u64,
    pub(crate) different: u64,
}

/// The folded state. Records after a gap wait in `pending` until a snapshot covers the gap.
pub(crate) struct Replica {
    catalogue: catalogue::State,
    authority: authority::state::State,
    pending: VecDeque<(Offset, Record)>,
    /// The newest state offered by a peer that has not been tried yet.
    offered: Option<Box<Snapshot>>,
    first: Offset,
    next: Offset,
    /// Last offset covered by the newest snapshot read or adopted.
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

    /// Highest folded offset. A catalogue that is frozen by unknown rules stays behind it.
    pub(crate) fn folded(&self) -> Offset {
        self.authority.folded()
    }

    /// First retained offset and the offset of the next append, as last read.
    pub(crate) fn retained(&self) -> (Offset, Offset) {
        (self.first, self.next)
    }

    /// Last offset covered by the newest snapshot.
    pub(crate) fn snapshot_upto(&self) -> Offset {
        self.snapshot_upto
    }

    pub(crate) fn comparisons(&self) -> SnapshotComparisons {
        self.comparisons
    }

    /// Whether all records up to the end of the log, as last read, are folded.
    pub(crate) fn is_up_to_date(&self) -> bool {
        self.pending.is_empty() && self.folded() + 1 >= self.next
    }

    /// Whether records are missing that no snapshot covers yet.
    pub(crate) fn has_gap(&self) -> bool {
        let first_pending = self.pending.front().map(|(offset, _)| *offset);
        self.folded() + 1 < first_pending.unwrap_or(self.first)
    }

    /// Queues the records of a read for [`Replica::step`]. A record that cannot be decoded is the
    /// same for all entries, and all fold it as one without effect.
    pub(crate) fn push(&mut self, chunk: Chunk) -> Vec<(Offset, Record)> {
        self.first = self.first.max(chunk.first);
        self.next = self.next.max(chunk.next);
        let decode = |entry: platform::LogEntry| {
            let record = Record::decode(entry.data).unwrap_or_default();
            (entry.offset, record)
        };
        let records: Vec<_> = chunk.records.into_iter().map(decode).collect();
        self.pending.extend(records.iter().cloned());
        records
    }

    /// Records that the log no longer retains records before `first`.
    pub(crate) fn discard_before(&mut self, first: Offset, next: Offset) {
        self.first = self.first.max(first);
        self.next = self.next.max(next);
        self.pending.retain(|(offset, _)| *offset >= first);
    }

    /// Offers the state of a peer; [`Replica::step`] adopts it if it is newer.
    pub(crate) fn offer_snapshot(&mut self, snapshot: Box<Snapshot>) {
        let newest = self.offered.as_ref().map_or(0, |known| known.upto);
        if snapshot.upto > newest {
            self.offered = Some(snapshot);
        }
    }

    /// Folds the next record or adopts a snapshot; `None` if there is nothing to do.
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

    /// A snapshot of the state at the last folded record; `None` if nothing is folded or the
    /// catalogue is behind.
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
            log::error!(offset, author:? = record.author; "snapshot differs from the folded state");
        }
        let effect = self.authority.apply(offset, &record);
        FoldStep::Record(Box::new(FoldedRecord {
            offset,
            record,
            applied,
            effect,
        }))
    }

    /// Compares a snapshot with the own state if both cover the same prefix of the log.
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
                log::error!(upto = snapshot.upto; "snapshot differs from the own state");
            }
            None => (),
        }
    }

    /// Restores the newest usable snapshot among the pending records that leaves no gap.
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

    /// Replaces the state by a snapshot if that is newer, since the state must never move back. The
    /// catalogue checks this itself, but a frozen catalogue has folded less than the authority,
    /// which could otherwise return to a former holder.
    fn restore(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.upto <= self.folded() {
            return false;
        }
        let authority = match authority::state::State::try_from(snapshot) {
            Ok(authority) => authority,
            Err(error) => {
                log::error!(upto = snapshot.upto, error:?; "snapshot is malformed");
                return false;
            }
        };
        let adopted: Result<bool, SnapshotError> = self.catalogue.adopt(snapshot);
        match adopted {
            Ok(true) => {
                self.authority = authority;
                self.snapshot_upto = self.snapshot_upto.max(snapshot.upto);
                log::info!(upto = snapshot.upto, revision = snapshot.revision; "state restored from a snapshot");
                true
            }
            Ok(false) => false,
            Err(unfit) => {
                log::error!(upto = snapshot.upto, error:% = unfit; "snapshot cannot be used");
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;
