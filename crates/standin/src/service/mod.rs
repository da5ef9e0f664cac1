//! The plain service's stand-in: it counts each execution, so that a trial can tell whether a call
//! was lost or run twice.

mod api;
pub mod executions;
mod options;
mod switches;

pub use api::Service;
pub use options::Options;
pub use switches::Switches;
