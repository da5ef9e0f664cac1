//! A result in its two forms.

use serde_json::Value;

use crate::text;

/// What a command tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// For programs.
    pub value: Value,
    /// For people.
    pub text: String,
}

impl Output {
    /// A result whose text is written by hand.
    pub fn new(value: Value, text: String) -> Self {
        Self { value, text }
    }

    /// A result whose text follows from its value.
    pub fn from_value(value: Value) -> Self {
        let text = text::render(&value);
        Self { value, text }
    }
}
