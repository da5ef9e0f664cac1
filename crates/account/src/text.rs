//! Formats a summary as text tables.

use crate::call::Outcome;
use crate::tally::{Account, ForecastTotals, OutcomeCounts};

/// Width of the first column, in characters.
const FIRST_COLUMN_WIDTH: usize = 24;
/// Width of the other columns, in characters.
const COLUMN_WIDTH: usize = 13;

/// Formats all tables of a summary.
pub fn tables(account: &Account) -> String {
    let mut text = header_row("route");
    for (route, counts) in &account.routes {
        text.push_str(&row(route, counts));
    }
    for (name, table) in [
        ("data centre", &account.data_centres),
        ("link, Mbit/s", &account.links),
    ] {
        text.push('\n');
        text.push_str(&header_row(name));
        for (key, counts) in table {
            text.push_str(&row(key, counts));
        }
    }
    text.push('\n');
    text.push_str(&header_row("second"));
    for (second, counts) in account.by_second() {
        text.push_str(&row(&second.to_string(), counts));
    }
    text.push('\n');
    text.push_str(&header_row("slowest tenth"));
    for (instance, counts) in account.slowest() {
        text.push_str(&row(instance, counts));
    }
    text.push('\n');
    text.push_str(&forecast_line(
        "prompts read for another engine",
        &account.prefill,
    ));
    text.push_str(&forecast_line("first events", &account.first_events));
    if account.dropped_lines > 0 {
        text.push_str(&format!(
            "{} lines were dropped; some calls may be untold\n",
            account.dropped_lines
        ));
    }
    text
}

fn header_row(first: &str) -> String {
    let mut text = format!("{first:FIRST_COLUMN_WIDTH$}{:>COLUMN_WIDTH$}", "calls");
    for outcome in Outcome::ALL {
        text.push_str(&format!("{:>COLUMN_WIDTH$}", outcome.column_name()));
    }
    text.push('\n');
    text
}

fn row(first: &str, counts: &OutcomeCounts) -> String {
    let mut text = format!(
        "{first:FIRST_COLUMN_WIDTH$}{:>COLUMN_WIDTH$}",
        counts.values().sum::<u32>()
    );
    for outcome in Outcome::ALL {
        let count = counts.get(&outcome).copied().unwrap_or_default();
        text.push_str(&format!("{count:>COLUMN_WIDTH$}"));
    }
    text.push('\n');
    text
}

fn forecast_line(label: &str, forecast: &ForecastTotals) -> String {
    let count = f64::from(forecast.count.max(1));
    format!(
        "{label}: {}, expected {:.0} ms, took {:.0} ms, off by {:.0} ms in the mean\n",
        forecast.count,
        forecast.expected_ms / count,
        forecast.actual_ms / count,
        forecast.error_ms / count
    )
}
