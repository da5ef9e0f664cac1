//! Renders the report as text, JSON and HTML.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::BTreeMap;

use report::{Counters, Objective, Outcome, Report};

const NOW: u64 = 1_796_040_000;

fn sample() -> Report {
    let mut counters = Counters::new();
    for n in 0..1000 {
        let outcome = if n % 10 == 0 {
            Outcome::Late
        } else {
            Outcome::Good
        };
        counters.record(NOW - n, "a<b>&\"c\"", outcome);
    }
    let mut objectives = BTreeMap::new();
    for name in ["a<b>&\"c\"", "quiet"] {
        objectives.insert(name.to_owned(), Objective::try_from(0.99).unwrap());
    }
    let mut report = Report::new(NOW, &counters, &objectives);
    report.sources = 5;
    report.missing = vec!["entry-6".to_owned()];
    report
}

#[test]
fn the_table_fits_the_longest_name() {
    let text = sample().text();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines[0],
        "entry     objective     total       bad  refused     late   failed  unknown   left %    5m    1h   30m    6h  alarm"
    );
    assert_eq!(
        lines[1],
        "a<b>&\"c\"     0.9900      1000       100        0      100        0        0   -900.0  10.4  10.0  10.0  10.0  SLOW"
    );
    assert!(lines[2].starts_with("quiet  "));
    assert_eq!(lines[3], "merged from 5 processes");
    assert_eq!(lines[4], "missing: entry-6");
}

#[test]
fn json_round_trips() {
    let report = sample();
    let json = report.json().unwrap();
    assert_eq!(serde_json::from_str::<Report>(&json).unwrap(), report);
}

#[test]
fn the_page_is_self_contained_and_escapes_names() {
    let page = sample().html();
    assert!(page.starts_with("<!doctype html>"));
    assert_eq!(page.matches("<svg").count(), 1);
    assert_eq!(page.matches("<polyline").count() % 2, 1, "one burn curve");
    assert!(!page.contains("a<b>"));
    for outside in ["<script", "src=", "href="] {
        assert!(!page.contains(outside), "{outside}");
    }
}

#[test]
fn an_empty_report_renders() {
    let report = Report::new(NOW, &Counters::new(), &BTreeMap::new());
    assert!(report.html().contains("<svg"));
    assert_eq!(report.text().lines().count(), 2);
}
