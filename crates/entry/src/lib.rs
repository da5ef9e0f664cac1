//! The daemon `tarragon-entry`: callers' requests in, upstreams' answers out. It stands at the end
//! of all dependencies: `settings` tells it what to open, `control` folds the platform's log and
//! drives membership and authority on a thread of its own, `routing` decides behind one lock, and
//! the modules here carry the bytes between callers and upstreams.

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
