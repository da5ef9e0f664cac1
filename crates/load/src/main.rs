//! The program `tarragon-load`; everything is in the library beside it.

use std::process::ExitCode;

use clap::Parser;
use load::args::Command;

fn main() -> ExitCode {
    env_logger::init();
    load::command::run(Command::parse().action)
}
