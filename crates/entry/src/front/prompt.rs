//! The fields that the entry reads from an OpenAI-compatible body. All others pass through
//! unchanged.

use std::borrow::Cow;
use std::ops::Range;

use serde::Deserialize;
use serde_json::value::RawValue;

/// Expected number of output tokens if the caller sets no maximum.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: &'a RawValue,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
}

/// The fields of a body that routing needs.
#[derive(Debug)]
pub struct Prompt<'a> {
    /// Name of a catalogue entry or of a model.
    pub model: Cow<'a, str>,
    /// Byte range of the model's JSON value in the body.
    pub model_range: Range<usize>,
    /// Whether the caller asked for server-sent events.
    pub stream: bool,
    /// The prompt or the messages, as JSON text.
    pub text: &'a str,
    /// Expected number of tokens in the answer.
    pub output_tokens: u32,
}

impl<'a> Prompt<'a> {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// The body is not a JSON object with a model and a prompt or messages; returns the detail for
    /// the caller.
    pub fn read(body: &'a [u8]) -> Result<Self, String> {
        let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
        let raw: Body<'a> = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let model: Cow<'a, str> =
            serde_json::from_str(raw.model.get()).map_err(|error| format!("model: {error}"))?;
        let prompt = raw
            .prompt
            .or(raw.messages)
            .ok_or("prompt or messages is missing")?;
        let max = raw.max_completion_tokens.or(raw.max_tokens);
        Ok(Self {
            model,
            model_range: range_within(text, raw.model.get()),
            stream: raw.stream,
            text: prompt.get(),
            output_tokens: max.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        })
    }

    /// Estimated number of tokens in the prompt.
    pub fn tokens(&self, bytes_per_token: f64) -> u32 {
        (self.text.len() as f64 / bytes_per_token).ceil() as u32
    }
}

/// The byte range of `part`, which must be a slice of `whole`.
fn range_within(whole: &str, part: &str) -> Range<usize> {
    let start = part.as_ptr() as usize - whole.as_ptr() as usize;
    start..start + part.len()
}
