//! A short soak, and every seed that ever failed.

use std::path::Path;
use std::time::Duration;

use soak::plan::Plan;
use soak::run::{self, Places};

/// Seeds that are run each time, and those that failed once with the cause beside them.
const SEEDS: &str = include_str!("seeds.txt");
/// Callers send for this long in each.
const LENGTH: Duration = Duration::from_secs(6);

#[test]
fn a_seed_gives_the_same_plan_each_time() {
    let plan = Plan::draw(5, LENGTH);
    assert_eq!(plan, Plan::draw(5, LENGTH));
    assert_ne!(plan.faults, Plan::draw(6, LENGTH).faults);
}

#[actix_rt::test]
async fn no_promise_is_broken() {
    let directory = tempfile::tempdir().expect("a scratch folder can be made");
    let beside = Path::new(env!("CARGO_BIN_EXE_tarragon-soak"));
    let places = Places {
        program: run::program(beside).expect("the gateway is built"),
        directory: directory.path().to_owned(),
    };
    let seeds = SEEDS.lines().filter(|line| !line.starts_with('#'));
    for line in seeds {
        let seed = line.split_whitespace().next().expect("a seed");
        let seed = seed.parse().expect("a number");
        let outcome = run::run(&Plan::draw(seed, LENGTH), &places).await;
        let outcome = outcome.expect("the run can be carried out");
        assert!(
            outcome.findings.is_empty(),
            "seed {seed}: {:?}",
            outcome.findings
        );
    }
}
