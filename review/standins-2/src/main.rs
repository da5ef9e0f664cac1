//! Stand-ins of callers, engines and the platform for the cases of the second review. Each case is a
//! subcommand; `run.sh` of the case starts it.
#![allow(dead_code)]

mod advertised;
mod deployment;
mod early_answer;
mod endless_event;
mod engine;
mod http;
mod long_budget;
mod nothing_left;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let rest: Vec<String> = arguments.collect();
    if name == "early-engine" {
        early_answer::engine(&rest);
        return ExitCode::SUCCESS;
    }
    let [root, directory, record] = rest.as_slice() else {
        eprintln!("usage: review-standins-2 CASE ROOT SCRATCH RECORD");
        return ExitCode::from(deployment::NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, directory) = (PathBuf::from(root), PathBuf::from(directory));
    let Ok(record) = deployment::Record::create(&PathBuf::from(record)) else {
        return ExitCode::from(deployment::NOT_RUN);
    };
    let code = match name.as_str() {
        "advertised" => advertised::run(&root, &directory, &record, trouble),
        "endless-event" => endless_event::run(&root, &directory, &record, trouble),
        "nothing-left" => nothing_left::run(&root, &directory, &record, trouble),
        "long-budget" => long_budget::run(&root, &directory, &record, trouble),
        "early-answer" => early_answer::run(&root, &directory, &record, trouble),
        _ => deployment::NOT_RUN,
    };
    ExitCode::from(code)
}
