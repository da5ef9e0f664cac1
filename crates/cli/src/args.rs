//! The command line of `tarragonctl`.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Administration of tarragonswitch. Exit codes: 0 success, 1 refused or findings, 2 usage,
/// 3 conflict with another edit, 4 no answer, 5 not allowed, 6 unexpected answer.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "tarragonctl", version)]
pub struct Command {
    /// How to reach the administration API.
    #[command(flatten)]
    pub connection: Connection,

    /// Print the result as JSON.
    #[arg(long, global = true)]
    pub json: bool,

    /// The command to run.
    #[command(subcommand)]
    pub action: Action,
}

/// How to reach the administration API, and as which operator.
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

    /// Name that the history shows for edits.
    #[arg(long, global = true, env = "TARRAGON_OPERATOR")]
    pub operator: Option<String>,

    /// Time limit for an answer.
    #[arg(long, global = true, default_value = "10s", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
}

/// The commands.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Action {
    /// Manages the catalogue of owners, pools, models, entries and drains.
    #[command(subcommand)]
    Catalogue(Catalogue),
    /// Shows the fleet as seen by one entry.
    Status,
    /// Manages drains, which keep new work away from upstreams.
    #[command(subcommand)]
    Drain(Drain),
    /// Shows reports.
    #[command(subcommand)]
    Report(Reports),
    /// Lists and submits planned changes of engines.
    #[command(subcommand)]
    Order(Order),
    /// Manages keys of callers and instances.
    #[command(subcommand)]
    Keys(Keys),
    /// Prints completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Commands for the catalogue.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Catalogue {
    /// Checks a file against the catalogue in force without applying it.
    Check {
        /// The file, in YAML or JSON.
        file: PathBuf,
    },
    /// Applies a file: sends only the entities that differ, based on the revision that was read.
    Apply(Apply),
    /// Shows the catalogue in force, in the format that `apply` reads.
    Get {
        /// Show only entities of this kind.
        kind: Option<String>,
        /// Show only the entity of this name.
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

    /// Remove owners, pools, models and entries that are not in the file. Drains are kept.
    #[arg(long)]
    pub prune: bool,

    /// Show what would be sent without sending it.
    #[arg(long)]
    pub dry_run: bool,

    /// Reason for the edit, shown in the history.
    #[arg(long)]
    pub note: Option<String>,
}

/// Commands for drains.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Drain {
    /// Stops new work for an upstream; work in progress continues.
    On {
        /// Id of the upstream.
        upstream: String,
        /// Reason for the drain, shown to other operators.
        #[arg(long)]
        reason: String,
    },
    /// Allows new work for an upstream again.
    Off {
        /// Id of the upstream.
        upstream: String,
    },
    /// Lists the drains in force.
    List,
}

/// Commands for reports.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Reports {
    /// Shows how fast the error budgets burn.
    Burn {
        /// Also write a self-contained HTML page to this file.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Use only the counters of the entry that answers.
        #[arg(long)]
        local: bool,
    },
}

/// Commands for orders.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Order {
    /// Lists unresolved and recent orders with the step that each waits at.
    List,
    /// Requests a planned change of an engine.
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
    /// Version of the model.
    pub version: String,
    /// Adapter of the model.
    #[arg(long)]
    pub adapter: Option<String>,
}

/// Commands for keys. None of them contacts an entry.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Keys {
    /// Creates instance certificates for trials, issued by an authority in the same folder.
    Make {
        /// The folder.
        dir: PathBuf,
        /// Ids of the instances.
        #[arg(required = true)]
        instances: Vec<String>,
    },
    /// Reads a caller's key from standard input and prints the digest for its owner's `keys`.
    Digest,
}
