//! Output of commands.

use serde_json::Value;

use crate::text;

/// Result of a command as JSON and as text.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Output with `--json`.
    pub value: Value,
    /// Output for people.
    pub text: String,
}

impl Output {
    /// Creates an output with its own text.
    pub fn new(value: Value, text: String) -> Self {
        Self { value, text }
    }

    /// Creates an output whose text is rendered from the value.
    pub fn from_value(value: Value) -> Self {
        let text = text::render(&value);
        Self { value, text }
    }
}
