//! Command line of the log summary; see the library.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

use account::tally::Account;
use account::{plot, text};
use clap::Parser;

/// Summarises from the logs of all instances how calls ended, by route and second, and the error of
/// the forecasts.
#[derive(Debug, Parser)]
#[command(name = "tarragon-account", version)]
struct Command {
    /// Log files, each of one instance or of several.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Plots the calls of each second to this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    let command = Command::parse();
    let mut account = Account::default();
    for file in &command.logs {
        let result = File::open(file).and_then(|log| account.add_log(BufReader::new(log)));
        if let Err(error) = result {
            eprintln!("{} cannot be read: {error}", file.display());
            return ExitCode::FAILURE;
        }
    }
    print!("{}", text::tables(&account));
    let Some(file) = &command.plot else {
        return ExitCode::SUCCESS;
    };
    match plot::draw(&account, file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{} cannot be drawn: {error}", file.display());
            ExitCode::FAILURE
        }
    }
}
