//! The soak's command line; see the library.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use soak::plan::{Plan, Size};
use soak::run::{self, Paths, RunResult};

/// Findings that are printed of one run; one cause often gives thousands.
const MAX_PRINTED_FINDINGS: usize = 20;

/// Runs gateways between stand-ins under random faults and checks what callers and engines see.
#[derive(Debug, Parser)]
#[command(name = "tarragon-soak", version)]
struct Command {
    /// Program of the gateway; without it the one beside this program.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// Folder for settings and logs.
    #[arg(long, global = true, default_value = "target/soak")]
    directory: PathBuf,
    /// Seconds for which callers send.
    #[arg(long, global = true, default_value_t = 12)]
    seconds: u64,
    /// Gateway processes; drawn by the seed without it.
    #[arg(long, global = true)]
    gateways: Option<usize>,
    /// Engines that generate; drawn by the seed without it.
    #[arg(long, global = true)]
    engines: Option<usize>,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Runs one seed. On a failure it tries smaller plans.
    Run {
        /// The seed.
        seed: u64,
        /// Leaves all faults out: the path on stand-ins, as it serves.
        #[arg(long)]
        calm: bool,
    },
    /// Runs several seeds, one after the other, and goes on after failures.
    Many {
        /// First seed.
        from: u64,
        /// Number of seeds.
        count: u64,
    },
    /// Prints a seed's plan.
    Plan {
        /// The seed.
        seed: u64,
    },
}

fn main() -> ExitCode {
    let command = Command::parse();
    match actix_rt::System::new().block_on(execute(&command)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the soak cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Says whether every promise was kept.
async fn execute(command: &Command) -> io::Result<bool> {
    let length = Duration::from_secs(command.seconds);
    let size = Size {
        gateways: command.gateways,
        engines: command.engines,
    };
    let draw = |seed| Plan::generate_sized(seed, length, size);
    let program = match &command.program {
        Some(program) => program.clone(),
        None => run::gateway_program(&std::env::current_exe()?)?,
    };
    let paths = Paths {
        program,
        directory: command.directory.clone(),
    };
    match command.action {
        Action::Plan { seed } => {
            print_plan(&draw(seed));
            Ok(true)
        }
        Action::Run { seed, calm } => {
            let mut plan = draw(seed);
            if calm {
                plan.faults.clear();
            }
            let outcome = run::run(&plan, &paths).await?;
            print_outcome(&outcome);
            if outcome.findings.is_empty() {
                return Ok(true);
            }
            println!("trying smaller plans");
            print_plan(&run::shrink(&outcome, &paths).await?);
            Ok(false)
        }
        Action::Many { from, count } => {
            let mut failed = Vec::new();
            for seed in from..from + count {
                let outcome = run::run(&draw(seed), &paths).await?;
                print_outcome(&outcome);
                if !outcome.findings.is_empty() {
                    failed.push(seed);
                }
            }
            println!("{count} seeds, {} failed: {failed:?}", failed.len());
            Ok(failed.is_empty())
        }
    }
}

fn print_plan(plan: &Plan) {
    println!(
        "seed {}: {} gateways, {} services, {} engines",
        plan.seed, plan.gateways, plan.services, plan.engines
    );
    for fault in &plan.faults {
        println!("  {fault}");
    }
}

fn print_outcome(outcome: &RunResult) {
    let calls = outcome.history.calls.len();
    let served = outcome
        .history
        .calls
        .iter()
        .filter(|call| call.is_success());
    println!(
        "seed {}: {} faults, {calls} calls, {} served, {} requests at engines, {} orders, {} findings; logs in {}",
        outcome.plan.seed,
        outcome.plan.faults.len(),
        served.count(),
        outcome.history.engine_requests.len(),
        outcome.history.orders.len(),
        outcome.findings.len(),
        outcome.logs.display()
    );
    for finding in outcome.findings.iter().take(MAX_PRINTED_FINDINGS) {
        println!("  {finding}");
    }
}
