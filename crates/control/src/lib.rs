//! Drives the pure crates: folds the platform's log into catalogue, authority and claims, keeps the
//! membership with the other entries, holds scopes and carries out orders, and shows the data plane
//! one [`View`] of it all.
//!
//! Stands between `platform`, `peer` and the pure crates below, and the daemon above. It runs on a
//! thread of its own, so that a busy data plane cannot starve a lease. Every decision is taken in
//! one task, which takes messages in one by one; calls to the log, to engines and to peers run
//! beside it and report back. See [`docs/design/control.md`](../../../docs/design/control.md).

mod appends;
mod broadcasts;
mod calls;
mod core;
mod edits;
mod engines;
mod fleet_state;
mod handle;
pub mod hooks;
mod mesh;
mod message;
pub mod options;
pub mod order;
mod publisher;
mod replica;
mod report_schedule;
mod roles;
mod scopes;
mod snapshot_schedule;
mod start;
pub mod status;
pub mod view;

pub use edits::EditError;
pub use handle::{Claim, Claimed, Handle};
pub use hooks::Hooks;
pub use options::Options;
pub use start::{StartError, start};
pub use status::Status;
pub use view::View;

/// Position of a record in the platform's log.
pub type Offset = u64;
