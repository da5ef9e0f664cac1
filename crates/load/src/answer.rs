//! Checks answers by their content. Every stand-in's answer is a function of the request, so
//! answers that belong to another request, and repeated or missing parts, are detected.

use serde::Deserialize;

use crate::verdict::Ran;

/// How a piece of text compares with the expected text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceMatch {
    /// The text expected next.
    Expected,
    /// Part of the caller's answer, but repeated, too early or after a gap.
    Garbled,
    /// Not part of the caller's answer.
    Crossed,
}

/// Compares the answer to one completion with the expected text.
#[derive(Clone, Debug)]
pub struct AnswerChecker {
    expected: String,
    offset: usize,
}

impl AnswerChecker {
    /// Creates a checker for this text.
    pub fn new(expected: String) -> Self {
        Self {
            expected,
            offset: 0,
        }
    }

    /// Checks the next piece.
    pub fn check_next(&mut self, piece: &str) -> PieceMatch {
        if self.expected[self.offset..].starts_with(piece) {
            self.offset += piece.len();
            PieceMatch::Expected
        } else if self.expected.contains(piece) {
            PieceMatch::Garbled
        } else {
            PieceMatch::Crossed
        }
    }

    /// Whether the whole text was received.
    pub fn is_complete(&self) -> bool {
        self.offset == self.expected.len()
    }
}

/// Fields of a problem document that callers act on.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
struct Problem {
    ran: Option<String>,
    detail: Option<String>,
}

/// Whether the call ran according to an error answer; unknown if it does not say.
pub fn ran(body: &[u8]) -> Ran {
    let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    match problem.ran.as_deref() {
        Some("no") => Ran::No,
        _ => Ran::Unknown,
    }
}

/// Cause that an error answer gives, if any.
pub fn problem_detail(body: &[u8]) -> Option<String> {
    serde_json::from_slice::<Problem>(body).ok()?.detail
}

/// A completion or one of its events, as a chat or not.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Message>,
    message: Option<Message>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Message {
    content: Option<String>,
}

/// Text of a completion or of one of its events; `None` if the JSON is neither.
pub fn completion_text(json: &[u8]) -> Option<String> {
    let answer: Completion = serde_json::from_slice(json).ok()?;
    let mut text = String::new();
    for choice in answer.choices {
        let message = choice.delta.or(choice.message);
        let piece = choice.text.or(message.and_then(|message| message.content));
        text.push_str(&piece.unwrap_or_default());
    }
    Some(text)
}

/// Field of the plain stand-in's answer that identifies the request.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Echo {
    digest: String,
}

/// Whether an answer of the plain stand-in belongs to the request with this body digest.
pub fn is_echo_of(json: &[u8], digest: &str) -> bool {
    serde_json::from_slice::<Echo>(json).is_ok_and(|echo| echo.digest == digest)
}
