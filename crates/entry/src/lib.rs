//! The daemon `tarragon-entry`: callers' requests in, upstreams' answers out. It stands at the end
//! of all dependencies: `settings` tells it what to open, `control` folds the platform's log and
//! drives membership and authority on a thread of its own, `routing` decides behind one lock, and
//! the modules here carry the bytes between callers and upstreams.

pub mod account;
pub mod admin;
pub mod asked;
pub mod command;
pub mod completion;
pub mod daemon;
pub mod density;
pub mod dispatch;
pub mod front;
pub mod gathered;
pub mod hold;
pub mod hooks;
pub mod keys;
pub mod metrics;
pub mod once;
pub mod plain;
pub mod policy;
pub mod process;
pub mod resume;
pub mod shared;
pub mod stream;
pub mod upstream;
pub mod work;
pub mod world;
