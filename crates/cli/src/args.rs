//! The command line of `tarragonctl`.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Administration of tarragonswitch. Exit codes: 0 done, 1 refused or findings, 2 usage,
/// 3 another operator's edit won, 4 no answer, 5 not allowed, 6 not understood.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "tarragonctl", version)]
pub struct Command {
    /// Where the administration API is.
    #[command(flatten)]
    pub connection: Connection,

    /// Tell the result as JSON.
    #[arg(long, global = true)]
    pub json: bool,

    /// What to do.
    #[command(subcommand)]
    pub action: Action,
}

/// Where the administration API is, and who asks.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Connection {
    /// Address of the administration API of any entry.
    #[arg(
        long,
        global = true,
        env = "TARRAGON_ADDRESS",
        default_value = "127.0.0.1:8081"
    )]
    pub address: String,

    /// Token of the administration API.
    #[arg(
        long,
        global = true,
        env = "TARRAGON_ADMIN_TOKEN",
        hide_env_values = true,
        default_value = ""
    )]
    pub token: String,

    /// Name under which edits stand in the history.
    #[arg(long, global = true, env = "TARRAGON_OPERATOR")]
    pub operator: Option<String>,

    /// Longest wait for an answer.
    #[arg(long, global = true, default_value = "10s", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
}

/// What the program can do.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Action {
    /// The catalogue of owners, pools, models, entries and drains.
    #[command(subcommand)]
    Catalogue(Catalogue),
    /// What one entry sees of the fleet.
    Status,
    /// Upstreams that get no new work.
    #[command(subcommand)]
    Drain(Drain),
    /// Reports.
    #[command(subcommand)]
    Report(Reports),
    /// Planned changes of engines.
    #[command(subcommand)]
    Order(Order),
    /// Keys of callers and of instances.
    #[command(subcommand)]
    Keys(Keys),
    /// Writes completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What can be done with the catalogue.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Catalogue {
    /// Checks a file against the catalogue in force and keeps nothing.
    Check {
        /// The file, in YAML or JSON.
        file: PathBuf,
    },
    /// Puts a file in force: only entities that differ are sent, on the revision that was read.
    Apply(Apply),
    /// Shows the catalogue in force, in the form that `apply` reads.
    Get {
        /// Only this kind.
        kind: Option<String>,
        /// Only the entity of this name.
        name: Option<String>,
    },
    /// Shows accepted and refused edits, newest first.
    History,
}

/// Options of `catalogue apply`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Apply {
    /// The file, in YAML or JSON.
    pub file: PathBuf,

    /// Remove owners, pools, models and entries that the file lacks. Drains stay.
    #[arg(long)]
    pub prune: bool,

    /// Show what would be sent and send nothing.
    #[arg(long)]
    pub dry_run: bool,

    /// Why, for the history.
    #[arg(long)]
    pub note: Option<String>,
}

/// What can be done with drains.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Drain {
    /// Gives an upstream no new work; what it has in hand goes on.
    On {
        /// Id of the upstream.
        upstream: String,
        /// Why, for the other operators.
        #[arg(long)]
        reason: String,
    },
    /// Gives an upstream new work again.
    Off {
        /// Id of the upstream.
        upstream: String,
    },
    /// Lists the drains in force.
    List,
}

/// Reports.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Reports {
    /// How fast the error budgets burn.
    Burn {
        /// Write one self-contained HTML page into this file as well.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Only the counters of the entry that is asked.
        #[arg(long)]
        local: bool,
    },
}

/// What can be done with orders.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Order {
    /// Lists unresolved and recent orders with the step that each waits at.
    List,
    /// Asks for a planned change of an engine.
    #[command(subcommand)]
    Submit(Submit),
}

/// A planned change.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Submit {
    /// Changes the role of an engine.
    SetRole {
        /// Id of the engine.
        upstream: String,
        /// `mixed`, `prefill` or `decode`.
        role: String,
    },
    /// Loads a model.
    LoadModel(Model),
    /// Unloads a model.
    UnloadModel(Model),
}

/// A model on an engine.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Model {
    /// Id of the engine.
    pub upstream: String,
    /// Name of the model in the catalogue.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Its adapter.
    #[arg(long)]
    pub adapter: Option<String>,
}

/// What can be done with keys. None of it asks an entry.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Keys {
    /// Makes certificates of instances for trials, under an authority of the same folder.
    Make {
        /// The folder.
        dir: PathBuf,
        /// Ids of the instances.
        #[arg(required = true)]
        instances: Vec<String>,
    },
    /// Reads a caller's key from standard input and tells the digest that its owner lists.
    Digest,
}
