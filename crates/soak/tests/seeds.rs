//! Runs a short soak on fixed seeds and on every seed that has failed before.

use std::path::Path;
use std::time::Duration;

use soak::check::Finding;
use soak::plan::Plan;
use soak::run::{self, Paths};

/// Fixed seeds, and seeds that have failed with their cause.
const SEEDS: &str = include_str!("seeds.txt");
/// Time for which callers send in each run.
const DURATION: Duration = Duration::from_secs(6);

#[test]
fn a_seed_gives_the_same_plan_each_time() {
    let plan = Plan::generate(5, DURATION);
    assert_eq!(plan, Plan::generate(5, DURATION));
    assert_ne!(plan.faults, Plan::generate(6, DURATION).faults);
}

/// Guards against refusing all calls of gateways without links to engines because an engine behind the only
/// other gateway loses answers, or because a part of prompts crashes engines.
#[actix_rt::test]
async fn isolated_gateway_is_served_while_an_engine_loses_answers() {
    for seed in [6037, 7147] {
        let plan = Plan::generate(seed, Duration::from_secs(12));
        assert_eq!(findings(&plan).await, [], "seed {seed}");
    }
}

#[actix_rt::test]
async fn listed_seeds_have_no_findings() {
    let seeds = SEEDS.lines().filter(|line| !line.starts_with('#'));
    for line in seeds {
        let seed = line.split_whitespace().next().expect("a seed");
        let seed = seed.parse().expect("a number");
        let findings = findings(&Plan::generate(seed, DURATION)).await;
        assert!(findings.is_empty(), "seed {seed}: {findings:?}");
    }
}

/// Runs a plan and returns its findings.
async fn findings(plan: &Plan) -> Vec<Finding> {
    let directory = tempfile::tempdir().expect("a scratch folder can be made");
    let beside = Path::new(env!("CARGO_BIN_EXE_tarragon-soak"));
    let paths = Paths {
        program: run::gateway_program(beside).expect("the gateway is built"),
        directory: directory.path().to_owned(),
    };
    let result = run::run(plan, &paths).await;
    result.expect("the run can be carried out").findings
}
