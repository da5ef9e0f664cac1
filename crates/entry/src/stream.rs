//! Token streams from an engine to a caller. Each event is delivered exactly once, also when an
//! entry between them fails.

pub mod event_id;
pub mod relay;
pub mod resumed_streams;
pub mod sse;
