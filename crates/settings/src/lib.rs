//! Settings of a process, read from a YAML file, the command line and the environment into
//! checked types. `tarragon-entry` reads [`Settings`] before it opens anything, and reports all
//! findings at once if it refuses to start. Each setting is described once, in [`table`], from
//! which `docs/SETTINGS.md` is generated.

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
