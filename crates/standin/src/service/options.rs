//! Command line of `standin-service`.

use clap::Parser;

use crate::http::Listen;

/// A plain service that counts its executions, for trials and tests.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "standin-service", version)]
pub struct Options {
    /// Where to listen.
    #[command(flatten)]
    pub listen: Listen,

    /// Name told in the answers.
    #[arg(long, default_value = "service")]
    pub name: String,

    /// Milliseconds from the execution to its answer.
    #[arg(long, default_value_t = 0)]
    pub service_ms: u64,

    /// Seed of the faults that are given as a fraction.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
