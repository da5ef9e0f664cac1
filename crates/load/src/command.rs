//! Runs each subcommand, from reading its files to the exit code.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use error_stack::{Report, ResultExt};

use crate::args::{Action, PlanSource, Run};
use crate::bench;
use crate::compare;
use crate::error::Error;
use crate::plan::Plan;
use crate::plot::{self, Curve};
use crate::run;
use crate::summary::Summary;

/// Exit code for a fault: lost, cut, crossed, garbled, doubled or wrongly reported as not run.
pub(crate) const FAULT: u8 = 1;

/// Exit code for an invalid command line or plan.
const USAGE: u8 = 2;

/// Exit code for a load that was not sent as planned: its figures measure the load generator.
pub(crate) const NOT_AS_PLANNED: u8 = 3;

/// Exit code for a run without a result.
const NO_RESULT: u8 = 4;

/// Runs a subcommand; errors are printed to standard error.
pub fn run(action: Action) -> ExitCode {
    let done = match action {
        Action::Check(source) => check(&source),
        Action::Run(options) => run_plan(&options),
        Action::Compare(options) => compare::run(&options),
        Action::Bench(options) => bench::run(&options),
    };
    done.unwrap_or_else(|report| {
        eprintln!("{report:?}");
        match report.current_context() {
            Error::Usage(_) => ExitCode::from(USAGE),
            _ => ExitCode::from(NO_RESULT),
        }
    })
}

fn check(source: &PlanSource) -> Result<ExitCode, Report<Error>> {
    let plan = read_plan(source)?;
    println!(
        "{}: {} classes, no findings",
        source.plan.display(),
        plan.classes.len()
    );
    Ok(ExitCode::SUCCESS)
}

fn run_plan(options: &Run) -> Result<ExitCode, Report<Error>> {
    let plan = read_plan(&options.source)?;
    let run = run::Run {
        plan,
        targets: options.destinations.targets.clone(),
        services: options.destinations.services.clone(),
        engines: options.destinations.engines.clone(),
        workers: options.destinations.workers,
    };
    let summary = Summary::from(&run.run()?);
    report(&summary, options)?;
    let faults = summary.faults();
    for fault in &faults {
        eprintln!("fault: {fault}");
    }
    if !faults.is_empty() {
        return Ok(ExitCode::from(FAULT));
    }
    if !summary.is_as_planned() {
        eprintln!("the load was not sent as planned; its figures are not valid");
        return Ok(ExitCode::from(NOT_AS_PLANNED));
    }
    Ok(ExitCode::SUCCESS)
}

fn report(summary: &Summary, options: &Run) -> Result<(), Report<Error>> {
    if let Some(path) = &options.plot {
        let curves = [
            Curve::offered(&summary.curve),
            Curve::good("good", &summary.curve),
        ];
        plot::draw(path, "goodput by arrival", &curves)?;
    }
    match &options.json {
        Some(path) if path.as_os_str() == "-" => {
            println!("{}", to_json(summary)?);
            return Ok(());
        }
        Some(path) => write(path, &to_json(summary)?)?,
        None => {}
    }
    println!("{summary}");
    Ok(())
}

/// Reads and checks a plan and applies the overrides of the command line.
pub(crate) fn read_plan(source: &PlanSource) -> Result<Plan, Report<Error>> {
    let yaml = read(&source.plan)?;
    let swings: Result<Vec<_>, _> = source.swings.iter().map(|path| read(path)).collect();
    let plan = Plan::parse_with(&yaml, &swings?).map_err(|findings| {
        let list = findings.current_context().to_string();
        Report::new(Error::Usage(format!("{}:\n{list}", source.plan.display())))
    })?;
    let mut plan = plan.with_rate_factor(source.rate);
    plan.seed = source.seed.unwrap_or(plan.seed);
    plan.duration = source.duration.unwrap_or(plan.duration);
    Ok(plan)
}

/// Reads a file as text.
pub(crate) fn read(path: &Path) -> Result<String, Report<Error>> {
    fs::read_to_string(path).change_context_lazy(|| Error::File(path.display().to_string()))
}

/// Serialises a result as JSON.
pub(crate) fn to_json(value: &impl serde::Serialize) -> Result<String, Report<Error>> {
    serde_json::to_string_pretty(value).change_context(Error::File("JSON".to_owned()))
}

/// Writes text to a file.
pub(crate) fn write(path: &Path, text: &str) -> Result<(), Report<Error>> {
    fs::write(path, text).change_context_lazy(|| Error::File(path.display().to_string()))
}
