//! Who may give orders to the upstreams of a pool, and what has become of each order: the fold of
//! the log's scope claims and orders ([`state`]), the lease of one process on one scope
//! ([`lease`]), the planned change of one upstream ([`change`]) and the bounds over all changes of
//! a scope ([`planner`]). It stands between the log and the engines: records come in from the
//! `platform` crate, readings of engines from the `entry` crate, confirmations of drains from
//! `fleet`; the `control` crate carries out what comes back. Nothing here does I/O or reads a clock,
//! so that the model checker in `spec` drives the same transitions as the daemon. See
//! `docs/design/authority.md` and `docs/design/orders.md`.

pub mod author;
pub mod change;
pub mod effect;
pub mod engine;
pub mod lease;
pub mod nonce;
pub mod order;
pub mod planner;
pub mod settled;
pub mod state;
pub mod statement;

/// Position of a record in the platform's log, from 1; it is the identity of the record.
pub type Offset = u64;

/// Offset of the scope claim under which something is done; a greater one is newer.
pub type Fence = u64;

/// Offset of the intent of an order; it is the id that the engine sees.
pub type OrderId = u64;

/// Name of a scope, which is a pool of the catalogue.
pub type ScopeId = String;

/// Instance id of an upstream, as in the instance list.
pub type UpstreamId = String;

/// Instance id of an entry, from its settings.
pub type InstanceId = String;
