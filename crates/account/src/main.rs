//! The command line of the account; see the library.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

use account::tally::Account;
use account::{plot, text};
use clap::Parser;

/// Says from the logs of all instances how calls ended, by route and second, and how far forecasts were off.
#[derive(Debug, Parser)]
#[command(name = "tarragon-account", version)]
struct Command {
    /// Log files, one an instance or several in one.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Draws the seconds into an SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    let command = Command::parse();
    let mut account = Account::default();
    for file in &command.logs {
        let read = File::open(file).and_then(|log| account.add(BufReader::new(log)));
        if let Err(error) = read {
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
