//! The model engine emulator: continuous batching with a prefix cache behind the engine's HTTP
//! interface. [`batch`], [`prefix`], [`orders`], [`events`] and [`report`] do no I/O and take the
//! emulated time as input; the other modules connect them to HTTP.

mod api;
pub mod batch;
mod completion;
mod control;
pub mod events;
mod kv;
mod options;
pub mod orders;
pub mod prefix;
pub mod report;
mod request;
mod state;
mod stream;
mod switches;
mod time;
pub mod tokens;

pub use api::handle;
pub use options::Options;
pub use state::Engine;
pub use switches::Switches;
pub use tokens::{chat_prompt, expected_text, token};

use std::time::Duration;

/// Emulated time since the start of the process.
pub type Moment = Duration;
