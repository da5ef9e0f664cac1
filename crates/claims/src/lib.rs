//! At-most-once execution of calls that must not be repeated, whichever instance a repeat reaches.
//! The idempotency key of a call is claimed in the platform's log before the call is sent, and the
//! first claim wins on all instances. [`ClaimTable`] folds the claims; [`Batcher`] appends the
//! claims of this instance in batches and decides each call. The entry asks the batcher after
//! admission and before it selects an upstream. See `docs/design/at-most-once.md`.

mod batcher;
mod call;
mod call_table;
mod claim_table;
mod decision;
mod digest;
mod holder;
mod message;
mod outcomes;

pub use batcher::Batcher;
pub use call::{Call, OutagePolicy};
pub use claim_table::{Claim, ClaimTable, Effect};
pub use decision::{CallEnd, Decision, Executed};
pub use digest::{fingerprint, key_digest};
pub use holder::Holder;
pub use message::{Input, Limits, LogStatus, Output, Outputs};

/// Offset of a record in the platform's log.
pub type Offset = u64;
/// Identifies a call at this process. Never reused while the process runs.
pub type CallId = u64;
/// Identifies an append of this process in the log.
pub type Nonce = [u8; 16];
/// A blake3 digest of 16 bytes.
pub type Digest = [u8; 16];
