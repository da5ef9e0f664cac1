//! One command of a scenario.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use datadriven::TestCase;

/// A command: its word, the names that follow it, its `key=value` arguments and its input lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Command {
    /// The word that says what to do.
    pub word: String,
    /// Names without a value. Their order does not count.
    pub names: BTreeSet<String>,
    /// Arguments with a value.
    pub args: BTreeMap<String, String>,
    /// Lines below the command.
    pub input: String,
}

/// Why a command cannot be carried out.
pub(crate) type Fault = String;

impl Command {
    /// A command written as in a scenario file, with the lines of its input below it.
    pub fn parse(text: &str) -> Self {
        let (first, input) = text.split_once('\n').unwrap_or((text, ""));
        let mut words = first.split_whitespace().map(str::to_owned);
        let mut command = Self {
            word: words.next().unwrap_or_default(),
            input: input.to_owned(),
            ..Self::default()
        };
        for word in words {
            match word.split_once('=') {
                Some((key, value)) => {
                    command.args.insert(key.to_owned(), value.to_owned());
                }
                None => {
                    command.names.insert(word);
                }
            }
        }
        command
    }

    /// The only name.
    pub(crate) fn name(&self) -> Result<&str, Fault> {
        let mut names = self.names.iter();
        match (names.next(), names.next()) {
            (Some(name), None) => Ok(name),
            _ => Err(format!("`{}` needs one name", self.word)),
        }
    }

    /// An argument, if it is given.
    pub(crate) fn arg(&self, key: &str) -> Option<&str> {
        self.args.get(key).map(String::as_str)
    }

    /// An argument that must be given.
    pub(crate) fn need(&self, key: &str) -> Result<&str, Fault> {
        self.arg(key)
            .ok_or_else(|| format!("`{}` needs `{key}=`", self.word))
    }

    /// A number that must be given.
    pub(crate) fn number(&self, key: &str) -> Result<u64, Fault> {
        let text = self.need(key)?;
        text.parse()
            .map_err(|_| format!("`{key}={text}` is no number"))
    }

    /// A time span, or `or` if none is given.
    pub(crate) fn span(&self, key: &str, or: Duration) -> Result<Duration, Fault> {
        let Some(text) = self.arg(key) else {
            return Ok(or);
        };
        humantime::parse_duration(text).map_err(|_| format!("`{key}={text}` is no time span"))
    }
}

impl From<&TestCase> for Command {
    fn from(case: &TestCase) -> Self {
        let mut command = Self {
            word: case.directive.clone(),
            input: case.input.clone(),
            ..Self::default()
        };
        for (key, values) in &case.args {
            if values.is_empty() {
                command.names.insert(key.clone());
            } else {
                command.args.insert(key.clone(), values.join(","));
            }
        }
        command
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.word)?;
        for name in &self.names {
            write!(f, " {name}")?;
        }
        for (key, value) in &self.args {
            write!(f, " {key}={value}")?;
        }
        if !self.input.is_empty() {
            write!(f, "\n{}", self.input.trim_end())?;
        }
        Ok(())
    }
}
