//! The command line of `tarragon-entry`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use error_stack::{Report, ResultExt as _};
use settings::{Settings, Source};
use signals::EarlySignals;

use crate::daemon;
use crate::policy::Overrides;

/// Exit code for settings with findings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// One of the entries between callers and upstreams.
#[derive(Debug, Parser)]
#[command(name = "tarragon-entry", version)]
pub struct Command {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Serves until SIGTERM or SIGINT.
    Serve {
        /// Settings file.
        #[arg(long)]
        settings: PathBuf,
        /// Overrides one setting of the file.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Checks settings and prints every finding with its place.
    Check {
        /// Settings file.
        settings: PathBuf,
        /// Overrides one setting of the file.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// Prints the version.
    Version,
}

/// Reason for the failure of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The settings cannot be read or have findings.
    Settings,
    /// The daemon could not start or failed.
    Daemon,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Settings => "the settings are not good",
            Self::Daemon => "the entry could not serve",
        })
    }
}

impl std::error::Error for Failure {}

impl Command {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let result = match self.action {
            Action::Serve { settings, set } => serve(&settings, &set),
            Action::Check { settings, set } => check(&settings, &set),
            Action::Version => {
                println!("tarragon-entry {}", env!("CARGO_PKG_VERSION"));
                Ok(())
            }
        };
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => {
                eprintln!("{report:?}");
                match report.current_context() {
                    Failure::Settings => ExitCode::from(EXIT_INVALID_SETTINGS),
                    Failure::Daemon => ExitCode::FAILURE,
                }
            }
        }
    }
}

fn serve(path: &Path, set: &[String]) -> Result<(), Report<Failure>> {
    let early = EarlySignals::new().change_context(Failure::Daemon)?;
    let settings = load(path, set)?;
    start_log(&settings.log.level);
    daemon::run(settings, early).change_context(Failure::Daemon)
}

fn check(path: &Path, set: &[String]) -> Result<(), Report<Failure>> {
    load(path, set)?;
    println!("{}: no findings", path.display());
    Ok(())
}

fn load(path: &Path, set: &[String]) -> Result<Settings, Report<Failure>> {
    let text = std::fs::read_to_string(path)
        .change_context(Failure::Settings)
        .attach_with(|| path.display().to_string())?;
    let mut source = Source::from_yaml(&text);
    source.apply_overrides(set);
    source.apply_environment(|name| std::env::var(name).ok());
    let settings = source
        .check()
        .change_context(Failure::Settings)
        .attach_with(|| path.display().to_string())?;
    Overrides::try_from(&settings.policy).change_context(Failure::Settings)?;
    Ok(settings)
}

/// `RUST_LOG` takes precedence over the settings, for debugging a single module.
fn start_log(level: &str) {
    let environment = env_logger::Env::default().default_filter_or(level);
    env_logger::Builder::from_env(environment)
        .format_timestamp_millis()
        .init();
}
