//! The platform emulator: an append-only log, an instance list with read lag and a rate-limited
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
