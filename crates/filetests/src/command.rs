//! One command of a scenario.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use datadriven::TestCase;

/// A command: its word, names, `key=value` arguments and input lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Command {
    /// The word that selects the command.
    pub word: String,
    /// Arguments without a value; their order is irrelevant.
    pub names: BTreeSet<String>,
    /// Arguments with a value.
    pub args: BTreeMap<String, String>,
    /// Lines below the command.
    pub input: String,
}

/// Why a command cannot be executed.
pub(crate) type CommandError = String;

impl Command {
    /// Parses a command as in a scenario file, with its input on the following lines.
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

    /// The name, if there is exactly one.
    pub(crate) fn name(&self) -> Result<&str, CommandError> {
        let mut names = self.names.iter();
        match (names.next(), names.next()) {
            (Some(name), None) => Ok(name),
            _ => Err(format!("`{}` needs one name", self.word)),
        }
    }

    /// An optional argument.
    pub(crate) fn arg(&self, key: &str) -> Option<&str> {
        self.args.get(key).map(String::as_str)
    }

    /// A required argument.
    pub(crate) fn required(&self, key: &str) -> Result<&str, CommandError> {
        self.arg(key)
            .ok_or_else(|| format!("`{}` needs `{key}=`", self.word))
    }

    /// A required number.
    pub(crate) fn number(&self, key: &str) -> Result<u64, CommandError> {
        let text = self.required(key)?;
        text.parse()
            .map_err(|_| format!("`{key}={text}` is not a number"))
    }

    /// An optional duration.
    pub(crate) fn duration(&self, key: &str, default: Duration) -> Result<Duration, CommandError> {
        let Some(text) = self.arg(key) else {
            return Ok(default);
        };
        humantime::parse_duration(text).map_err(|_| format!("`{key}={text}` is not a duration"))
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
