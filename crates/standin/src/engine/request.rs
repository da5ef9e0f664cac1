//! The bodies of completions as OpenAI clients send them, checked.

use serde::Deserialize;
use serde_json::Value;

use super::tokens;

/// Tokens that are generated if the request names no number.
const DEFAULT_TOKENS: u32 = 16;

/// The two kinds of completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    model: String,
    prompt: Option<Value>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

/// A completion that is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Completion {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

impl Completion {
    /// Reads a body that has either a `prompt` or `messages`.
    pub(super) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let raw: Raw = serde_json::from_slice(body)?;
        let prompt = match (raw.prompt, raw.messages) {
            (Some(prompt), _) => flatten(&prompt),
            (None, Some(messages)) => chat(&messages),
            (None, None) => return Err(serde::de::Error::missing_field("prompt")),
        };
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens);
        Ok(Self {
            model: raw.model,
            prompt,
            max_tokens: max_tokens.unwrap_or(DEFAULT_TOKENS).max(1),
            stream: raw.stream,
        })
    }
}

fn chat(messages: &[Message]) -> String {
    let texts = messages.iter().map(|one| flatten(&one.content));
    let texts = texts.collect::<Vec<_>>();
    let roles = messages.iter().map(|one| one.role.as_str());
    tokens::chat_prompt(roles.zip(texts.iter().map(String::as_str)))
}

/// The text of a prompt or of a message: a string, or a list of strings or of parts with a text,
/// joined by line breaks.
fn flatten(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(flatten).collect::<Vec<_>>().join("\n"),
        Value::Object(part) => part.get("text").map(flatten).unwrap_or_default(),
        _ => String::new(),
    }
}
