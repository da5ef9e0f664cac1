//! Settings of a process: the border between a YAML file, the command line and the environment on
//! one side and checked types on the other. It stands first in the pipeline: `tarragon-entry`
//! reads [`Settings`] before it opens anything, and refuses to start with every finding told at
//! once. The meaning of each setting stands once, in [`table`], from which `docs/SETTINGS.md` is
//! written.

pub mod duration;
pub mod finding;
pub mod node;
pub mod page;
pub mod reader;
pub mod sections;
pub mod size;
pub mod source;
pub mod table;

pub use finding::{Finding, Findings, Origin, Problem};
pub use sections::Settings;
pub use source::Source;
