//! Command line of `standin-platform`.

use clap::Parser;

use crate::http::Listen;

/// Emulates the platform's log, instance list and weight store, for tests and measurements.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "standin-platform", version)]
pub struct Options {
    /// Listener options.
    #[command(flatten)]
    pub listen: Listen,

    /// Seconds for which the log keeps a record.
    #[arg(long, default_value_t = 3600.0)]
    pub retention_s: f64,

    /// Maximum number of records that the log keeps; 0 for no limit.
    #[arg(long, default_value_t = 0)]
    pub retention_count: usize,

    /// Appends per second that the log accepts; 0 for no limit.
    #[arg(long, default_value_t = 400.0)]
    pub append_rate: f64,

    /// Milliseconds that each append takes.
    #[arg(long, default_value_t = 0)]
    pub append_ms: u64,

    /// Milliseconds by which the instance list lags.
    #[arg(long, default_value_t = 0)]
    pub instance_lag_ms: u64,

    /// Bytes per second that the weight store sends, over all transfers.
    #[arg(long, default_value_t = 100_000_000)]
    pub weight_rate: u64,

    /// Size of a model's weights, in bytes.
    #[arg(long, default_value_t = 10_000_000)]
    pub weight_bytes: u64,

    /// Size of an adapter's weights, in bytes.
    #[arg(long, default_value_t = 1_000_000)]
    pub adapter_bytes: u64,

    /// Concurrent transfers of the weight store.
    #[arg(long, default_value_t = 4)]
    pub weight_transfers: usize,

    /// Seed for faults given as a fraction.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
