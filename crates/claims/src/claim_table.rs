//! The fold of all claims that the log retains.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use smallvec::SmallVec;
use wire::record::record::Body;
use wire::record::{KeyClaim, KeyEnd, KeyOutcome, Record};

use crate::{Digest, Holder, Offset};

/// The claim in force of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The record that holds it.
    pub offset: Offset,
    /// The process that may run the call, and no other.
    pub holder: Arc<Holder>,
    /// Request id at the holder.
    pub request: Box<str>,
    /// What the key was used for.
    pub fingerprint: Digest,
    /// True once the holder has said that the call ran and was answered.
    pub answered: bool,
}

/// What a record did to the claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It holds claims; for each in turn whether it is now the one in force.
    Claims(SmallVec<[bool; 8]>),
    /// It concerns others, or concludes claims.
    Other,
    /// It was folded before.
    Repeated,
}

/// All claims in force. It must be folded from the first record that the log retains, not from a
/// snapshot, which holds no claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimTable {
    claims: BTreeMap<Digest, Claim>,
    /// Keys in the order in which they were claimed, so that forgetting touches only what goes.
    order: VecDeque<(Offset, Digest)>,
    /// One copy of each holder for all of its claims.
    holders: BTreeSet<Arc<Holder>>,
    folded: Offset,
    gap: bool,
}

impl ClaimTable {
    /// The book before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// The claim in force of a key.
    pub fn claim(&self, key: &Digest) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Number of claims in force.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// True if no claim is in force.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Offset of the newest folded record.
    pub fn folded(&self) -> Offset {
        self.folded
    }

    /// True if retained records were passed over. A claim in them could be the first, so that
    /// nobody who reads this book may believe to have won.
    pub fn has_gap(&self) -> bool {
        self.gap
    }

    /// Forgets claims that the log no longer retains; `first` is the first retained offset. Called
    /// before the first record is folded, and from time to time after.
    pub fn forget_before(&mut self, first: Offset) {
        while let Some((offset, key)) = self.order.front().copied() {
            if offset >= first {
                break;
            }
            self.order.pop_front();
            if self
                .claims
                .get(&key)
                .is_some_and(|claim| claim.offset == offset)
            {
                self.claims.remove(&key);
            }
        }
        self.holders.retain(|holder| Arc::strong_count(holder) > 1);
        self.folded = self.folded.max(first.saturating_sub(1));
    }

    /// Folds one record. All records are handed in, in order, whatever they hold.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Effect {
        if offset <= self.folded {
            return Effect::Repeated;
        }
        if offset > self.folded + 1 {
            self.gap = true;
        }
        self.folded = offset;
        match &record.body {
            Some(Body::KeyClaims(batch)) => {
                let holder = self.holder(holder(record));
                let claim = |claim| self.take(offset, &holder, claim);
                Effect::Claims(batch.claims.iter().map(claim).collect())
            }
            Some(Body::KeyOutcomes(batch)) => {
                let holder = holder(record);
                for outcome in &batch.outcomes {
                    self.conclude(&holder, outcome);
                }
                Effect::Other
            }
            _ => Effect::Other,
        }
    }

    fn take(&mut self, offset: Offset, holder: &Arc<Holder>, raw: &KeyClaim) -> bool {
        let (Ok(key), Ok(fingerprint)) = (
            Digest::try_from(raw.key.as_slice()),
            Digest::try_from(raw.fingerprint.as_slice()),
        ) else {
            return false;
        };
        // The first claim wins. If a later one could replace it, the holder of the first, which has
        // perhaps just been told to run, and that of the later one would both send the call.
        if self.claims.contains_key(&key) {
            return false;
        }
        let claim = Claim {
            offset,
            holder: Arc::clone(holder),
            request: Box::from(raw.request.as_str()),
            fingerprint,
            answered: false,
        };
        self.claims.insert(key, claim);
        self.order.push_back((offset, key));
        true
    }

    fn conclude(&mut self, holder: &Holder, outcome: &KeyOutcome) {
        let Ok(key) = Digest::try_from(outcome.key.as_slice()) else {
            return;
        };
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        // Only the process that holds the claim knows whether a byte left it. An outcome of an
        // earlier claim, or of another process, must not free a key that is perhaps being run.
        if claim.offset != outcome.claim || *claim.holder != *holder {
            return;
        }
        match outcome.end() {
            KeyEnd::Answered => claim.answered = true,
            // What was once said to have run stays so.
            KeyEnd::NotRun if !claim.answered => {
                self.claims.remove(&key);
            }
            KeyEnd::NotRun | KeyEnd::Unspecified => {}
        }
    }

    fn holder(&mut self, holder: Holder) -> Arc<Holder> {
        let holder = Arc::new(holder);
        if let Some(known) = self.holders.get(&holder) {
            return Arc::clone(known);
        }
        self.holders.insert(Arc::clone(&holder));
        holder
    }
}

fn holder(record: &Record) -> Holder {
    record.author.as_ref().map(Holder::from).unwrap_or_default()
}
