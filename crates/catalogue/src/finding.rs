//! What is wrong with an edit, with its place, collected so that all is reported together.

use std::fmt;

use serde::Serialize;

use crate::Kind;

/// One fault of an edit and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// Kind of the entity as the operator wrote it; empty if the fault is in the edit itself.
    pub kind: String,
    /// Name of the entity; empty if the fault is in the edit itself.
    pub name: String,
    /// Path of the field, such as `contract.objective`; empty for the entity as a whole.
    pub path: String,
    /// What is wrong, as a clause that says what would be right.
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

/// All faults of one edit in the order in which they were met.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// True if nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// The findings in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.list.iter()
    }

    /// Adds a fault of an entity.
    pub fn add(&mut self, kind: Kind, name: &str, path: &str, problem: impl Into<String>) {
        self.push(Finding {
            kind: kind.to_string(),
            name: name.to_owned(),
            path: path.to_owned(),
            problem: problem.into(),
        });
    }

    /// Adds a fault of the edit itself.
    pub fn add_edit_finding(&mut self, path: &str, problem: impl Into<String>) {
        self.push(Finding {
            kind: String::new(),
            name: String::new(),
            path: path.to_owned(),
            problem: problem.into(),
        });
    }

    /// Adds a finding once: dependents of several changed entities are checked once each, but
    /// an entity that is both changed and dependent would report the same fault twice.
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

/// The known word nearest to `word`, if one is near enough to have been meant.
pub(crate) fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    const MIN_SIMILARITY: f64 = 0.7;
    known
        .iter()
        .map(|&candidate| (strsim::jaro_winkler(word, candidate), candidate))
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}
