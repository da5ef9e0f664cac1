//! Continuous batching as a pure state machine: iterations that prefill and decode together, a
//! waiting queue by priority, limited KV memory and a prefix cache. Time is passed in.

mod core;
mod job;
mod settings;

pub use core::{Batch, Input, Load, Output};
pub use job::{Id, Job};
pub use settings::{Limits, Role, Settings};
