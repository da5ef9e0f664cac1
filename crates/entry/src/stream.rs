//! Streams of tokens from an engine to a caller, each event once, whatever happens to the entries
//! between them.

pub mod event_id;
pub mod relay;
pub mod resumed_streams;
pub mod sse;
