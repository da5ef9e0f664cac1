//! What is decided for a call, and how it ended.

use std::sync::Arc;

use crate::{Claim, ClaimTable, Digest, Holder, Offset};

/// Whether the request under a key has been executed, as it is told to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Executed {
    /// Certainly not, by any attempt.
    No,
    /// Perhaps.
    Unknown,
}

/// What the entry does with a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Send it, once, and report how it ended. Its claim is in the log.
    Run {
        /// Offset of the claim.
        claim: Offset,
    },
    /// Send it, once, and report how it ended. Its claim is not in the log yet.
    RunUnclaimed,
    /// Another call with the key is not concluded; its holder can be asked.
    InProgress {
        /// The process that has it, perhaps dead.
        holder: Arc<Holder>,
        /// Request id there.
        request: Box<str>,
    },
    /// Another call with the key was answered; its holder may still have the answer.
    Answered {
        /// The process that had it.
        holder: Arc<Holder>,
        /// Request id there.
        request: Box<str>,
    },
    /// The key was used for something else.
    Conflict,
    /// It does not run and will not.
    Refused {
        /// What the caller is told of the key.
        executed: Executed,
    },
    /// The entry's calls must declare their attempt, and this one does not.
    AttemptRequired,
}

impl Decision {
    /// What a call meets whose key is claimed already.
    pub(crate) fn repeat(claim: &Claim, fingerprint: &Digest) -> Self {
        let (holder, request) = (Arc::clone(&claim.holder), claim.request.clone());
        if claim.fingerprint != *fingerprint {
            Self::Conflict
        } else if claim.answered {
            Self::Answered { holder, request }
        } else {
            Self::InProgress { holder, request }
        }
    }

    /// What a call meets whose claim was not the first. If the first was concluded in the meantime
    /// the key may be free again, but this call's claim is spent.
    pub(crate) fn lost(book: &ClaimTable, key: &Digest, fingerprint: &Digest) -> Self {
        match book.claim(key) {
            Some(claim) => Self::repeat(claim, fingerprint),
            None => Self::Refused {
                executed: Executed::Unknown,
            },
        }
    }
}

/// How a call ended that was to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallEnd {
    /// It ran and its answer came back.
    Answered,
    /// No byte of it left this process, and none will.
    NotRun,
    /// A byte of it may have left, and no answer came back.
    Unknown,
}
