//! The life of the process: phases, pauses, and work in hand.

pub mod phase;
pub mod pulse;
