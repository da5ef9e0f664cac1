//! A call whose idempotency key is to be claimed.

use clock::Moment;

use crate::{CallId, Digest, Executed};

/// What happens to a call while its key cannot be claimed: the `outage` setting of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutagePolicy {
    /// The call is refused.
    Refuse,
    /// The call runs without a claim if the caller declares it as the first attempt. Later attempts
    /// never run, even while the log is available.
    FirstAttempt,
}

/// A call with an idempotency key that must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    /// Identifies the call at this process.
    pub id: CallId,
    /// Digest of the key, from [`crate::key_digest`].
    pub key: Digest,
    /// Digest of the request, from [`crate::fingerprint`].
    pub fingerprint: Digest,
    /// Request id.
    pub request: String,
    /// The caller's `Idempotency-Attempt`, from 1, if it sent one.
    pub attempt: Option<u32>,
    /// Outage policy of the call's entry.
    pub policy: OutagePolicy,
    /// When the call must have been decided; after that it is refused.
    pub deadline: Moment,
}

impl Call {
    /// Whether the request may have been executed if this call is refused without a claim. This call
    /// did not run, but an earlier attempt may have, at an instance that has ended or whose claim is
    /// not read yet. Only a declared first attempt has no predecessor.
    pub fn executed(&self) -> Executed {
        if self.attempt == Some(1) {
            Executed::No
        } else {
            Executed::Unknown
        }
    }

    /// Whether the call may run without a claim.
    pub(crate) fn runs_unclaimed(&self) -> bool {
        self.policy == OutagePolicy::FirstAttempt && self.attempt == Some(1)
    }
}
