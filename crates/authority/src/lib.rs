//! Decides which process may send orders to the upstreams of a pool, and tracks the result of each
//! order. [`state`] folds the scope claims and orders of the log, [`lease`] is the lease of one
//! process on one scope, [`change`] the planned change of one upstream, and [`planner`] limits all
//! changes of a scope.
//!
//! Input comes from the log (`platform`), from engine readings (`entry`) and from drain
//! confirmations (`fleet`); `control` executes the outputs. The crate does no I/O and reads no
//! clock, so the model checker in `spec` drives the same transitions as the daemon. See
//! `docs/design/authority.md` and `docs/design/orders.md`.

pub mod author;
pub mod authority_record;
pub mod change;
pub mod effect;
pub mod engine;
pub mod lease;
pub mod nonce;
pub mod order;
pub mod planner;
pub mod settled;
pub mod state;

/// Position of a record in the platform's log, starting at 1. It identifies the record.
pub type Offset = u64;

/// Fencing token: the offset of the scope claim under which a record is written. Greater is newer.
pub type Fence = u64;

/// Offset of an order's intent, which is also the order id that the engine sees.
pub type OrderId = u64;

/// Name of a scope. Each scope is a pool of the catalogue.
pub type ScopeId = String;

/// Instance id of an upstream in the instance list.
pub type UpstreamId = String;

/// Instance id of an entry from its settings.
pub type InstanceId = String;
