//! Burn rates, alarms, error budgets and the merging of counters.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use report::{Counters, InvalidObjective, Line, Objective, Outcome, Report, Speed};
use wire::record::Author;

/// Time of the report: noon of an arbitrary day.
const NOW: u64 = 1_796_040_000;

const OUTCOMES: [Outcome; 5] = [
    Outcome::Good,
    Outcome::Refused,
    Outcome::Late,
    Outcome::Failed,
    Outcome::Unknown,
];

fn objectives(share: f64) -> BTreeMap<String, Objective> {
    let objective = Objective::try_from(share).unwrap();
    BTreeMap::from([("kiosk".to_owned(), objective)])
}

fn line(counters: &Counters, share: f64) -> Line {
    let mut report = Report::new(NOW, counters, &objectives(share));
    report.lines.remove(0)
}

/// Counters with a thousand outcomes in each of the last `minutes`, of which `bad` failed.
fn counters_with_failures(minutes: u64, bad: u64) -> Counters {
    let mut counters = Counters::new();
    for minute in 0..minutes {
        for n in 0..1000 {
            let outcome = if n < bad {
                Outcome::Failed
            } else {
                Outcome::Good
            };
            counters.record(NOW - minute * 60, "kiosk", outcome);
        }
    }
    counters
}

fn alarms(line: &Line) -> Vec<Speed> {
    let alarms = line.pairs.iter().filter(|pair| pair.alarm);
    alarms.map(|pair| pair.speed).collect()
}

#[test]
fn burn_is_the_share_of_bad_over_the_budget() {
    let line = line(&counters_with_failures(60, 5), 0.999);
    for window in line.pairs.iter().flat_map(|pair| [pair.short, pair.long]) {
        assert!((window.burn - 5.0).abs() < 1e-9, "{window:?}");
    }
    assert_eq!(line.pairs[0].short.counts.total(), 5000);
    assert_eq!(line.pairs[0].long.counts.total(), 60_000);
    assert!(alarms(&line).is_empty());
}

#[test]
fn fast_alarm_is_raised_within_an_hour_and_clears_after_recovery() {
    let line = line(&counters_with_failures(60, 15), 0.999);
    assert_eq!(alarms(&line), [Speed::Fast, Speed::Slow]);
    // Six minutes without failures clear the fast alarm, although the hour still exceeds it.
    let mut recovered = counters_with_failures(60, 0);
    let failing = counters_with_failures(60, 30);
    recovered.merge(&failing.burn());
    let mut later = Report::new(NOW + 360, &recovered, &objectives(0.999));
    let later = later.lines.remove(0);
    assert!(later.pairs[0].long.burn >= 14.4);
    assert_eq!(later.pairs[0].short.counts.total(), 0);
    assert!(!alarms(&later).contains(&Speed::Fast));
}

#[test]
fn a_short_burst_raises_no_alarm() {
    let mut counters = counters_with_failures(360, 0);
    counters.merge(&counters_with_failures(2, 100).burn());
    let line = line(&counters, 0.999);
    assert!(line.pairs[0].short.burn > 14.4);
    assert!(alarms(&line).is_empty());
}

// Guards against a missing alarm for an entry with an objective of 0.9 whose requests all fail for
// hours: its burn rate can't exceed 10, which a common threshold of 14.4 would never detect.
#[test]
fn a_low_objective_can_raise_both_alarms() {
    let line = line(&counters_with_failures(360, 1000), 0.9);
    assert_eq!(alarms(&line), [Speed::Fast, Speed::Slow]);
}

#[test]
fn a_single_failure_on_an_idle_entry_raises_no_alarm() {
    let mut counters = Counters::new();
    counters.record(NOW, "kiosk", Outcome::Failed);
    let line = line(&counters, 0.999);
    assert!(line.pairs[0].long.burn > 100.0);
    assert!(alarms(&line).is_empty());
}

// Guards against a spurious peak at the end of the plot: a ten-minute bucket has just begun and its
// first request fails, so the incomplete bucket must not be drawn beside complete ones.
#[test]
fn the_plot_leaves_out_the_incomplete_bucket() {
    let mut counters = Counters::new();
    counters.record(NOW, "kiosk", Outcome::Failed);
    assert_eq!(line(&counters, 0.9).points.len(), 1);
    counters.record(NOW - 600, "kiosk", Outcome::Good);
    let points = line(&counters, 0.9).points;
    assert_eq!(points.len(), 1);
    assert_eq!(points[0].start, NOW - 600);
}

