//! Writes a sample report page to standard output, or with `size` the memory use of the counters.
//!
//! `cargo run --release -p report --example sample > burn.html`
//! `cargo run --release -p report --example sample size`

#![allow(clippy::print_stdout, reason = "a command-line program")]

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Instant;

use report::{Counters, Objective, Outcome, Report};
use wire::Message;

/// Time of the report: noon of an arbitrary day.
const NOW: u64 = 1_796_040_000;

/// Catalogue entries of the sample, with their bad outcomes per thousand during the incident.
const ENTRIES: [(&str, u64); 4] = [
    ("kiosk-authorise", 60),
    ("ticket-sort", 8),
    ("kiosk-screen", 3),
    ("overnight-summary", 0),
];

fn main() -> Result<(), Box<dyn Error>> {
    if std::env::args().nth(1).as_deref() == Some("size") {
        sizes();
        return Ok(());
    }
    print!("{}", sample()?.html());
    Ok(())
}

/// Six hours of outcomes, with an incident that began fifty minutes ago.
fn sample() -> Result<Report, Box<dyn Error>> {
    let mut counters = Counters::new();
    let mut objectives = BTreeMap::new();
    for (entry, peak) in ENTRIES {
        objectives.insert(entry.to_owned(), Objective::try_from(0.999)?);
        for minute in 0..360 {
            let bad = if minute < 50 { peak } else { minute % 3 / 2 };
            for n in 0..1000 {
                let outcome = if n < bad {
                    Outcome::Late
                } else {
                    Outcome::Good
                };
                counters.record(NOW - minute * 60, entry, outcome);
            }
        }
    }
    let mut report = Report::new(NOW, &counters, &objectives);
    report.sources = 6;
    Ok(report)
}

/// Prints memory and encoded size with every bucket of an entry in use, and the time per outcome.
fn sizes() {
    let mut counters = Counters::new();
    let days = 31;
    let minutes = days * 24 * 60;
    let start = Instant::now();
    for entry in 0..100 {
        let name = format!("owner-{entry:03}-entry");
        for minute in 0..minutes {
            counters.record(NOW + minute * 60, &name, Outcome::Good);
        }
    }
    let records = 100 * minutes;
    let nanos = start.elapsed().as_nanos() / u128::from(records);
    println!("bytes a catalogue entry, full: {}", counters.bytes() / 100);
    println!(
        "bytes on the wire a catalogue entry, full: {}",
        counters.burn().encoded_len() / 100
    );
    println!("nanoseconds a record: {nanos}");
}
