//! Findings: the problems of an edit, collected so that all are reported at once.

use std::fmt;

use serde::Serialize;

use crate::Kind;

/// One problem of an edit and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// Kind of the entity as the operator wrote it; empty if the edit itself is at fault.
    pub kind: String,
    /// Name of the entity; empty if the edit itself is at fault.
    pub name: String,
    /// Path of the field, such as `contract.objective`; empty for the entity as a whole.
    pub path: String,
    /// The problem, worded as what would be valid.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let places = [
            [self.kind.as_str(), self.name.as_str()].join(" "),
            self.path.clone(),
        ];
        for place in places.iter().map(|place| place.trim()) {
            if !place.is_empty() {
                write!(f, "{place}: ")?;
            }
        }
        f.write_str(&self.problem)
    }
}

/// Findings of one edit in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Iterates over the findings in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.list.iter()
    }

    /// Adds a finding for an entity.
    pub fn add(&mut self, kind: Kind, name: &str, path: &str, problem: impl Into<String>) {
        self.push(Finding {
            kind: kind.to_string(),
            name: name.to_owned(),
            path: path.to_owned(),
            problem: problem.into(),
        });
    }

    /// Adds a finding for the edit itself.
    pub fn add_edit_finding(&mut self, path: &str, problem: impl Into<String>) {
        self.push(Finding {
            kind: String::new(),
            name: String::new(),
            path: path.to_owned(),
            problem: problem.into(),
        });
    }

    /// Adds a finding unless it is already listed. An entity that is both changed and a dependent
    /// of another changed one is validated twice and would report the same finding twice.
    pub fn push(&mut self, finding: Finding) {
        if !self.list.contains(&finding) {
            self.list.push(finding);
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, finding) in self.list.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// Returns the known word most similar to `word`, if it is similar enough to suggest.
pub(crate) fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    const MIN_SIMILARITY: f64 = 0.7;
    known
        .iter()
        .map(|&candidate| (strsim::jaro_winkler(word, candidate), candidate))
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}
