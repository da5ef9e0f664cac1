//! Command line of `standin-service`.

use clap::Parser;

use crate::http::Listen;

/// Emulates a plain service and counts its executions, for tests and measurements.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "standin-service", version)]
pub struct Options {
    /// Listener options.
    #[command(flatten)]
    pub listen: Listen,

    /// Service name in the responses.
    #[arg(long, default_value = "service")]
    pub name: String,

    /// Milliseconds from the execution to its response.
    #[arg(long, default_value_t = 0)]
    pub service_ms: u64,

    /// Seed for faults given as a fraction.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
