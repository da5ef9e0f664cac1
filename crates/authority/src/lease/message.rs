//! What goes into a lease and what comes out.

use crate::author::Author;
use crate::nonce::Nonce;
use crate::{Fence, InstanceId};
use clock::Moment;
use wire::record::record::Body;

/// What a lease is told.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// Time has passed.
    Tick,
    /// A read that was sent at `asked` reached the end of the log, and its records are folded.
    Read {
        /// When the read was sent.
        sent_at: Moment,
    },
    /// The live entries, this one among them.
    Members(&'a [InstanceId]),
    /// How many other scopes this process holds.
    OtherScopes(u32),
    /// The log answered an append; it counts only when it is read back.
    AppendAcknowledged(Nonce),
    /// An append certainly did not and will not reach the log.
    AppendFailed(Nonce),
    /// Nothing is known about an append: it may land at any later time.
    AppendUnknown(Nonce),
    /// The process shuts down: give the scope up and do not claim any more.
    Leave,
}

/// What the owner of a lease has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append a record, once, and tell how it went.
    Append {
        /// The nonce that the record must carry.
        nonce: Nonce,
        /// Its body.
        body: Body,
    },
    /// This process holds the scope.
    Acquired {
        /// Its claim.
        fence: Fence,
    },
    /// This process does not hold the scope any more.
    Lost {
        /// The new holder; `None` if this process released.
        to: Option<Author>,
    },
}
