//! Runs a short soak on fixed seeds and on every seed that has failed before.

use std::path::Path;
use std::time::Duration;

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

#[actix_rt::test]
async fn listed_seeds_have_no_findings() {
    let directory = tempfile::tempdir().expect("a scratch folder can be made");
    let beside = Path::new(env!("CARGO_BIN_EXE_tarragon-soak"));
    let paths = Paths {
        program: run::gateway_program(beside).expect("the gateway is built"),
        directory: directory.path().to_owned(),
    };
    let seeds = SEEDS.lines().filter(|line| !line.starts_with('#'));
    for line in seeds {
        let seed = line.split_whitespace().next().expect("a seed");
        let seed = seed.parse().expect("a number");
        let result = run::run(&Plan::generate(seed, DURATION), &paths).await;
        let result = result.expect("the run can be carried out");
        assert!(
            result.findings.is_empty(),
            "seed {seed}: {:?}",
            result.findings
        );
    }
}
