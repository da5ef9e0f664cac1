//! A call that wants its key claimed.

use clock::Moment;

use crate::{CallId, Digest, Executed};

/// What happens to the call while its key cannot be claimed; the `outage` of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutagePolicy {
    /// It is refused.
    Refuse,
    /// It runs without a claim if the caller declares it as the first attempt; an attempt that is
    /// not the first never runs, also while the log is there.
    FirstAttempt,
}

/// A call that may not be repeated, with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    /// The call at this process.
    pub id: CallId,
    /// Digest of its key, from [`crate::key_digest`].
    pub key: Digest,
    /// Digest of what it asks for, from [`crate::fingerprint`].
    pub fingerprint: Digest,
    /// Request id, for people.
    pub request: String,
    /// The caller's `Idempotency-Attempt`, from 1, if it sent one.
    pub attempt: Option<u32>,
    /// What its entry says on outages.
    pub policy: OutagePolicy,
    /// When it is no longer worth running.
    pub deadline: Moment,
}

impl Call {
    /// What may be said of the key when this call is refused without a claim. This call did not run,
    /// but an earlier attempt may have, at an instance that is gone or whose claim was not read
    /// yet. Only a declared first attempt has nothing before it.
    pub fn executed(&self) -> Executed {
        if self.attempt == Some(1) {
            Executed::No
        } else {
            Executed::Unknown
        }
    }

    /// True if it may run without a claim.
    pub(crate) fn runs_unclaimed(&self) -> bool {
        self.policy == OutagePolicy::FirstAttempt && self.attempt == Some(1)
    }
}
