//! Checks that the real protocol has no counterexample within the bounds and that each mutant has
//! one. A property that also holds without its guard would not show that the guard works.

use spec::suite::{Case, cases};

fn verify(selected: impl Fn(&Case) -> bool) {
    let failures: Vec<String> = cases()
        .into_iter()
        .filter(selected)
        .filter_map(|case| case.verify(&(case.explore)()).err())
        .collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn lease_has_no_counterexample() {
    verify(|case| case.mutant.is_none() && case.name.starts_with("lease"));
}

#[test]
fn orders_have_no_counterexample() {
    verify(|case| case.mutant.is_none() && case.name.starts_with("order"));
}

#[test]
fn each_mutant_of_the_lease_has_a_counterexample() {
    verify(|case| case.mutant.is_some() && case.name.starts_with("lease"));
}

#[test]
fn each_mutant_of_the_orders_has_a_counterexample() {
    verify(|case| case.mutant.is_some() && case.name.starts_with("order"));
}

#[test]
fn calls_have_no_counterexample() {
    verify(|case| case.mutant.is_none() && case.name.starts_with("call"));
}

#[test]
fn each_mutant_of_the_calls_has_a_counterexample() {
    verify(|case| case.mutant.is_some() && case.name.starts_with("call"));
}

#[test]
fn edits_have_no_counterexample_and_their_mutants_have() {
    verify(|case| case.name.starts_with("edit"));
}
