//! `spec`: explores the models and prints state counts and traces. Exits with status 1 if the real
//! protocol has a counterexample or a mutant has none.

use clap::{Parser, Subcommand};
use spec::suite::{Case, cases};
use std::process::ExitCode;
use std::time::Instant;

/// Model checking of the control protocol.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Explore the cases.
    Check {
        /// Only the cases of this name.
        #[arg(long)]
        property: Option<String>,
        /// Only the mutants of this name; `all` for all mutants, `none` for the real protocol.
        #[arg(long)]
        mutant: Option<String>,
    },
    /// List the cases.
    List,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::List => {
            for case in cases() {
                println!("{}", title(&case));
            }
            ExitCode::SUCCESS
        }
        Command::Check { property, mutant } => {
            let selected = cases().into_iter().filter(|case| {
                let named = property.as_deref().is_none_or(|name| case.name == name);
                named && is_selected(case.mutant, mutant.as_deref())
            });
            check(&selected.collect::<Vec<_>>())
        }
    }
}

fn is_selected(mutant: Option<&str>, wanted: Option<&str>) -> bool {
    match wanted {
        None => true,
        Some("none") => mutant.is_none(),
        Some("all") => mutant.is_some(),
        Some(name) => mutant == Some(name),
    }
}

fn title(case: &Case) -> String {
    match case.mutant {
        Some(mutant) => format!("{} with {mutant}", case.name),
        None => case.name.to_owned(),
    }
}

fn check(selected: &[Case]) -> ExitCode {
    let mut failures = Vec::new();
    for case in selected {
        let start = Instant::now();
        let report = (case.explore)();
        println!(
            "{}: {report} [{:.1} s]",
            title(case),
            start.elapsed().as_secs_f64()
        );
        failures.extend(case.verify(&report).err());
    }
    for line in &failures {
        eprintln!("{line}");
    }
    if selected.is_empty() {
        eprintln!("there is no such case; see `spec list`");
    }
    if failures.is_empty() && !selected.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
