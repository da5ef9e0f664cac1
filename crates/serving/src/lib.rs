//! Decisions about calls on a fleet whose engines are told by records: which route a call takes
//! ([`route`]), what is known of each engine and of the work before it ([`engine`]), which engine has
//! read which part of a prompt ([`parts`]), where a call goes or why it is refused ([`place`]), how
//! often a service may be sent a call again ([`budget`]), which calls end the engines that run them
//! ([`quarantine`]), who calls ([`organisation`]), what they use ([`usage`]), which engines should read and which
//! generate ([`roles`]), and which instances know enough to place calls ([`placer`]). It stands between the `gateway`
//! daemon, which carries the bytes, and the platform's adapter, which fills in these types. No I/O
//! is done here; the moment is an argument. See `docs/design/placement.md`.

pub mod budget;
pub mod claim;
mod cost;
mod decaying_rate;
pub mod engine;
mod fetch;
pub mod fingerprint;
pub mod fleet;
pub mod hash;
pub mod health;
mod linear_fit;
pub mod organisation;
mod overrun;
pub mod parts;
pub mod pauses;
pub mod place;
pub mod placer;
pub mod prior_wait;
pub mod quarantine;
pub mod queue;
pub mod registry;
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
