//! The real protocol has no counterexample within the bounds, and each mutant has one: a property
//! that held without its guard would prove nothing.

use spec::suite::{Case, cases};

fn judge(chosen: impl Fn(&Case) -> bool) {
    let wrong: Vec<String> = cases()
        .into_iter()
        .filter(chosen)
        .filter_map(|case| case.judge(&(case.explore)()).err())
        .collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn lease_has_no_counterexample() {
    judge(|case| case.mutant.is_none() && case.name.starts_with("lease"));
}

#[test]
fn orders_have_no_counterexample() {
    judge(|case| case.mutant.is_none() && case.name.starts_with("order"));
}

#[test]
fn each_mutant_of_the_lease_has_a_counterexample() {
    judge(|case| case.mutant.is_some() && case.name.starts_with("lease"));
}

#[test]
fn each_mutant_of_the_orders_has_a_counterexample() {
    judge(|case| case.mutant.is_some() && case.name.starts_with("order"));
}

#[test]
fn calls_have_no_counterexample() {
    judge(|case| case.mutant.is_none() && case.name.starts_with("call"));
}

#[test]
fn each_mutant_of_the_calls_has_a_counterexample() {
    judge(|case| case.mutant.is_some() && case.name.starts_with("call"));
}

#[test]
fn edits_have_no_counterexample_and_their_mutants_have() {
    judge(|case| case.name.starts_with("edit"));
}
