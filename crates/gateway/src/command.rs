//! The command line of `tarragon-gateway`.

use std::path::PathBuf;
use std::process::ExitCode;

use adapter::orders::FixedCount;
use adapter::settings::{self, Settings};
use clap::{Parser, Subcommand};
use serving::fingerprint::Fingerprint;
use signals::EarlySignals;

use crate::{daemon, explain, logging, operator, shares_report};

/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;

/// One of the instances between callers and engines, on the users' platform.
#[derive(Debug, Parser)]
#[command(name = "tarragon-gateway", version)]
pub struct Command {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Serves until SIGTERM.
    Serve {
        /// Settings file; without it the platform's environment variable names it.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Port of this instance at which metrics are served, under /metrics.
        #[arg(long)]
        metrics: Option<u16>,
    },
    /// Prints the log lines of a request from the logs of several instances, in order of time.
    Explain {
        /// Id of the request.
        id: String,
        /// Log files, one per instance.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Writes JSON instead of text.
        #[arg(long)]
        json: bool,
    },
    /// Prints for each organisation what became of its calls, and the services that were contended.
    Shares {
        /// Log files, one per instance.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Prints the calls that are held because engines crashed while running them, with their
    /// fingerprints.
    Held {
        /// Settings file of any instance; without it the platform's environment variable names it.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Releases a held call, at all instances within a minute.
    Release {
        /// Fingerprint of the call.
        #[arg(value_parser = fingerprint)]
        fingerprint: Fingerprint,
        /// Settings file of any instance; without it the platform's environment variable names it.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Prints how many engines were ordered last, and what operators requested.
    Engines {
        /// Settings file of any instance; without it the platform's environment variable names it.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Suspends orders for engines at all instances until `resume`.
    Hold {
        /// Settings file of any instance; without it the platform's environment variable names it.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Resumes orders for engines.
    Resume {
        /// Settings file of any instance; without it the platform's environment variable names it.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Fixes how many engines of one kind a service has in a data centre.
    Fix {
        /// The service.
        service: String,
        /// The data centre.
        zone: String,
        /// Number of engines; without it the plan decides again.
        engines: Option<u32>,
        /// Applies to engines that may be reclaimed, instead of the others.
        #[arg(long)]
        reclaimable: bool,
        /// Settings file of any instance; without it the platform's environment variable names it.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Checks settings and prints every finding with its place, and unknown names.
    Check {
        /// Settings file.
        settings: PathBuf,
    },
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        match self.action {
            Action::Serve { settings, metrics } => serve(settings, metrics),
            Action::Explain { id, logs, json } => explain(&id, &logs, json),
            Action::Shares { logs } => {
                print(shares_report::read(&logs).map(|report| report.text()))
            }
            Action::Held { settings } => operate(settings, async |settings| {
                for line in operator::list_held(&settings).await? {
                    println!("{line}");
                }
                Ok(())
            }),
            Action::Release {
                fingerprint,
                settings,
            } => operate(settings, async |settings| {
                operator::release(&settings, fingerprint).await
            }),
            Action::Engines { settings } => operate(settings, async |settings| {
                for line in operator::list_engines(&settings).await? {
                    println!("{line}");
                }
                Ok(())
            }),
            Action::Hold { settings } => operate(settings, async |settings| {
                operator::set_hold(&settings, true).await
            }),
            Action::Resume { settings } => operate(settings, async |settings| {
                operator::set_hold(&settings, false).await
            }),
            Action::Fix {
                service,
                zone,
                engines,
                reclaimable,
                settings,
            } => operate(settings, async |settings| {
                let fixed = FixedCount {
                    service,
                    zone,
                    reclaimable,
                    engines: engines.unwrap_or_default(),
                };
                operator::fix(&settings, &fixed, engines.is_some()).await
            }),
            Action::Check { settings } => check(settings),
        }
    }
}

fn explain(id: &str, logs: &[PathBuf], json: bool) -> ExitCode {
    let result = explain::read(id, logs).and_then(|trace| {
        if json {
            trace.json().map_err(std::io::Error::from)
        } else {
            Ok(trace.text())
        }
    });
    print(result)
}

fn print(result: std::io::Result<String>) -> ExitCode {
    match result {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the logs cannot be read: {error}");
            ExitCode::FAILURE
        }
    }
}

fn fingerprint(text: &str) -> Result<Fingerprint, std::num::ParseIntError> {
    Fingerprint::from_str_radix(text, 16)
}

fn operate(
    path: Option<PathBuf>,
    act: impl AsyncFnOnce(Settings) -> Result<(), operator::Failure>,
) -> ExitCode {
    let settings = match load(path) {
        Ok((_, settings)) => settings,
        Err(code) => return code,
    };
    match actix_rt::System::new().block_on(act(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}

fn check(path: PathBuf) -> ExitCode {
    if let Ok(text) = std::fs::read_to_string(&path) {
        for name in settings::unknown_names(&text) {
            println!("{name}: unknown setting, ignored");
        }
    }
    match load(Some(path)) {
        Ok(_) => ExitCode::SUCCESS,
        Err(code) => code,
    }
}

fn load(path: Option<PathBuf>) -> Result<(PathBuf, Settings), ExitCode> {
    let Some(path) = path.or_else(settings::path) else {
        eprintln!("no settings file given");
        return Err(ExitCode::from(BAD_SETTINGS));
    };
    match settings::load(&path) {
        Ok(settings) => Ok((path, settings)),
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            Err(ExitCode::from(BAD_SETTINGS))
        }
    }
}

fn serve(path: Option<PathBuf>, metrics: Option<u16>) -> ExitCode {
    let early = match EarlySignals::new() {
        Ok(early) => early,
        Err(error) => {
            eprintln!("signals cannot be received: {error}");
            return ExitCode::FAILURE;
        }
    };
    logging::init();
    let (path, settings) = match load(path) {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    match daemon::run(path, settings, metrics, early) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:% = error; "the daemon failed");
            ExitCode::FAILURE
        }
    }
}
