//! The command line of `tarragon-load`.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Open-loop load for trials: it ends by itself, and tells what was served, lost, doubled, crossed
/// or cut. Exit codes: 0 clean, 1 a fault was seen, 2 usage or a bad plan, 3 the load could not be
/// sent as planned, 4 no result.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "tarragon-load", version)]
pub struct Command {
    /// What to do.
    #[command(subcommand)]
    pub action: Action,
}

/// What the program can do.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Action {
    /// Checks a plan and tells every finding.
    Check(PlanSource),
    /// Runs a plan.
    Run(Run),
    /// Compares variants in one run, their segments interleaved.
    Compare(Compare),
    /// Measures what an entry adds and what it can carry.
    Bench(Bench),
}

/// A plan and what is changed of it.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct PlanSource {
    /// The plan, in YAML.
    pub plan: PathBuf,

    /// A file of swings laid over the plan; may be repeated.
    #[arg(long)]
    pub swings: Vec<PathBuf>,

    /// Seed in place of the plan's.
    #[arg(long)]
    pub seed: Option<u64>,

    /// Multiplies every rate of the plan.
    #[arg(long, default_value_t = 1.0)]
    pub rate: f64,

    /// How long requests arrive, in place of the plan's duration.
    #[arg(long, value_parser = humantime::parse_duration)]
    pub duration: Option<Duration>,
}

/// Where to send, and with how many threads.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Destinations {
    /// URL root of an entry, such as `http://127.0.0.1:8080`; one each.
    #[arg(long = "target", required = true)]
    pub targets: Vec<String>,

    /// URL root of a plain stand-in, to look up what it executed; one each.
    #[arg(long = "service")]
    pub services: Vec<String>,

    /// URL root of an engine to look at; one each.
    #[arg(long = "engine")]
    pub engines: Vec<String>,

    /// Threads that send.
    #[arg(long, default_value_t = 2)]
    pub workers: usize,
}

/// Options of a run.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Run {
    /// The plan and what is changed of it.
    #[command(flatten)]
    pub source: PlanSource,

    /// Where to send.
    #[command(flatten)]
    pub destinations: Destinations,

    /// Writes the result as JSON into this file; `-` is standard output, in place of the text.
    #[arg(long)]
    pub json: Option<PathBuf>,

    /// Draws goodput over time into this SVG file.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Options of a comparison.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Compare {
    /// The plan of each segment and what is changed of it.
    #[command(flatten)]
    pub source: PlanSource,

    /// The variants, in YAML.
    pub variants: PathBuf,

    /// Where to send.
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

    /// Writes all segments and scores as JSON into this file.
    #[arg(long)]
    pub json: Option<PathBuf>,

    /// Draws the goodput curves, summed over the rounds, into this SVG file.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// What a bench measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ValueEnum)]
pub enum BenchPart {
    /// Added latency.
    Latency,
    /// Requests and tokens at saturation.
    Saturation,
    /// Resident memory.
    Memory,
}

/// Options of a bench. Parts whose stand-in or process is not named are left out.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Bench {
    /// URL root of the entry.
    #[arg(long)]
    pub entry: String,

    /// What to measure.
    #[arg(long, value_delimiter = ',', default_values = ["latency", "saturation", "memory"])]
    pub parts: Vec<BenchPart>,

    /// Process id of the entry, for processor time and memory.
    #[arg(long)]
    pub pid: Option<u32>,

    /// URL root of the plain stand-in behind the entry.
    #[arg(long)]
    pub service: Option<String>,

    /// Path of the plain call.
    #[arg(long, default_value = "/bench")]
    pub plain_path: String,

    /// Caller's key for the plain call.
    #[arg(long, default_value = "bench-key")]
    pub plain_key: String,

    /// URL root of an engine behind the entry.
    #[arg(long)]
    pub engine: Option<String>,

    /// Model as the entry knows it.
    #[arg(long, default_value = "bench")]
    pub entry_model: String,

    /// Caller's key for the completions.
    #[arg(long, default_value = "bench-key")]
    pub entry_key: String,

    /// Model as the engine knows it.
    #[arg(long, default_value = "bench-model")]
    pub engine_model: String,

    /// Calls a second at which latency is measured.
    #[arg(long, value_delimiter = ',', default_values_t = [1.0, 40.0, 400.0])]
    pub rates: Vec<f64>,

    /// Most samples of each side at each rate.
    #[arg(long, default_value_t = 4_000)]
    pub samples: u32,

    /// Tokens of the completions whose latency is measured.
    #[arg(long, default_value_t = 16)]
    pub tokens: u32,

    /// Length of each saturation in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,

    /// Plain calls at once at saturation.
    #[arg(long, default_value_t = 128)]
    pub connections: usize,

    /// Streams at once at saturation.
    #[arg(long, default_value_t = 256)]
    pub streams: usize,

    /// Tokens of each stream at saturation.
    #[arg(long, default_value_t = 512)]
    pub relay_tokens: u32,

    /// Streams held open while memory is read.
    #[arg(long, default_value_t = 2_000)]
    pub open_streams: usize,

    /// Tokens of each of these; enough that they stay open.
    #[arg(long, default_value_t = 100_000)]
    pub open_tokens: u32,

    /// Writes the figures as JSON into this file.
    #[arg(long)]
    pub json: Option<PathBuf>,
}