#[test]
fn the_budget_is_counted_over_thirty_days() {
    let mut counters = Counters::new();
    for day in 0..40 {
        for n in 0..1000 {
            let outcome = if n == 0 { Outcome::Late } else { Outcome::Good };
            counters.record(NOW - (39 - day) * 86_400, "kiosk", outcome);
        }
    }
    let line = line(&counters, 0.998);
    assert_eq!(line.counts.total(), 30_000);
    assert!((line.left - 0.5).abs() < 1e-9);
}

#[test]
fn entries_are_ordered_worst_first_and_idle_ones_keep_their_budget() {
    let mut counters = counters_with_failures(60, 15);
    counters.record(NOW, "slow", Outcome::Late);
    let mut objectives = objectives(0.999);
    for name in ["quiet", "slow"] {
        objectives.insert(name.to_owned(), Objective::try_from(0.9).unwrap());
    }
    let report = Report::new(NOW, &counters, &objectives);
    let order: Vec<_> = report
        .lines
        .iter()
        .map(|line| line.entry.as_str())
        .collect();
    assert_eq!(order, ["kiosk", "slow", "quiet"]);
    assert!((report.lines[2].left - 1.0).abs() < f64::EPSILON);
}

// Guards against a doubled burn when an entry instance is replaced: it hands its counters over,
// the acknowledgement is lost, and it sends them again.
#[test]
fn counters_of_a_process_are_merged_once() {
    let burn = counters_with_failures(1, 10).burn();
    let author = |incarnation| Author {
        instance: "entry-1".to_owned(),
        incarnation,
    };
    let mut receiver = Counters::new();
    assert!(receiver.merge_once(&author(1), &burn));
    assert!(!receiver.merge_once(&author(1), &burn));
    assert!(receiver.merge_once(&author(2), &burn));
    assert_eq!(line(&receiver, 0.999).counts.total(), 2000);
}

#[test]
fn memory_is_bounded_for_each_entry() {
    let mut counters = Counters::new();
    for minute in 0..60 * 24 * 60 {
        counters.record(NOW + minute * 60, "kiosk", Outcome::Good);
    }
    assert!(counters.bytes() < 8192, "{}", counters.bytes());
    counters.retain(|entry| entry != "kiosk");
    assert_eq!(counters.bytes(), 0);
}

#[test]
fn earlier_times_are_counted_and_unknown_bucket_widths_ignored() {
    let mut counters = counters_with_failures(10, 0);
    counters.record(NOW - 120, "kiosk", Outcome::Good);
    let mut burn = counters.burn();
    for bucket in &mut burn.buckets {
        bucket.width = 7;
    }
    counters.merge(&burn);
    assert_eq!(line(&counters, 0.9).counts.total(), 10_001);
}

#[test]
fn objectives_without_a_budget_are_rejected() {
    for share in [0.0, 1.0, -1.0, f64::NAN] {
        assert_matches!(Objective::try_from(share), Err(InvalidObjective(_)));
    }
}

/// Fixed seed, so that every run generates the same cases.
const SEED: u64 = 1;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // However outcomes are split among processes, merging yields the same counters, in any order.
    #[test]
    fn merging_is_independent_of_the_split(
        outcomes in prop::collection::vec((0_u64..100_000, 0_usize..5, 0_usize..3), 0..200)
    ) {
        let mut whole = Counters::new();
        let mut parts = [Counters::new(), Counters::new(), Counters::new()];
        for (age, outcome, part) in outcomes {
            let outcome = OUTCOMES[outcome];
            whole.record(NOW - age, "kiosk", outcome);
            parts[part].record(NOW - age, "kiosk", outcome);
        }
        let mut merged = Counters::new();
        for part in parts.iter().rev() {
            merged.merge(&part.burn());
        }
        prop_assert_eq!(merged.burn(), whole.burn());
        prop_assert_eq!(Counters::from(&whole.burn()).burn(), whole.burn());
    }
}
