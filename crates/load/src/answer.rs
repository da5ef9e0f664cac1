//! Judging an answer by its content: every stand-in's answer follows from the request, so that an
//! answer that belongs to another request, or has parts twice or missing, shows.

use serde::Deserialize;

use crate::verdict::Ran;

/// How a piece of text fits to what is due next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceMatch {
    /// It is what is due.
    Expected,
    /// It is the caller's own, but not due now: a part came twice, too early or was left out.
    Garbled,
    /// It is no part of the caller's answer.
    Crossed,
}

/// Holds what is due of the answer to one completion.
#[derive(Clone, Debug)]
pub struct AnswerChecker {
    expected: String,
    offset: usize,
}

impl AnswerChecker {
    /// A judge that waits for this text.
    pub fn new(expected: String) -> Self {
        Self {
            expected,
            offset: 0,
        }
    }

    /// Judges the next piece.
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

    /// Whether the whole text has come.
    pub fn is_complete(&self) -> bool {
        self.offset == self.expected.len()
    }
}

/// A problem document, as far as callers act on it.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
struct Problem {
    ran: Option<String>,
    detail: Option<String>,
}

/// What an error answer says of the call; unknown if it does not say.
pub fn ran(body: &[u8]) -> Ran {
    let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    match problem.ran.as_deref() {
        Some("no") => Ran::No,
        _ => Ran::Unknown,
    }
}

/// What an error answer gives as its cause, if it does.
pub fn problem_detail(body: &[u8]) -> Option<String> {
    serde_json::from_slice::<Problem>(body).ok()?.detail
}

/// Answer of a completion or an event of one, streamed or whole, as a chat or not.
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

/// The text in an answer or event of a completion; nothing if it is no such thing.
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

/// Answer of the plain stand-in, as far as it shows whose it is.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Echo {
    digest: String,
}

/// Whether the answer of the plain stand-in belongs to a request with this digest of its body.
pub fn is_echo_of(json: &[u8], digest: &str) -> bool {
    serde_json::from_slice::<Echo>(json).is_ok_and(|echo| echo.digest == digest)
}
