//! The platform's stand-in: the append-only log, the lagging instance list and the rate-limited
//! weight store behind one address.

mod api;
pub mod instances;
pub mod log;
mod options;
mod switches;
pub mod weights;

pub use api::Platform;
pub use options::Options;
pub use switches::Switches;
