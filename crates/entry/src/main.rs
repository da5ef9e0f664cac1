//! The daemon; see the library for what it does.

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    entry::command::Command::parse().run()
}
