//! The command line of `tarragon-load`.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Open-loop load generator for trials: runs for a limited time and reports what was served, lost,
/// doubled, crossed or cut. Exit codes: 0 clean, 1 a fault was seen, 2 invalid usage or plan, 3 the
/// load could not be sent as planned, 4 no result.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "tarragon-load", version)]
pub struct Command {
    /// Subcommand.
    #[command(subcommand)]
    pub action: Action,
}

/// Subcommands of the program.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Action {
    /// Checks a plan and prints all findings.
    Check(PlanSource),
    /// Runs a plan.
    Run(Run),
    /// Compares variants in one run, their segments interleaved.
    Compare(Compare),
    /// Measures the added latency, throughput and memory of an entry.
    Bench(Bench),
}

/// A plan and overrides for it.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct PlanSource {
    /// The plan, in YAML.
    pub plan: PathBuf,

    /// A file of swings to append to those of the plan; may be repeated.
    #[arg(long)]
    pub swings: Vec<PathBuf>,

    /// Overrides the seed of the plan.
    #[arg(long)]
    pub seed: Option<u64>,

    /// Multiplies all rates of the plan.
    #[arg(long, default_value_t = 1.0)]
    pub rate: f64,

    /// Overrides the duration of the plan: how long requests arrive.
    #[arg(long, value_parser = humantime::parse_duration)]
    pub duration: Option<Duration>,
}

/// Where to send requests, and with how many threads.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Destinations {
    /// URL root of an entry, such as `http://127.0.0.1:8080`; may be repeated.
    #[arg(long = "target", required = true)]
    pub targets: Vec<String>,

    /// URL root of a plain stand-in whose executions are audited; may be repeated.
    #[arg(long = "service")]
    pub services: Vec<String>,

    /// URL root of an engine to sample; may be repeated.
    #[arg(long = "engine")]
    pub engines: Vec<String>,

    /// Number of sending threads.
    #[arg(long, default_value_t = 2)]
    pub workers: usize,
}

/// Options of a run.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Run {
    /// The plan and overrides for it.
    #[command(flatten)]
    pub source: PlanSource,

    /// Where to send requests.
    #[command(flatten)]
    pub destinations: Destinations,

    /// Writes the result as JSON to this file; `-` is standard output, in place of the text.
    #[arg(long)]
    pub json: Option<PathBuf>,

    /// Plots goodput over time to this SVG file.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Options of a comparison.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Compare {
    /// The plan of each segment and overrides for it.
    #[command(flatten)]
    pub source: PlanSource,

    /// The variants, in YAML.
    pub variants: PathBuf,

    /// Where to send requests.
    #[command(flatten)]
    pub place: Destinations,

    /// URL root of the administration API of an entry, if variants edit pools.
    #[arg(long)]
    pub admin: Option<String>,

    /// Token of the administration API.
    #[arg(
        long,
        env = "TARRAGON_ADMIN_TOKEN",
        hide_env_values = true,
        default_value = ""
    )]
    pub token: String,

    /// Writes all segments and scores as JSON to this file.
    #[arg(long)]
    pub json: Option<PathBuf>,

    /// Plots the goodput curves, summed over the rounds, to this SVG file.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Parts of a bench.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ValueEnum)]
pub enum BenchPart {
    /// Added latency.
    Latency,
    /// Throughput at saturation.
    Saturation,
    /// Resident memory.
    Memory,
}

/// Options of a bench. Parts whose stand-in or process is not given are skipped.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Bench {
    /// URL root of the entry.
    #[arg(long)]
    pub entry: String,

    /// Parts to run.
    #[arg(long, value_delimiter = ',', default_values = ["latency", "saturation", "memory"])]
    pub parts: Vec<BenchPart>,

    /// Process id of the entry, for CPU time and memory.
    #[arg(long)]
    pub pid: Option<u32>,

    /// URL root of the plain stand-in behind the entry.
    #[arg(long)]
    pub service: Option<String>,

    /// Path of the plain call.
    #[arg(long, default_value = "/bench")]
    pub plain_path: String,

    /// API key for the plain call.
    #[arg(long, default_value = "bench-key")]
    pub plain_key: String,

    /// URL root of an engine behind the entry.
    #[arg(long)]
    pub engine: Option<String>,

    /// Model name at the entry.
    #[arg(long, default_value = "bench")]
    pub entry_model: String,

    /// API key for the completions.
    #[arg(long, default_value = "bench-key")]
    pub entry_key: String,

    /// Model name at the engine.
    #[arg(long, default_value = "bench-model")]
    pub engine_model: String,

    /// Calls a second at which latency is measured.
    #[arg(long, value_delimiter = ',', default_values_t = [1.0, 40.0, 400.0])]
    pub rates: Vec<f64>,

    /// Limit for the samples of each route at each rate.
    #[arg(long, default_value_t = 4_000)]
    pub samples: u32,

    /// Tokens of the completions whose latency is measured.
    #[arg(long, default_value_t = 16)]
    pub tokens: u32,

    /// Duration of each saturation in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,

    /// Concurrent plain calls at saturation.
    #[arg(long, default_value_t = 128)]
    pub connections: usize,

    /// Concurrent streams at saturation.
    #[arg(long, default_value_t = 256)]
    pub streams: usize,

    /// Tokens of each stream at saturation.
    #[arg(long, default_value_t = 512)]
    pub relay_tokens: u32,

    /// Streams that are open while memory is read.
    #[arg(long, default_value_t = 2_000)]
    pub open_streams: usize,

    /// Tokens of each of these; must be enough to keep them open.
    #[arg(long, default_value_t = 100_000)]
    pub open_tokens: u32,

    /// Writes the figures as JSON to this file.
    #[arg(long)]
    pub json: Option<PathBuf>,
}
