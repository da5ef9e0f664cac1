//! Lifecycle of the process: phases, running tasks and pauses.

pub mod pause_detector;
pub mod phase;
