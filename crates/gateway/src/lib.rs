//! The daemon `tarragon-gateway`: forwards callers' requests to engines on the users' platform.
//! Nothing depends on this crate: the platform's adapter translates requests and records, `serving`
//! decides, `http1` carries the traffic, and the modules here connect them on one thread. See
//! [`docs/design/platform.md`](../../../docs/design/platform.md).

mod admission;
mod announcements;
mod attempt;
mod bootstrap;
mod claim_log;
mod claims;
pub mod command;
mod compression;
mod conclusion;
mod connection;
mod crash_detection;
mod daemon;
mod discovery;
mod duties;
mod engine_cache;
mod engine_call;
mod engine_links;
mod engine_records;
pub mod events;
pub mod explain;
mod forward;
mod frame;
mod generate;
mod instance;
mod lifecycle;
mod limits;
pub mod logging;
mod mesh;
mod metrics;
mod operator;
mod origins;
mod overdue;
mod own_load;
mod peers;
mod placement;
mod plain;
mod pool;
mod pool_sizes;
mod quarantine_store;
mod readiness;
mod receive;
mod refusal;
mod registrar;
mod relay;
pub mod reports;
mod roles;
mod shares;
pub mod shares_report;
mod status;
mod store_reader;
mod suspects;
mod usage;
mod version_records;
mod warmup;
