//! Streams of tokens from an engine to a caller, each event once, whatever happens to the entries
//! between them.

pub mod relay;
pub mod resumed;
pub mod sse;
pub mod token;
