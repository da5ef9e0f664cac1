//! Scenarios over the pure crates: several entries on one log, one instance list and some
//! upstreams, with faults by command. The world here stands where the daemon's I/O stands; the
//! decisions are those of `catalogue`, `claims`, `authority` and `fleet` themselves. Scenario files
//! are under `filetests/` in the root of the repository, grouped by promise; how they are written
//! is told in `filetests/README.md`.

mod command;
mod engine;
mod log;
mod process;
mod service;
mod world;

pub use command::Command;
pub use world::World;

/// Offset of a record in the log.
pub type Offset = u64;
/// Name of a process, an upstream or a part of the platform in a scenario.
pub type Name = String;
/// What happened, as it stands in a scenario's expected output.
pub type Line = String;
