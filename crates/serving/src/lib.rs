//! Decisions about calls on a fleet of engines: which route a call takes ([`route`]), the state of
//! each engine and its queued work ([`engine`]), which engine caches which part of a prompt
//! ([`parts`]), where a call is placed or why it is refused ([`place`]), how often calls to a
//! service may be repeated ([`budget`]), which calls crash engines ([`quarantine`]), who calls
//! ([`organisation`]), how organisations divide contended engines ([`shares`]), what callers use ([`usage`]), which engines should prefill and which decode
//! ([`roles`]), which instances place calls ([`placer`]), how an instance joins the others
//! ([`registration`]), which instances hold the records of all engines ([`replication`]), which
//! software version may go on with a stream ([`origin`]) and which ones a service had lately
//! ([`version_history`]), which instances keep copies of where streams began ([`backups`]), whether a time-out is due to this instance's
//! own link or event loop ([`congestion`]), whether it accepts another connection ([`intake`]), and from
//! when what it receives counts ([`receipt`]).
//!
//! The crate sits between the `gateway` daemon, which carries the bytes, and the platform's
//! adapter, which fills in these types. It performs no I/O, and the current time is an argument.
//! See `docs/design/placement.md`.

pub mod backups;
pub mod budget;
pub mod claim;
pub mod congestion;
pub mod connection_limit;
mod cost;
mod decaying_rate;
pub mod engine;
pub mod eviction;
pub mod fanout;
mod fetch;
pub mod fingerprint;
pub mod fleet;
pub mod forwarders;
pub mod hash;
pub mod health;
pub mod intake;
mod linear_fit;
mod link_queue;
pub mod log_growth;
pub mod memory;
pub mod organisation;
pub mod origin;
pub mod outbox;
mod overrun;
pub mod parts;
pub mod pauses;
pub mod place;
pub mod placer;
pub mod prior_wait;
pub mod quarantine;
pub mod queue;
pub mod reachability;
pub mod receipt;
pub mod registration;
pub mod registry;
pub mod replication;
pub mod roles;
pub mod route;
pub mod scaling;
pub mod shares;
pub mod speed;
pub mod throttle;
pub mod usage;
pub mod version_history;
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
