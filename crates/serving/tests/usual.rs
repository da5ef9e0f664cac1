//! How long callers have waited before they come.

mod common;

use std::time::Duration;

use common::ms;
use serving::usual::Usual;

#[test]
fn a_caller_that_waits_less_than_others_has_waited_before() {
    let mut usual = Usual::default();
    assert_eq!(usual.waited("r", ms(4_000), ms(0)), Duration::ZERO);
    assert_eq!(usual.waited("r", ms(2_700), ms(10)), ms(1_300));
    assert_eq!(usual.waited("other", ms(600), ms(10)), Duration::ZERO);
    assert_eq!(usual.waited("r", ms(4_000), ms(20)), Duration::ZERO);
}

/// Symptom: after a start all callers that come back count as new for good. Sequence: the first caller after an
/// outage has waited; new ones follow. Cause: the first time seen was kept.
#[test]
fn the_most_patient_caller_sets_what_is_usual() {
    let mut usual = Usual::default();
    usual.waited("r", ms(2_700), ms(0));
    usual.waited("r", ms(4_000), ms(10));
    assert_eq!(usual.waited("r", ms(2_700), ms(20)), ms(1_300));
}

#[test]
fn a_time_that_nobody_has_any_more_is_forgotten() {
    let mut usual = Usual::default();
    usual.waited("r", ms(8_000), ms(0));
    assert_eq!(usual.waited("r", ms(4_000), ms(59_000)), ms(4_000));
    assert_eq!(usual.waited("r", ms(4_000), ms(61_000)), Duration::ZERO);
    assert_eq!(usual.waited("r", ms(4_000), ms(62_000)), Duration::ZERO);
}
