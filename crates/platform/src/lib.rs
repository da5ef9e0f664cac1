//! Client of the outside platform: the log ([`LogClient`], [`Tail`]) and the instance list ([`InstanceListClient`]),
//! and of the engines' control calls ([`EngineClient`]).
//!
//! Stands between the `control` crate and the network. It knows the wire form of
//! [`docs/PLATFORM.md`](../../../docs/PLATFORM.md) and says of each failure what is certain about it;
//! what a record means is none of its matters. All of it lives on one actix arbiter.

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

/// Position of a record in the log. The log gives it; it is the record's identity.
pub type Offset = u64;

/// A source of numbers in `0.0..1.0` for jitter, passed in so that tests are repeatable.
pub type Jitter = Box<dyn FnMut() -> f64>;
