//! The fold of all claims retained in the log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use smallvec::SmallVec;
use wire::record::record::Body;
use wire::record::{KeyClaim, KeyEnd, KeyOutcome, Record};

use crate::{Digest, Holder, Offset};

/// The claim in force of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Offset of the record with the claim.
    pub offset: Offset,
    /// The only process that may run the call.
    pub holder: Arc<Holder>,
    /// Request id at the holder.
    pub request: Box<str>,
    /// Digest of the call that the key was used for.
    pub fingerprint: Digest,
    /// Whether the holder has logged that the call was answered.
    pub answered: bool,
}

/// The effect of a record on the claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The record contains claims. For each of them, in order, whether it is now in force.
    Claims(SmallVec<[bool; 8]>),
    /// The record concludes claims or does not concern claims.
    Other,
    /// The offset was folded before.
    Repeated,
}

/// All claims in force. It must be folded from the first record that the log retains, because
/// snapshots contain no claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimTable {
    claims: BTreeMap<Digest, Claim>,
    /// Keys in the order of their claims, so that dropping old claims visits only these.
    by_offset: VecDeque<(Offset, Digest)>,
    /// Holders, shared by their claims.
    holders: BTreeSet<Arc<Holder>>,
    folded: Offset,
    gap: bool,
}

impl ClaimTable {
    /// Creates the table before the first record.
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

    /// Whether no claim is in force.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Offset of the last folded record.
    pub fn folded(&self) -> Offset {
        self.folded
    }

    /// Whether retained records were skipped. The skipped records may contain earlier claims, so no
    /// claim in this table is known to be the first.
    pub fn has_gap(&self) -> bool {
        self.gap
    }

    /// Drops claims that the log no longer retains; `first` is the first retained offset. Call this
    /// before folding the first record and regularly afterwards.
    pub fn forget_before(&mut self, first: Offset) {
        while let Some((offset, key)) = self.by_offset.front().copied() {
            if offset >= first {
                break;
            }
            self.by_offset.pop_front();
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

    /// Folds one record. The caller passes every record in order, whatever its kind.
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
                let holder = self.intern(author_of(record));
                let insert = |claim| self.insert(offset, &holder, claim);
                Effect::Claims(batch.claims.iter().map(insert).collect())
            }
            Some(Body::KeyOutcomes(batch)) => {
                let holder = author_of(record);
                for outcome in &batch.outcomes {
                    self.conclude(&holder, outcome);
                }
                Effect::Other
            }
            _ => Effect::Other,
        }
    }

    fn insert(&mut self, offset: Offset, holder: &Arc<Holder>, raw: &KeyClaim) -> bool {
        let (Ok(key), Ok(fingerprint)) = (
            Digest::try_from(raw.key.as_slice()),
            Digest::try_from(raw.fingerprint.as_slice()),
        ) else {
            return false;
        };
        // The first claim wins. If a later claim could replace it, both holders could send the call:
        // that of the first claim may already have been told to run it.
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
        self.by_offset.push_back((offset, key));
        true
    }

    fn conclude(&mut self, holder: &Holder, outcome: &KeyOutcome) {
        let Ok(key) = Digest::try_from(outcome.key.as_slice()) else {
            return;
        };
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        // Only the holder of the claim knows whether it sent the call. An outcome of an earlier
        // claim or from another process must not free a key whose call may be running.
        if claim.offset != outcome.claim || *claim.holder != *holder {
            return;
        }
        match outcome.end() {
            KeyEnd::Answered => claim.answered = true,
            // A call that was reported as answered stays answered.
            KeyEnd::NotRun if !claim.answered => {
                self.claims.remove(&key);
            }
            KeyEnd::NotRun | KeyEnd::Unspecified => {}
        }
    }

    fn intern(&mut self, holder: Holder) -> Arc<Holder> {
        let holder = Arc::new(holder);
        if let Some(shared) = self.holders.get(&holder) {
            return Arc::clone(shared);
        }
        self.holders.insert(Arc::clone(&holder));
        holder
    }
}

fn author_of(record: &Record) -> Holder {
    record.author.as_ref().map(Holder::from).unwrap_or_default()
}
