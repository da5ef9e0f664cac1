//! Clients of the external platform: the log ([`LogClient`], [`Tail`]), the instance list
//! ([`InstanceListClient`]) and the engines' control API ([`EngineClient`]).
//!
//! The `control` crate uses them to reach the network. They implement the wire format of
//! [`docs/PLATFORM.md`](../../../docs/PLATFORM.md) and report for each failure whether the request
//! can have taken effect; records are opaque to them. All clients run on one actix arbiter.

mod backoff;
mod chunk;
mod engine;
mod engines;
mod failure;
mod instance;
mod instances;
mod log;
mod tail;

pub use backoff::Backoff;
pub use chunk::{Chunk, LogEntry};
pub use engine::{Action, EngineReport, EngineState, LastOrder, Model, Order, Progress, Role};
pub use engines::{EngineClient, Receipt};
pub use failure::{AppendError, EngineError, ListError, ReadError};
pub use instance::{Instance, Kind, Listing, Registration, State};
pub use instances::{InstanceListClient, ListPoller};
pub use log::{LogClient, Options, Traffic};
pub use tail::{Event, Now, Tail};

/// Position of a record in the log, assigned by the log. It identifies the record.
pub type Offset = u64;

/// A source of numbers in `0.0..1.0` for jitter, injected so that tests are deterministic.
pub type Jitter = Box<dyn FnMut() -> f64>;
