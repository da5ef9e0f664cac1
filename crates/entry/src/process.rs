//! The life of the process: phases, pauses, and work in hand.

pub mod pause_detector;
pub mod phase;
