//! Continuous batching as a state machine without I/O: iterations that mix prefill and decode, a
//! priority queue, limited KV memory and a prefix cache. Time is passed in.

mod core;
mod job;
mod settings;

pub use core::{Batch, Input, Load, Output};
pub use job::{Id, Job};
pub use settings::{Limits, Role, Settings};
