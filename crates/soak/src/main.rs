//! Command line of the soak test; see the library.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use soak::plan::{Plan, Size};
use soak::run::{self, Paths, RunResult};

/// Number of findings printed for a run, since one cause often gives thousands.
const MAX_PRINTED_FINDINGS: usize = 20;

/// Runs gateways between stand-ins under random faults and checks what callers and engines see.
#[derive(Debug, Parser)]
#[command(name = "tarragon-soak", version)]
struct Command {
    /// Path of the gateway program; by default the one in the directory of this program.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// Directory for settings and logs.
    #[arg(long, global = true, default_value = "target/soak")]
    directory: PathBuf,
    /// Time in seconds for which callers send.
    #[arg(long, global = true, default_value_t = 12)]
    seconds: u64,
    /// Number of gateway processes; by default chosen by the seed.
    #[arg(long, global = true)]
    gateways: Option<usize>,
    /// Number of engines for generation; by default chosen by the seed.
    #[arg(long, global = true)]
    engines: Option<usize>,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Runs one seed. After a failure, tries to find a smaller plan that fails.
    Run {
        /// The seed.
        seed: u64,
        /// Injects no faults.
        #[arg(long)]
        calm: bool,
    },
    /// Runs several seeds in sequence and continues after failures.
    Many {
        /// First seed.
        from: u64,
        /// Number of seeds.
        count: u64,
    },
    /// Prints the plan of a seed.
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

/// Executes the command. Returns whether no run had findings.
async fn execute(command: &Command) -> io::Result<bool> {
    let duration = Duration::from_secs(command.seconds);
    let size = Size {
        gateways: command.gateways,
        engines: command.engines,
    };
    let generate = |seed| Plan::generate_sized(seed, duration, size);
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
            print_plan(&generate(seed));
            Ok(true)
        }
        Action::Run { seed, calm } => {
            let mut plan = generate(seed);
            if calm {
                plan.faults.clear();
            }
            let result = run::run(&plan, &paths).await?;
            print_result(&result);
            if result.findings.is_empty() {
                return Ok(true);
            }
            println!("trying smaller plans");
            print_plan(&run::shrink(&result, &paths).await?);
            Ok(false)
        }
        Action::Many { from, count } => {
            let mut failed = Vec::new();
            for seed in from..from + count {
                let result = run::run(&generate(seed), &paths).await?;
                print_result(&result);
                if !result.findings.is_empty() {
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

fn print_result(result: &RunResult) {
    let calls = result.history.calls.len();
    let served = result.history.calls.iter().filter(|call| call.is_success());
    println!(
        "seed {}: {} faults, {calls} calls, {} served, {} requests at engines, {} orders, {} findings; logs in {}",
        result.plan.seed,
        result.plan.faults.len(),
        served.count(),
        result.history.engine_requests.len(),
        result.history.orders.len(),
        result.findings.len(),
        result.logs.display()
    );
    for finding in result.findings.iter().take(MAX_PRINTED_FINDINGS) {
        println!("  {finding}");
    }
}
