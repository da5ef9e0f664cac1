//! The daemon `tarragon-entry`, which forwards callers' requests to upstreams. It is the root of
//! the dependency graph: `settings` configures it, `control` folds the platform's log and drives
//! membership and authority on a thread of its own, `routing` makes the routing decisions behind
//! one lock, and the modules of this crate form the data plane between callers and upstreams.

pub mod admin;
pub mod at_most_once;
pub mod body_buffer;
pub mod command;
pub mod completion;
pub mod completion_params;
pub mod daemon;
pub mod dispatcher;
pub mod front;
pub mod held_answers;
pub mod hooks;
pub mod keys;
pub mod memory_budget;
pub mod metrics;
pub mod plain;
pub mod policy;
pub mod process;
pub mod proxied_request;
pub mod request_record;
pub mod resume;
pub mod router_sync;
pub mod shared;
pub mod stream;
pub mod token_estimator;
pub mod upstream;
