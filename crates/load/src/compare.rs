//! Runs a comparison: applies each variant and runs its segment.

use std::fmt;
use std::process::ExitCode;
use std::thread;

use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::admin::Admin;
use crate::args::Compare;
use crate::command::{FAULT, NOT_AS_PLANNED, read, read_plan, to_json, write};
use crate::error::Error;
use crate::experiment::{self, Experiment, Score, Segment, Spread, Variant};
use crate::plan::Plan;
use crate::plot::{self, Curve};
use crate::run;
use crate::summary::{CurvePoint, Summary};
use crate::worker;

/// The result of a comparison.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Comparison {
    /// Scores by variant.
    pub scores: Vec<Score>,
    /// Segments in the order in which they ran.
    pub segments: Vec<Segment>,
}

/// Runs a comparison and reports its result.
///
/// # Errors
/// A file cannot be read, an edit was refused, or a worker panicked.
pub fn run(options: &Compare) -> Result<ExitCode, Report<Error>> {
    let plan = read_plan(&options.source)?;
    let experiment = read_experiment(options)?;
    let mut segments = Vec::new();
    for round in 0..experiment.rounds {
        for index in experiment.order(round) {
            let variant = &experiment.variants[index];
            apply_variant(options, variant)?;
            thread::sleep(experiment.settle);
            let segment = run_segment(options, &plan, variant, round)?;
            eprintln!(
                "round {round} {:<16} goodput {:.4}, role changes {}",
                segment.variant, segment.summary.all.goodput, segment.summary.engines.role_changes
            );
            segments.push(segment);
        }
    }
    let comparison = Comparison {
        scores: experiment::scores(&experiment, &segments),
        segments,
    };
    report(options, &comparison)
}

fn read_experiment(options: &Compare) -> Result<Experiment, Report<Error>> {
    let path = &options.variants;
    Experiment::parse(&read(path)?).map_err(|findings| {
        let list = findings.current_context().to_string();
        Report::new(Error::Usage(format!("{}:\n{list}", path.display())))
    })
}

fn apply_variant(options: &Compare, variant: &Variant) -> Result<(), Report<Error>> {
    if variant.pools.is_empty() {
        return Ok(());
    }
    let Some(url) = options.admin.clone() else {
        let detail = format!(
            "variant `{}` edits pools, so --admin is needed",
            variant.name
        );
        return Err(Report::new(Error::Usage(detail)));
    };
    let admin = Admin {
        url,
        token: options.token.clone(),
    };
    actix_rt::System::new().block_on(async {
        let client = worker::client();
        for (pool, fields) in &variant.pools {
            admin.set_pool(&client, pool, fields).await?;
        }
        Ok(())
    })
}

/// Runs one segment. Its seed depends on the round alone, so that all variants of a round get the
/// same arrivals.
fn run_segment(
    options: &Compare,
    plan: &Plan,
    variant: &Variant,
    round: usize,
) -> Result<Segment, Report<Error>> {
    let seed = plan.seed.wrapping_add(round as u64);
    let targets = if variant.targets.is_empty() {
        &options.place.targets
    } else {
        &variant.targets
    };
    let run = run::Run {
        plan: plan.clone().with_seed(seed),
        targets: targets.clone(),
        services: options.place.services.clone(),
        engines: options.place.engines.clone(),
        workers: options.place.workers,
    };
    Ok(Segment {
        variant: variant.name.clone(),
        round,
        summary: Summary::from(&run.run()?),
    })
}

fn report(options: &Compare, comparison: &Comparison) -> Result<ExitCode, Report<Error>> {
    if let Some(path) = &options.json {
        write(path, &to_json(comparison)?)?;
    }
    if let Some(path) = &options.plot {
        let curves: Vec<_> = comparison.curves();
        plot::draw(path, "goodput by arrival, summed over the rounds", &curves)?;
    }
    println!("{comparison}");
    let scores = &comparison.scores;
    if scores.iter().any(|score| !score.faults.is_empty()) {
        return Ok(ExitCode::from(FAULT));
    }
    if !scores.iter().all(|score| score.as_planned) {
        return Ok(ExitCode::from(NOT_AS_PLANNED));
    }
    Ok(ExitCode::SUCCESS)
}

impl Comparison {
    fn curves(&self) -> Vec<Curve> {
        let mut curves = Vec::new();
        for score in &self.scores {
            let sum = self.summed_curve(&score.variant);
            if curves.is_empty() {
                curves.push(Curve::offered(&sum));
            }
            curves.push(Curve::good(&score.variant, &sum));
        }
        curves
    }

    /// The goodput curve of a variant, summed over the rounds.
    fn summed_curve(&self, variant: &str) -> Vec<CurvePoint> {
        let mut sum: Vec<CurvePoint> = Vec::new();
        let own = self
            .segments
            .iter()
            .filter(|segment| segment.variant == variant);
        for segment in own {
            for (index, point) in segment.summary.curve.iter().enumerate() {
                match sum.get_mut(index) {
                    Some(total) => {
                        total.offered += point.offered;
                        total.good += point.good;
                    }
                    None => sum.push(*point),
                }
            }
        }
        sum
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>30} {:>30} {:>24} {:>18}  faults",
            "variant",
            "goodput mean±sd [min, max]",
            "ratio to first",
            "role changes",
            "spread of open"
        )?;
        for score in &self.scores {
            let planned = if score.as_planned {
                ""
            } else {
                " NOT SENT AS PLANNED"
            };
            writeln!(
                f,
                "{:<16} {:>30} {:>30} {:>24} {:>18}  {}{planned}",
                score.variant,
                format_spread(&score.goodput, 4),
                format_spread(&score.ratio, 3),
                format_spread(&score.role_changes, 1),
                format!(
                    "{:.2}±{:.2}",
                    score.spread_open.mean, score.spread_open.deviation
                ),
                score.faults.join(", "),
            )?;
        }
        for score in &self.scores {
            write!(f, "{:<16}", score.variant)?;
            for (class, goodput) in &score.classes {
                write!(f, " {class} {:.4}±{:.4}", goodput.mean, goodput.deviation)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

fn format_spread(figure: &Spread, digits: usize) -> String {
    format!(
        "{:.digits$}±{:.digits$} [{:.digits$}, {:.digits$}]",
        figure.mean, figure.deviation, figure.least, figure.most
    )
}
