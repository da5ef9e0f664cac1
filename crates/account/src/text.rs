//! An account as a table for people.

use crate::call::End;
use crate::tally::{Account, Ends, Forecast};

/// Width of the first column.
const FIRST: usize = 24;
/// Width of the others.
const OTHER: usize = 13;

/// The account's tables.
pub fn tables(account: &Account) -> String {
    let mut text = head("route");
    for (route, ends) in &account.routes {
        text.push_str(&row(route, ends));
    }
    for (name, table) in [
        ("data centre", &account.places),
        ("link, Mbit/s", &account.links),
    ] {
        text.push('\n');
        text.push_str(&head(name));
        for (key, ends) in table {
            text.push_str(&row(key, ends));
        }
    }
    text.push('\n');
    text.push_str(&head("second"));
    for (second, ends) in account.by_second() {
        text.push_str(&row(&second.to_string(), ends));
    }
    text.push('\n');
    text.push_str(&head("slowest tenth"));
    for (instance, ends) in account.slowest() {
        text.push_str(&row(instance, ends));
    }
    text.push('\n');
    text.push_str(&forecast("prompts read for another engine", &account.reads));
    text.push_str(&forecast("first events", &account.begins));
    if account.dropped > 0 {
        text.push_str(&format!(
            "{} lines were dropped; some calls may be untold\n",
            account.dropped
        ));
    }
    text
}

fn head(first: &str) -> String {
    let mut text = format!("{first:FIRST$}{:>OTHER$}", "calls");
    for end in End::ALL {
        text.push_str(&format!("{:>OTHER$}", end.name()));
    }
    text.push('\n');
    text
}

fn row(first: &str, ends: &Ends) -> String {
    let mut text = format!("{first:FIRST$}{:>OTHER$}", ends.values().sum::<u32>());
    for end in End::ALL {
        let count = ends.get(&end).copied().unwrap_or_default();
        text.push_str(&format!("{count:>OTHER$}"));
    }
    text.push('\n');
    text
}

fn forecast(what: &str, forecast: &Forecast) -> String {
    let count = f64::from(forecast.count.max(1));
    format!(
        "{what}: {}, expected {:.0} ms, took {:.0} ms, off by {:.0} ms in the mean\n",
        forecast.count,
        forecast.expected / count,
        forecast.took / count,
        forecast.off / count
    )
}
