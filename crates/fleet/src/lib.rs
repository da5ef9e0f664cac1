//! Fleet membership: the other entries ([`Members`]), the upstreams ([`Upstreams`]) and the entries
//! that must confirm before an upstream may be closed ([`Drain`]).
//!
//! Everything here is a pure function of its inputs. The `control` crate feeds it the instance
//! list, the frames of the `peer` crate and the folded log, and carries out its outputs.
//! `docs/design/membership.md` discusses the design choices.

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

/// Instance id from the platform's list.
pub type Id = String;

/// Start of a process in milliseconds since the Unix epoch. Increases with each restart.
pub type Incarnation = u64;

/// Offset of a record in the platform's log.
pub type Offset = u64;
