//! The daemon `tarragon-gateway`: callers' requests in, engines' answers out, on the users'
//! platform. It stands at the end of the dependencies: the platform's adapter translates what comes
//! and goes, `serving` decides, `http1` carries, and the modules here connect them on one thread.
//! See [`docs/design/platform.md`](../../../docs/design/platform.md).

mod admission;
mod attempt;
mod bootstrap;
mod claim_log;
mod claims;
pub mod command;
mod connection;
mod crash_detection;
mod daemon;
mod discovery;
mod duties;
mod engine_call;
pub mod events;
pub mod explain;
mod frame;
mod generate;
mod instance;
pub mod journal;
mod lifecycle;
mod limits;
mod mesh;
mod metrics;
mod operator;
mod peers;
mod placement;
mod plain;
mod pool;
mod pool_sizes;
mod quarantine_store;
mod readiness;
mod receive;
mod refusal;
mod relay;
pub mod reports;
mod roles;
mod status;
mod store_reader;
mod suspects;
mod usage;
mod warmup;
