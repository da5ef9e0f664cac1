//! The given values by key path, each with its origin: first the file, then `--set`, then the
//! environment for secrets. Later values replace earlier ones.

use std::collections::BTreeMap;

use serde_saphyr::{Location, Spanned};

use crate::finding::{Finding, Findings, Origin, Problem};
use crate::node::Node;
use crate::table::{self, Row};

/// A given value before it is parsed.
#[derive(Clone, Debug)]
pub struct GivenValue {
    /// Text of the value; the items of a list are joined by commas.
    pub text: String,
    /// Where it was given.
    pub origin: Origin,
}

/// All given values and the findings so far.
#[derive(Clone, Debug, Default)]
pub struct Source {
    pub(crate) values: BTreeMap<String, GivenValue>,
    pub(crate) findings: Vec<Finding>,
}

impl Source {
    /// Parses a settings file. A syntax error yields a single finding, since nothing after it can
    /// be trusted.
    pub fn from_yaml(text: &str) -> Self {
        let mut source = Self::default();
        match serde_saphyr::from_str::<Spanned<Node>>(text) {
            Ok(root) => source.insert_node("", &root),
            Err(error) => source.findings.push(Finding {
                origin: error.location().map_or(Origin::NotGiven, file_origin),
                key: "settings".to_owned(),
                problem: Problem::Syntax(error.without_snippet().to_string()),
            }),
        }
        source
    }

    /// Applies the `key=value` of each `--set`, replacing values given before.
    pub fn apply_overrides(&mut self, assignments: &[String]) {
        for (index, assignment) in assignments.iter().enumerate() {
            let origin = Origin::Flag(index + 1);
            match assignment.split_once('=') {
                Some((key, value)) => self.insert(key.trim(), value.trim().to_owned(), origin),
                None => self.findings.push(Finding {
                    origin,
                    key: assignment.clone(),
                    problem: Problem::Invalid {
                        given: assignment.clone(),
                        expected: "key=value",
                    },
                }),
            }
        }
    }

    /// Applies settings from the environment; `variable` looks up a variable by name.
    pub fn apply_environment(&mut self, variable: impl Fn(&str) -> Option<String>) {
        for row in table::ROWS {
            let Some(name) = row.environment else {
                continue;
            };
            if let Some(value) = variable(name) {
                self.insert(row.key, value, Origin::Environment(name));
            }
        }
    }

    /// Parses and checks the given values.
    ///
    /// # Errors
    ///
    /// All findings, in the order of their origins.
    pub fn check(self) -> Result<crate::Settings, Findings> {
        crate::Settings::try_from(self)
    }

    fn insert_node(&mut self, path: &str, node: &Spanned<Node>) {
        match &node.value {
            Node::Empty => {}
            Node::Scalar(text) => self.insert(path, text.clone(), file_origin(node.referenced)),
            Node::List(items) => {
                let text = join_items(items);
                self.insert(path, text, file_origin(node.referenced));
            }
            Node::Map(pairs) => {
                for (key, value) in pairs {
                    self.insert_pair(path, key, value);
                }
            }
        }
    }

    fn insert_pair(&mut self, path: &str, key: &Spanned<String>, value: &Spanned<Node>) {
        let path = if path.is_empty() {
            key.value.clone()
        } else {
            format!("{path}.{}", key.value)
        };
        if !table::is_known(&path) && !table::is_section(&path) {
            self.report_unknown(&path, file_origin(key.referenced));
            return;
        }
        self.insert_node(&path, value);
    }

    fn insert(&mut self, key: &str, text: String, origin: Origin) {
        if table::is_known(key) {
            self.values
                .insert(key.to_owned(), GivenValue { text, origin });
        } else {
            self.report_unknown(key, origin);
        }
    }

    fn report_unknown(&mut self, key: &str, origin: Origin) {
        self.findings.push(Finding {
            origin,
            key: key.to_owned(),
            problem: Problem::Unknown {
                nearest: nearest(key),
            },
        });
    }
}

fn file_origin(location: Location) -> Origin {
    Origin::File {
        line: location.line(),
        column: location.column(),
    }
}

fn join_items(items: &[Spanned<Node>]) -> String {
    let texts: Vec<&str> = items
        .iter()
        .map(|item| match &item.value {
            Node::Scalar(text) => text.as_str(),
            Node::Empty | Node::List(_) | Node::Map(_) => "",
        })
        .collect();
    texts.join(",")
}

/// Minimum similarity of a suggested key; below it suggestions are misleading.
const MIN_SIMILARITY: f64 = 0.6;

fn nearest(key: &str) -> Option<&'static str> {
    table::ROWS
        .iter()
        .map(|row: &Row| (strsim::normalized_levenshtein(key, row.key), row.key))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, known)| known)
}
