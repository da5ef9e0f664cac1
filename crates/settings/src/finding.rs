//! What is wrong with the settings, and where.

use std::fmt;

/// Where a value was given.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Origin {
    /// Line and column of the file, both from 1.
    File {
        /// Line, from 1.
        line: u64,
        /// Column, from 1.
        column: u64,
    },
    /// The n-th `--set`, from 1.
    Flag(usize),
    /// A variable of the environment.
    Environment(&'static str),
    /// It was given nowhere.
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

/// What is wrong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The text is no YAML mapping; the parser's words.
    Syntax(String),
    /// No setting has this key.
    Unknown {
        /// The known key that looks most like it.
        nearest: Option<&'static str>,
    },
    /// The setting has no default and was not given.
    Missing,
    /// The value does not read as the setting's type.
    Invalid {
        /// What was given; secrets are left out.
        given: String,
        /// What is expected, in words.
        expected: &'static str,
    },
    /// Two settings contradict each other.
    Contradiction(String),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(words) => write!(f, "not readable: {words}"),
            Self::Unknown {
                nearest: Some(nearest),
            } => write!(f, "unknown setting; did you mean {nearest}?"),
            Self::Unknown { nearest: None } => write!(f, "unknown setting"),
            Self::Missing => write!(f, "required"),
            Self::Invalid { given, expected } => write!(f, "{given:?} is not {expected}"),
            Self::Contradiction(words) => f.write_str(words),
        }
    }
}

/// One finding with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where the value was given.
    pub origin: Origin,
    /// Path of the key, for example `lease.term`.
    pub key: String,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.origin, self.key, self.problem)
    }
}

/// All findings of one reading, in the order of their places.
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
