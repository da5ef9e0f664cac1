//! The daemon; see the library for what it does.

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    gateway::command::Command::parse().run()
}
