//! Who takes part: the other entries ([`Members`]), the upstreams ([`Upstreams`]) and the set of
//! entries that must confirm before an upstream may be closed ([`Drain`]).
//!
//! Everything here is a pure function of its inputs. The `control` crate feeds it the instance
//! list, the frames of the `peer` crate and the folded log, and carries out what it gives back.
//! `docs/design/membership.md` says what was weighed.

pub mod drain;
pub mod health;
pub mod list;
pub mod member;
mod members;
mod presence;
pub mod upstream;
mod upstreams;

pub use drain::Drain;
pub use members::Members;
pub use upstreams::Upstreams;

/// Instance id, as the platform's list gives it.
pub type Id = String;

/// Milliseconds since the Unix epoch at which a process started. It grows with each start.
pub type Incarnation = u64;

/// Offset of a record in the platform's log.
pub type Offset = u64;
