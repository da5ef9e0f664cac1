//! The example plans are valid with each of their swings, and so are the comparisons.

use std::fs;
use std::path::{Path, PathBuf};

use load::experiment::Experiment;
use load::plan::Plan;

fn user(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).expect("the example can be read")
}

#[test]
fn example_plans_are_valid_with_each_of_their_swings() {
    for name in ["lima", "brazos"] {
        let plan = read(&user(name).join("load.yaml"));
        let mut swings = 0;
        for file in fs::read_dir(user(name).join("swings")).unwrap() {
            let swing = read(&file.unwrap().path());
            let plan = Plan::parse_with(&plan, &[swing]).unwrap();
            assert!(plan.classes.iter().any(|class| !class.swings.is_empty()));
            swings += 1;
        }
        assert!(swings >= 4, "{name}");
    }
}

#[test]
fn example_comparisons_are_valid() {
    for name in [
        "lima/planners.yaml",
        "lima/choices.yaml",
        "brazos/planners.yaml",
    ] {
        let experiment = Experiment::parse(&read(&user(name))).unwrap();
        assert!(experiment.rounds >= 5, "{name}");
    }
}
