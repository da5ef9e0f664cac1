//! Typed reading of single settings. A failure becomes a finding and reading continues with a
//! placeholder value, so that all findings are reported together.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::finding::{Finding, Origin, Problem};
use crate::source::{GivenValue, Source};
use crate::{duration, size, table};

/// Reads settings by key from a [`Source`].
#[derive(Debug)]
pub struct Reader {
    source: Source,
}

impl Reader {
    /// Creates a reader over the given values.
    pub fn new(source: Source) -> Self {
        Self { source }
    }

    /// Returns the findings in the order of their origins.
    pub fn finish(self) -> Vec<Finding> {
        let mut findings = self.source.findings;
        findings.sort_by(|a, b| a.origin.cmp(&b.origin));
        findings
    }

    /// Reads a text that must not be empty.
    pub fn text(&mut self, key: &'static str) -> String {
        self.required(key, "a text that is not empty", |text| {
            (!text.is_empty()).then(|| text.to_owned())
        })
        .unwrap_or_default()
    }

    /// Reads an optional text.
    pub fn optional_text(&mut self, key: &'static str) -> Option<String> {
        self.optional(key, "a text that is not empty", |text| {
            (!text.is_empty()).then(|| text.to_owned())
        })
    }

    /// Reads an address such as `127.0.0.1:8080`.
    pub fn address(&mut self, key: &'static str) -> SocketAddr {
        self.required(key, EXPECTED_ADDRESS, |text| {
            SocketAddr::from_str(text).ok()
        })
        .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Reads an optional address.
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.optional(key, EXPECTED_ADDRESS, |text| {
            SocketAddr::from_str(text).ok()
        })
    }

    /// Reads a duration with its unit.
    pub fn duration(&mut self, key: &'static str) -> Duration {
        self.required(
            key,
            "a duration with its unit, for example 250ms or 3s",
            duration::parse,
        )
        .unwrap_or_default()
    }

    /// Reads a size in bytes.
    pub fn size(&mut self, key: &'static str) -> usize {
        self.required(
            key,
            "a size in bytes, for example 64KiB or 8MiB",
            size::parse,
        )
        .unwrap_or_default()
    }

    /// Reads an integer of at least 1.
    pub fn count(&mut self, key: &'static str) -> usize {
        self.required(key, "a whole number of at least 1", |text| {
            text.parse().ok().filter(|count| *count > 0)
        })
        .unwrap_or(1)
    }

    /// Reads a log level.
    pub fn level(&mut self, key: &'static str) -> String {
        self.required(key, "one of off, error, warn, info, debug, trace", |text| {
            LOG_LEVELS.contains(&text).then(|| text.to_owned())
        })
        .unwrap_or_default()
    }

    /// Returns all values of a section whose keys are defined by another crate.
    pub fn section(&mut self, section: &str) -> Vec<(String, GivenValue)> {
        let prefix = format!("{section}.");
        self.source
            .values
            .iter()
            .filter_map(|(key, given)| Some((key.strip_prefix(&prefix)?.to_owned(), given.clone())))
            .collect()
    }

    /// Reports that settings contradict each other, at the origin of `key`.
    pub fn report_contradiction(&mut self, key: &'static str, message: &str) {
        let origin = self.origin(key);
        self.report(origin, key, Problem::Contradiction(message.to_owned()));
    }

    fn origin(&self, key: &str) -> Origin {
        self.source
            .values
            .get(key)
            .map_or(Origin::NotGiven, |given| given.origin.clone())
    }

    fn report(&mut self, origin: Origin, key: &str, problem: Problem) {
        self.source.findings.push(Finding {
            origin,
            key: key.to_owned(),
            problem,
        });
    }

    fn required<T>(
        &mut self,
        key: &'static str,
        expected: &'static str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.optional(key, expected, read);
        if value.is_none() && !self.source.values.contains_key(key) {
            self.report(Origin::NotGiven, key, Problem::Missing);
        }
        value
    }

    fn optional<T>(
        &mut self,
        key: &'static str,
        expected: &'static str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let row = table::row(key);
        let Some(given) = self.source.values.get(key).cloned() else {
            return row.and_then(|row| row.default).and_then(read);
        };
        let value = read(given.text.trim());
        if value.is_none() {
            let secret = row.is_some_and(|row| row.environment.is_some());
            let given_text = if secret {
                "(secret)".to_owned()
            } else {
                given.text
            };
            self.report(
                given.origin,
                key,
                Problem::Invalid {
                    given: given_text,
                    expected,
                },
            );
        }
        value
    }
}

const EXPECTED_ADDRESS: &str = "an address, for example 127.0.0.1:8080";
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
