//! Entry point of the daemon; the library holds the implementation.

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    gateway::command::Command::parse().run()
}
