//! Sums up from the logs of several instances what became of each organisation's calls, and which
//! services were contended. See `docs/design/shares.md`.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serving::place::Refusal;

use crate::explain::{field, parse_line};

/// What became of an organisation's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls whose end is logged with the organisation.
    pub tries: u64,
    /// Those with a complete response of an engine.
    pub served: u64,
    /// Served streams that began within their latency target, and all served plain calls: their log
    /// lines have no target.
    pub on_time: u64,
    /// Refused calls, for whatever reason.
    pub refused: u64,
    /// Those refused because the organisation was over its share.
    pub over_share: u64,
}

/// Contention of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contention {
    /// Lines of placers that report it.
    pub lines: u64,
    /// Time and text of the last of them.
    pub last: (String, String),
}

/// Summary of the logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// By name of the organisation.
    pub organisations: BTreeMap<String, Count>,
    /// By name of the service.
    pub services: BTreeMap<String, Contention>,
}

/// Reads log files.
///
/// # Errors
///
/// If a file cannot be read.
pub fn read(files: &[PathBuf]) -> io::Result<Report> {
    let mut report = Report::default();
    for file in files {
        for text in fs::read_to_string(file)?.lines() {
            report.add(file, text);
        }
    }
    Ok(report)
}

impl Report {
    fn add(&mut self, file: &Path, text: &str) {
        let line = parse_line(file, text);
        let text = line.text.as_str();
        let message = text.split(' ').next().unwrap_or_default();
        if message == "shares" {
            let Some(service) = field(text, "service") else {
                return;
            };
            let known = self.services.entry(service.to_owned()).or_default();
            known.lines += 1;
            known.last = (line.time, line.text).max(std::mem::take(&mut known.last));
            return;
        }
        // "answered at once" is the gateway's own response, and names no organisation.
        let organisation = field(text, "organisation").filter(|name| !name.is_empty());
        let Some(organisation) = organisation else {
            return;
        };
        if !matches!(message, "streamed" | "answered" | "refused") {
            return;
        }
        let count = self
            .organisations
            .entry(organisation.to_owned())
            .or_default();
        count.tries += 1;
        match message {
            "streamed" => {
                count.served += 1;
                count.on_time += u64::from(number(text, "first_ms") <= number(text, "target_ms"));
            }
            "answered" => {
                let is_served = (200..400).contains(&number(text, "status"));
                count.served += u64::from(is_served);
                count.on_time += u64::from(is_served);
            }
            _ => {
                count.refused += 1;
                let is_over_share = text.ends_with(Refusal::OverShare.message());
                count.over_share += u64::from(is_over_share);
            }
        }
    }

    /// Formats the report as text, organisations with the most refusals over their share first.
    pub fn text(&self) -> String {
        let mut organisations: Vec<_> = self.organisations.iter().collect();
        organisations.sort_by_key(|(_, count)| std::cmp::Reverse((count.over_share, count.tries)));
        let mut text = String::new();
        if organisations.is_empty() {
            text.push_str("no line names an organisation\n");
        }
        for (name, count) in organisations {
            text.push_str(&format!(
                "{name} tries={} served={} on_time={} refused={} over_share={}\n",
                count.tries, count.served, count.on_time, count.refused, count.over_share
            ));
        }
        for (service, contention) in &self.services {
            let (time, last) = &contention.last;
            let lines = contention.lines;
            text.push_str(&format!(
                "contended {service} lines={lines}, last {time} {last}\n"
            ));
        }
        text
    }
}

/// A number in a line, or 0.
fn number(text: &str, name: &str) -> u64 {
    let value = field(text, name).and_then(|value| value.parse().ok());
    value.unwrap_or_default()
}
