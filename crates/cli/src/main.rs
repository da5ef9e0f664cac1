//! The `tarragonctl` binary; its code is in the library of this crate.

use std::process::ExitCode;

use clap::Parser;
use cli::args::Command;

fn main() -> ExitCode {
    env_logger::init();
    cli::command::run(&Command::parse())
}
