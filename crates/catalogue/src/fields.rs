//! Parses the JSON object of an entity field by field, so that one pass reports all findings. A
//! derived deserializer would stop at the first.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::finding::nearest;
use crate::{Finding, Findings, Kind, RawEntity};

/// An object that is being parsed. Fields that were not read are reported as unknown at the end.
pub(crate) struct Fields<'r> {
    kind: Kind,
    name: &'r str,
    /// Path of this object with a trailing dot; empty for the top level.
    path: String,
    remaining: Map<String, Value>,
    known: Vec<&'static str>,
    findings: Findings,
}

impl<'r> Fields<'r> {
    /// Starts parsing an entity; fails if its JSON is not an object.
    pub(crate) fn open(raw: &RawEntity<'r>) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        if let Some(problem) = name_problem(raw.name) {
            findings.add(raw.kind, raw.name, "", problem);
        }
        match serde_json::from_str::<Value>(raw.json) {
            Ok(Value::Object(remaining)) => Ok(Self {
                kind: raw.kind,
                name: raw.name,
                path: String::new(),
                remaining,
                known: Vec::new(),
                findings,
            }),
            Ok(_) => {
                findings.add(raw.kind, raw.name, "", "must be an object");
                Err(findings)
            }
            Err(error) => {
                findings.add(raw.kind, raw.name, "", format!("is no JSON: {error}"));
                Err(findings)
            }
        }
    }

    /// Returns the entity, or all findings if there are any.
    pub(crate) fn finish<T>(mut self, entity: T) -> Result<T, Findings> {
        self.report_unknown();
        if self.findings.is_empty() {
            Ok(entity)
        } else {
            Err(self.findings)
        }
    }

    /// Adds a finding for a field of this object.
    pub(crate) fn report(&mut self, field: &str, problem: impl Into<String>) {
        let path = format!("{}{field}", self.path);
        self.findings.add(self.kind, self.name, &path, problem);
    }

    /// Whether the object has a field that was not read yet; used for mutually exclusive fields.
    pub(crate) fn has(&self, field: &str) -> bool {
        self.remaining.contains_key(field)
    }

    /// Reads an optional field; `null` counts as missing.
    pub(crate) fn optional<T: DeserializeOwned>(&mut self, field: &'static str) -> Option<T> {
        self.known.push(field);
        let value = self
            .remaining
            .remove(field)
            .filter(|value| !value.is_null())?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(field, error.to_string());
                None
            }
        }
    }

    /// Reads a required field.
    pub(crate) fn required<T: DeserializeOwned>(&mut self, field: &'static str) -> Option<T> {
        if self.require(field) {
            self.optional(field)
        } else {
            None
        }
    }

    /// Reads a finite number above zero.
    pub(crate) fn positive(&mut self, field: &'static str) -> Option<f64> {
        let number: f64 = self.optional(field)?;
        if number.is_finite() && number > 0.0 {
            return Some(number);
        }
        self.report(field, "must be above 0");
        None
    }

    /// Reads an integer above zero.
    pub(crate) fn positive_integer(&mut self, field: &'static str) -> Option<u32> {
        let number: u32 = self.optional(field)?;
        if number == 0 {
            self.report(field, "must be above 0");
            return None;
        }
        Some(number)
    }

    /// Reads a duration above zero, such as `250ms` or `2m`.
    pub(crate) fn duration(&mut self, field: &'static str) -> Option<Duration> {
        let text: String = self.optional(field)?;
        match humantime::parse_duration(&text) {
            Ok(duration) if !duration.is_zero() => Some(duration),
            Ok(_) => {
                self.report(field, "must be longer than 0s");
                None
            }
            Err(error) => {
                self.report(field, format!("is no time span such as 250ms: {error}"));
                None
            }
        }
    }

    /// Reads a required duration.
    pub(crate) fn required_duration(&mut self, field: &'static str) -> Option<Duration> {
        if self.require(field) {
            self.duration(field)
        } else {
            None
        }
    }

    /// Reads one of a fixed set of keywords.
    pub(crate) fn keyword<T: Copy>(
        &mut self,
        field: &'static str,
        words: &[(&'static str, T)],
    ) -> Option<T> {
        let text: String = self.optional(field)?;
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return Some(*value);
        }
        let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        self.report(field, unknown_keyword(&text, &known));
        None
    }

    /// Reads a required keyword.
    pub(crate) fn required_keyword<T: Copy>(
        &mut self,
        field: &'static str,
        words: &[(&'static str, T)],
    ) -> Option<T> {
        if self.require(field) {
            self.keyword(field, words)
        } else {
            None
        }
    }

    /// Reads a nested object.
    pub(crate) fn nested<T>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&mut Fields<'r>) -> T,
    ) -> Option<T> {
        let remaining = self.optional::<Map<String, Value>>(field)?;
        let mut inner = Fields {
            kind: self.kind,
            name: self.name,
            path: format!("{}{field}.", self.path),
            remaining,
            known: Vec::new(),
            findings: Findings::new(),
        };
        let value = read(&mut inner);
        inner.report_unknown();
        for finding in &inner.findings {
            self.findings.push(finding.clone());
        }
        Some(value)
    }

    /// Reads a required nested object.
    pub(crate) fn required_nested<T>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&mut Fields<'r>) -> T,
    ) -> Option<T> {
        if self.require(field) {
            self.nested(field, read)
        } else {
            None
        }
    }

    fn require(&mut self, field: &'static str) -> bool {
        let present = self
            .remaining
            .get(field)
            .is_some_and(|value| !value.is_null());
        if !present {
            self.known.push(field);
            self.remaining.remove(field);
            self.report(field, "is missing");
        }
        present
    }

    fn report_unknown(&mut self) {
        let unknown: Vec<String> = self.remaining.keys().cloned().collect();
        for field in unknown {
            let problem = match nearest(&field, &self.known) {
                Some(known) => format!("is no known key, perhaps `{known}` was meant"),
                None => format!("is no known key, the keys are {}", self.known.join(", ")),
            };
            let path = format!("{}{field}", self.path);
            self.findings.push(Finding {
                kind: self.kind.to_string(),
                name: self.name.to_owned(),
                path,
                problem,
            });
        }
    }
}

/// Returns what is wrong with a name, if anything. Names are used in paths, log lines and metric
/// names.
pub(crate) fn name_problem(name: &str) -> Option<&'static str> {
    const MAX_NAME_LEN: usize = 64;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_LEN {
        return Some("its name must have 1 to 64 characters");
    }
    if !name.chars().all(plain) || !name.starts_with(|c: char| c.is_ascii_alphanumeric()) {
        return Some(
            "its name must be letters, digits, `-`, `_` and `.`, and begin with a letter or digit",
        );
    }
    None
}

fn unknown_keyword(text: &str, known: &[&str]) -> String {
    match nearest(text, known) {
        Some(word) => format!("`{text}` is unknown, perhaps `{word}` was meant"),
        None => format!(
            "`{text}` is unknown, it must be one of {}",
            known.join(", ")
        ),
    }
}
