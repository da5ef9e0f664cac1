//! The program `tarragon-load`; the implementation is in the library.

use std::process::ExitCode;

use clap::Parser;
use load::args::Command;

fn main() -> ExitCode {
    env_logger::init();
    load::command::run(Command::parse().action)
}
