//! Small stand-ins for the systems outside of tarragonswitch, for trials and tests only: the
//! platform (log, instance list, weight store), a model engine and a plain service. They stand at
//! both ends of the pipeline and speak what [`docs/PLATFORM.md`](../../../docs/PLATFORM.md) says,
//! where their options and faults are listed as well.

mod client;
pub mod engine;
pub mod fault;
pub mod http;
pub mod platform;
pub mod response;
pub mod service;
