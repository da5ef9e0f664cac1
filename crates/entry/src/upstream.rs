//! Client for calls to engines and plain services.

pub mod client;
pub mod failure;
pub mod kv;
pub mod stream_guard;
