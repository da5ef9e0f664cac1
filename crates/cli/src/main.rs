//! The program `tarragonctl`; everything is in the library beside it.

use std::process::ExitCode;

use clap::Parser;
use cli::args::Command;

fn main() -> ExitCode {
    env_logger::init();
    cli::command::run(&Command::parse())
}
