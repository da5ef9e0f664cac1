//! Findings: the problems of the settings and where the values came from.

use std::fmt;

/// Where a value was given.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Origin {
    /// Position in the file.
    File {
        /// Line, from 1.
        line: u64,
        /// Column, from 1.
        column: u64,
    },
    /// The n-th `--set`, from 1.
    Flag(usize),
    /// Name of an environment variable.
    Environment(&'static str),
    /// The value was not given.
    NotGiven,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { line, column } => write!(f, "line {line}, column {column}"),
            Self::Flag(n) => write!(f, "--set number {n}"),
            Self::Environment(name) => write!(f, "environment {name}"),
            Self::NotGiven => write!(f, "not given"),
        }
    }
}

/// What is wrong with a setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The text is not a valid YAML mapping, with the message of the parser.
    Syntax(String),
    /// There is no setting with this key.
    Unknown {
        /// The most similar known key.
        nearest: Option<&'static str>,
    },
    /// The setting is required and was not given.
    Missing,
    /// The value cannot be parsed as the type of the setting.
    Invalid {
        /// The given value; secrets are redacted.
        given: String,
        /// Description of the expected value.
        expected: &'static str,
    },
    /// Two settings contradict each other.
    Contradiction(String),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(message) => write!(f, "cannot be parsed: {message}"),
            Self::Unknown {
                nearest: Some(nearest),
            } => write!(f, "unknown setting; did you mean {nearest}?"),
            Self::Unknown { nearest: None } => write!(f, "unknown setting"),
            Self::Missing => write!(f, "required"),
            Self::Invalid { given, expected } => write!(f, "{given:?} is not {expected}"),
            Self::Contradiction(message) => f.write_str(message),
        }
    }
}

/// One problem and the origin of the value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where the value was given.
    pub origin: Origin,
    /// Path of the key, for example `lease.term`.
    pub key: String,
    /// The problem.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.origin, self.key, self.problem)
    }
}

/// All findings of one run, in the order of their origins.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
