//! Runs the state machines of the crates without I/O: folds the platform's log into catalogue,
//! authority and claims, maintains the membership of entries, holds scopes and carries out orders,
//! and publishes the result to the data plane as a [`View`].
//!
//! It connects `platform`, `peer` and those crates with the daemon. It runs on its own thread, so
//! that a busy data plane cannot delay the renewal of a lease. One task makes all decisions and
//! handles messages one by one; calls to the log, engines and peers run in tasks of their own that
//! send their results as messages. See
//! [`docs/design/control.md`](../../../docs/design/control.md).

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
