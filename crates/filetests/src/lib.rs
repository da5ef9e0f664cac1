//! Scenario tests of the crates without I/O: several entries share one log, one instance list and
//! some upstreams, and commands inject faults. `World` simulates the I/O of the daemon, while the
//! decisions are made by `catalogue`, `claims`, `authority` and `fleet` themselves. The scenario
//! files are in `filetests/` at the root of the repository, grouped by promise;
//! `filetests/README.md` describes their format.

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
/// A line of output, as in a scenario's expected output.
pub type Line = String;
