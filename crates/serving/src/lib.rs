//! Decisions about calls on a fleet of engines: which route a call takes ([`route`]), the state of
//! each engine and its queued work ([`engine`]), which engine caches which part of a prompt
//! ([`parts`]), where a call is placed or why it is refused ([`place`]), how often calls to a
//! service may be repeated ([`budget`]), which calls crash engines ([`quarantine`]), who calls
//! ([`organisation`]), what callers use ([`usage`]), which engines should prefill and which decode
//! ([`roles`]), which instances place calls ([`placer`]), how an instance joins the others
//! ([`registration`]), which instances hold the records of all engines ([`replication`]), and which
//! software version may go on with a stream ([`origin`]).
//!
//! The crate sits between the `gateway` daemon, which carries the bytes, and the platform's
//! adapter, which fills in these types. It performs no I/O, and the current time is an argument.
//! See `docs/design/placement.md`.

pub mod budget;
pub mod claim;
mod cost;
mod decaying_rate;
pub mod engine;
pub mod fanout;
mod fetch;
pub mod fingerprint;
pub mod fleet;
pub mod hash;
pub mod health;
mod linear_fit;
pub mod log_growth;
pub mod organisation;
pub mod origin;
pub mod outbox;
mod overrun;
pub mod pace;
pub mod parts;
pub mod pauses;
pub mod place;
pub mod placer;
pub mod prior_wait;
pub mod quarantine;
pub mod queue;
pub mod reachability;
pub mod registration;
pub mod registry;
pub mod replication;
pub mod roles;
pub mod route;
pub mod scaling;
pub mod speed;
pub mod throttle;
pub mod usage;
pub mod watch;

pub use engine::{Record, Stage, State};
pub use fleet::Fleet;
pub use place::{Choice, Demand};
pub use route::{Kind, Route, Service, Table};

/// Id of one incarnation of an engine.
pub type EngineId = std::rc::Rc<str>;

/// Name of a service.
pub type ServiceName = std::rc::Rc<str>;

/// Name of a data centre.
pub type Zone = std::rc::Rc<str>;
