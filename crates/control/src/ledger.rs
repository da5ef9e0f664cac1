//! The fold of the log: catalogue and authority together, from the log's first record or from a
//! snapshot, without a gap, and never back.

use std::collections::VecDeque;

use catalogue::{Applied, Unfit};
use platform::Chunk;
use wire::Message as _;
use wire::record::record::Body;
use wire::record::{Record, Snapshot};

use crate::Offset;

/// One step of the fold.
pub(crate) enum Fold {
    /// A record was folded.
    Record(Box<Folded>),
    /// The state was taken from a snapshot.
    Restored,
}

/// A folded record and what it did.
pub(crate) struct Folded {
    pub(crate) offset: Offset,
    pub(crate) record: Record,
    pub(crate) applied: Applied,
    pub(crate) effect: authority::effect::Effect,
}

/// Snapshots of others that were compared with the own fold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Compared {
    pub(crate) same: u64,
    pub(crate) different: u64,
}

/// The folds. Records that lie behind a gap wait in `held` until a snapshot covers the gap.
pub(crate) struct Ledger {
    catalogue: catalogue::State,
    authority: authority::state::State,
    held: VecDeque<(Offset, Record)>,
    /// The newest state that a peer offered and that was not tried yet.
    untried: Option<Box<Snapshot>>,
    first: Offset,
    next: Offset,
    /// The newest snapshot in the log that was met, by what it covers.
    covered: Offset,
    compared: Compared,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            catalogue: catalogue::State::default(),
            authority: authority::state::State::new(),
            held: VecDeque::new(),
            untried: None,
            first: 1,
            next: 1,
            covered: 0,
            compared: Compared::default(),
        }
    }
}

impl Ledger {
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
    pub(crate) fn bounds(&self) -> (Offset, Offset) {
        (self.first, self.next)
    }

    /// What the newest snapshot in the log covers.
    pub(crate) fn covered(&self) -> Offset {
        self.covered
    }

    pub(crate) fn compared(&self) -> Compared {
        self.compared
    }

    /// Whether all that the log held at the last read is folded.
    pub(crate) fn is_whole(&self) -> bool {
        self.held.is_empty() && self.folded() + 1 >= self.next
    }

    /// Whether records are missing that no snapshot has covered so far.
    pub(crate) fn has_gap(&self) -> bool {
        let first_held = self.held.front().map(|(offset, _)| *offset);
        self.folded() + 1 < first_held.unwrap_or(self.first)
    }

    /// Takes in what was read; [`Ledger::step`] folds it. A record that no decoder understands is
    /// the same bytes for all and is folded by all as one without effect.
    pub(crate) fn push(&mut self, chunk: Chunk) -> Vec<(Offset, Record)> {
        self.first = self.first.max(chunk.first);
        self.next = self.next.max(chunk.next);
        let decode = |entry: platform::LogEntry| {
            let record = Record::decode(entry.data).unwrap_or_default();
            (entry.offset, record)
        };
        let records: Vec<_> = chunk.records.into_iter().map(decode).collect();
        self.held.extend(records.iter().cloned());
        records
    }

    /// Notes that the log does not retain anything before `first` any more.
    pub(crate) fn forget(&mut self, first: Offset, next: Offset) {
        self.first = self.first.max(first);
        self.next = self.next.max(next);
        self.held.retain(|(offset, _)| *offset >= first);
    }

    /// Offers a peer's state; [`Ledger::step`] takes it if it is newer.
    pub(crate) fn offer(&mut self, snapshot: Box<Snapshot>) {
        let best = self.untried.as_ref().map_or(0, |known| known.upto);
        if snapshot.upto > best {
            self.untried = Some(snapshot);
        }
    }

    /// Folds on by one record; `None` when there is nothing to fold.
    pub(crate) fn step(&mut self) -> Option<Fold> {
        if let Some(snapshot) = self.untried.take()
            && self.adopt(&snapshot)
        {
            return Some(Fold::Restored);
        }
        while self.held.front()?.0 <= self.folded() {
            self.held.pop_front();
        }
        if self.held.front()?.0 == self.folded() + 1 {
            let (offset, record) = self.held.pop_front()?;
            return Some(self.fold(offset, record));
        }
        self.cover().then_some(Fold::Restored)
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

    fn fold(&mut self, offset: Offset, record: Record) -> Fold {
        if let Some(Body::Snapshot(snapshot)) = &record.body {
            self.meet(snapshot);
        }
        let applied = self.catalogue.apply(offset, &record);
        if applied == Applied::SnapshotDiffers {
            self.compared.different += 1;
            log::error!(offset, author:? = record.author; "a snapshot differs from the own fold");
        }
        let effect = self.authority.apply(offset, &record);
        Fold::Record(Box::new(Folded {
            offset,
            record,
            applied,
            effect,
        }))
    }

    /// Compares a snapshot with the own state, if it speaks of just this prefix of the log.
    fn meet(&mut self, snapshot: &Snapshot) {
        if catalogue::verify(snapshot).is_err() {
            return;
        }
        self.covered = self.covered.max(snapshot.upto);
        if snapshot.upto != self.folded() {
            return;
        }
        match self.snapshot() {
            Some(own) if own.digest == snapshot.digest => self.compared.same += 1,
            Some(_) => {
                self.compared.different += 1;
                log::error!(upto = snapshot.upto; "a snapshot differs from the own state");
            }
            None => (),
        }
    }

    /// Takes the newest snapshot among the held records that leaves no gap.
    fn cover(&mut self) -> bool {
        let Some(first_held) = self.held.front().map(|(offset, _)| *offset) else {
            return false;
        };
        let fits = |snapshot: &&Snapshot| snapshot.upto + 1 >= first_held;
        let snapshots = self
            .held
            .iter()
            .filter_map(|(_, record)| match &record.body {
                Some(Body::Snapshot(snapshot)) => Some(snapshot),
                _ => None,
            });
        let mut fitting: Vec<Snapshot> = snapshots.filter(fits).cloned().collect();
        fitting.sort_by_key(|snapshot| std::cmp::Reverse(snapshot.upto));
        fitting.iter().any(|snapshot| self.adopt(snapshot))
    }

    /// Takes a whole state if it is newer than what is folded, whoever offers it: the state of this
    /// process never goes back. The catalogue looks by itself, but one whose rules are unknown has
    /// folded less than the authority, which would go back to a former holder.
    fn adopt(&mut self, snapshot: &Snapshot) -> bool {
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
        let adopted: Result<bool, Unfit> = self.catalogue.adopt(snapshot);
        match adopted {
            Ok(true) => {
                self.authority = authority;
                self.covered = self.covered.max(snapshot.upto);
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
