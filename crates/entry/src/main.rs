//! Entry point of the daemon; see the library.

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    entry::command::Command::parse().run()
}
