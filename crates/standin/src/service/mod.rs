//! The plain service emulator: counts each execution, so that a test can tell whether a call was
//! lost or executed twice.

mod api;
pub mod executions;
mod options;
mod switches;

pub use api::Service;
pub use options::Options;
pub use switches::Switches;
