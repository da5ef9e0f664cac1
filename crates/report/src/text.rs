//! Renders the report as a table for a terminal.

use std::fmt::Write;

use crate::report::{Line, Pair, Report, Speed};

/// Headers of the columns after the entry name.
const HEADER: &str = "  objective     total       bad  refused     late   failed  unknown   left %    5m    1h   30m    6h  alarm";

pub(crate) fn render(report: &Report) -> String {
    let names = report.lines.iter().map(|line| line.entry.chars().count());
    let width = names.max().unwrap_or(0).max("entry".len());
    let mut text = format!("{:width$}{HEADER}\n", "entry");
    for line in &report.lines {
        row(&mut text, line, width);
    }
    footer(&mut text, report);
    text
}

fn row(text: &mut String, line: &Line, width: usize) {
    let counts = &line.counts;
    // Writing to a String can't fail.
    let _never = write!(
        text,
        "{:width$}  {:9.4} {:9} {:9} {:8} {:8} {:8} {:8} {:8.1}",
        line.entry,
        line.objective,
        counts.total(),
        counts.bad(),
        counts.refused,
        counts.late,
        counts.failed,
        counts.unknown,
        line.left * 100.0,
    );
    for pair in &line.pairs {
        let _never = write!(text, " {:5.1} {:5.1}", pair.short.burn, pair.long.burn);
    }
    let alarms = alarms(line);
    let alarms = match alarms.is_empty() {
        true => "-".to_owned(),
        false => alarms.join(","),
    };
    let _never = writeln!(text, "  {alarms}");
}

fn footer(text: &mut String, report: &Report) {
    let _never = writeln!(text, "merged from {} processes", report.sources);
    if !report.missing.is_empty() {
        let _never = writeln!(text, "missing: {}", report.missing.join(", "));
    }
}

/// Labels of the alarms that are raised on a line.
pub(crate) fn alarms(line: &Line) -> Vec<&'static str> {
    let raised = line.pairs.iter().filter(|pair| pair.alarm);
    let label = |pair: &Pair| match pair.speed {
        Speed::Fast => "FAST",
        Speed::Slow => "SLOW",
    };
    raised.map(label).collect()
}
