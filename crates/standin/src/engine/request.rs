//! Parses the bodies of OpenAI completion requests.

use serde::Deserialize;
use serde_json::Value;

use super::tokens;

/// Tokens generated unless the request sets a maximum.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Kind of completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RequestBody {
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

/// A parsed completion request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Completion {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

impl Completion {
    /// Parses a body with either a `prompt` or `messages`.
    pub(super) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let raw: RequestBody = serde_json::from_slice(body)?;
        let prompt = match (raw.prompt, raw.messages) {
            (Some(prompt), _) => text_of(&prompt),
            (None, Some(messages)) => prompt_from_messages(&messages),
            (None, None) => return Err(serde::de::Error::missing_field("prompt")),
        };
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens);
        Ok(Self {
            model: raw.model,
            prompt,
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
            stream: raw.stream,
        })
    }
}

fn prompt_from_messages(messages: &[Message]) -> String {
    let texts = messages.iter().map(|message| text_of(&message.content));
    let texts = texts.collect::<Vec<_>>();
    let roles = messages.iter().map(|message| message.role.as_str());
    tokens::chat_prompt(roles.zip(texts.iter().map(String::as_str)))
}

/// Returns the text of a prompt or message: a string, or a list of strings or of parts with a
/// `text`, joined by newlines.
fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(text_of).collect::<Vec<_>>().join("\n"),
        Value::Object(part) => part.get("text").map(text_of).unwrap_or_default(),
        _ => String::new(),
    }
}
