//! Calls that may not be repeated run at most once, whichever instance a repeat reaches. The
//! idempotency key of a call is claimed in the platform's log before the call is sent, and the first
//! claim wins everywhere. [`ClaimTable`] folds the claims, [`Batcher`] writes those of this instance in
//! groups and decides for each call. The entry asks the batcher between admission and the choice of
//! an upstream. See `docs/design/at-most-once.md`.

mod batcher;
mod call;
mod claim_table;
mod decision;
mod digest;
mod holder;
mod ledger;
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
/// A call at this process; never used twice while the process lives.
pub type CallId = u64;
/// Number by which an append of this process is found again in the log.
pub type Nonce = [u8; 16];
/// A blake3 digest, cut to 16 bytes.
pub type Digest = [u8; 16];
