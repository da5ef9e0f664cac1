//! Inputs and outputs of a lease.

use crate::author::Author;
use crate::nonce::Nonce;
use crate::{Fence, InstanceId};
use clock::Moment;
use wire::record::record::Body;

/// An input of a lease.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// Time has passed.
    Tick,
    /// A read reached the end of the log, and its records are folded.
    Read {
        /// When the read was sent.
        sent_at: Moment,
    },
    /// The live entries, including this one.
    Members(&'a [InstanceId]),
    /// Number of other scopes that this process holds.
    OtherScopes(u32),
    /// The log acknowledged an append. The record takes effect only when it is read back.
    AppendAcknowledged(Nonce),
    /// An append has not reached the log and will not.
    AppendFailed(Nonce),
    /// The result of an append is unknown; the record may still be logged at any time.
    AppendUnknown(Nonce),
    /// The process shuts down: release the scope and make no further claims.
    Leave,
}

/// An action for the owner of a lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append a record once and report the result.
    Append {
        /// Nonce of the record.
        nonce: Nonce,
        /// Body of the record.
        body: Body,
    },
    /// This process has acquired the scope.
    Acquired {
        /// Fencing token of its claim.
        fence: Fence,
    },
    /// This process no longer holds the scope.
    Lost {
        /// The new holder; `None` if this process released the scope.
        to: Option<Author>,
    },
}
