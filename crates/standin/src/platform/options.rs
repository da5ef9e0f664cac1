//! Command line of `standin-platform`.

use clap::Parser;

use crate::http::Listen;

/// The platform's log, instance list and weight store, for trials and tests.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "standin-platform", version)]
pub struct Options {
    /// Where to listen.
    #[command(flatten)]
    pub listen: Listen,

    /// Seconds that a record of the log is kept.
    #[arg(long, default_value_t = 3600.0)]
    pub retention_s: f64,

    /// Most records that the log keeps; 0 sets no such bound.
    #[arg(long, default_value_t = 0)]
    pub retention_count: usize,

    /// Appends a second that the log takes; 0 sets no such bound.
    #[arg(long, default_value_t = 400.0)]
    pub append_rate: f64,

    /// Milliseconds that each append takes.
    #[arg(long, default_value_t = 0)]
    pub append_ms: u64,

    /// Milliseconds by which the instance list lags.
    #[arg(long, default_value_t = 0)]
    pub instance_lag_ms: u64,

    /// Bytes a second that the weight store sends, over all transfers.
    #[arg(long, default_value_t = 100_000_000)]
    pub weight_rate: u64,

    /// Bytes of the weights of a model.
    #[arg(long, default_value_t = 10_000_000)]
    pub weight_bytes: u64,

    /// Bytes of the weights of an adapter.
    #[arg(long, default_value_t = 1_000_000)]
    pub adapter_bytes: u64,

    /// Transfers that the weight store runs at once.
    #[arg(long, default_value_t = 4)]
    pub weight_transfers: usize,

    /// Seed of the faults that are given as a fraction.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
