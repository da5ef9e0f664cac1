//! Emulators of the systems around tarragonswitch, for tests and measurements only: the platform
//! (log, instance list, weight store), a model engine and a plain service. Their interfaces,
//! options and faults are described in [`docs/PLATFORM.md`](../../../docs/PLATFORM.md).

mod client;
pub mod engine;
pub mod fault;
pub mod http;
pub mod platform;
pub mod response;
pub mod service;
