//! Decisions on calls, and how calls end.

use std::sync::Arc;

use crate::{Claim, ClaimTable, Digest, Holder, Offset};

/// Whether the request with a key was executed, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Executed {
    /// No attempt was executed.
    No,
    /// An attempt may have been executed.
    Unknown,
}

/// What the entry must do with a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Send the call once and report how it ended. Its claim is in the log.
    Run {
        /// Offset of the claim.
        claim: Offset,
    },
    /// Send the call once and report how it ended. Its claim is not in the log yet.
    RunUnclaimed,
    /// Another call with the key is not concluded. Its holder can be asked.
    InProgress {
        /// The process that holds the claim. It may have ended.
        holder: Arc<Holder>,
        /// Request id at the holder.
        request: Box<str>,
    },
    /// Another call with the key was answered. Its holder may still have the answer.
    Answered {
        /// The process that ran the call.
        holder: Arc<Holder>,
        /// Request id at the holder.
        request: Box<str>,
    },
    /// The key was used for a different request.
    Conflict,
    /// The call did not run and will not.
    Refused {
        /// Whether an attempt with the key may have been executed.
        executed: Executed,
    },
    /// The entry requires calls to declare their attempt, and this call does not.
    AttemptRequired,
}

impl Decision {
    /// Decides a call whose key is already claimed.
    pub(crate) fn for_claimed_key(claim: &Claim, fingerprint: &Digest) -> Self {
        let (holder, request) = (Arc::clone(&claim.holder), claim.request.clone());
        if claim.fingerprint != *fingerprint {
            Self::Conflict
        } else if claim.answered {
            Self::Answered { holder, request }
        } else {
            Self::InProgress { holder, request }
        }
    }

    /// Decides a call whose claim was not the first. If the first claim was concluded in the
    /// meantime, the key may be free again, but the claim of this call is void.
    pub(crate) fn for_lost_claim(claims: &ClaimTable, key: &Digest, fingerprint: &Digest) -> Self {
        match claims.claim(key) {
            Some(claim) => Self::for_claimed_key(claim, fingerprint),
            None => Self::Refused {
                executed: Executed::Unknown,
            },
        }
    }
}

/// How a call that was told to run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallEnd {
    /// The call ran, and its answer arrived.
    Answered,
    /// No byte of the call left this process, and none will.
    NotRun,
    /// Part of the call may have left this process, and no answer arrived.
    Unknown,
}
