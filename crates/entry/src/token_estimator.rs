//! Bytes of prompt text per token, learnt by catalogue entry from what engines counted.
//!
//! Only engines have the tokenizer. Estimates with a fixed figure are off by as much as languages and
//! kinds of text differ: one notices it by requests that are refused because their prefill seems
//! longer than their deadline, while engines are idle. See `docs/design/choice.md`.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use memchr::memmem;

/// Bytes per token before an engine has counted, rather too many: what is refused for its length is
/// never counted, so that too long an estimate would never be put right.
const UNKNOWN: f64 = 8.0;

/// Bounds of what is believed, so that a strange count of an engine does little harm.
const LEAST: f64 = 1.0;
const MOST: f64 = 32.0;

/// Weight of the newest prompt.
const WEIGHT: f64 = 0.05;

/// What stands before an engine's count of the prompt in its answer.
const COUNT: &[u8] = b"\"prompt_tokens\":";

/// Smoothed sizes of the prompts of one entry. Their quotient weighs long prompts more, and these
/// are the ones whose estimate matters.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    bytes: f64,
    tokens: f64,
}

/// What is known of each entry.
#[derive(Debug, Default)]
pub struct TokenEstimator {
    entries: Mutex<BTreeMap<String, Sizes>>,
}

impl TokenEstimator {
    /// Bytes per token of an entry's prompts.
    pub fn bytes_per_token(&self, entry: &str) -> f64 {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let known = entries.get(entry);
        known.map_or(UNKNOWN, |sizes| {
            (sizes.bytes / sizes.tokens).clamp(LEAST, MOST)
        })
    }

    /// Learns from an engine's count.
    pub fn record(&self, entry: &str, bytes: usize, tokens: u32) {
        if bytes == 0 || tokens == 0 {
            return;
        }
        let (bytes, tokens) = (bytes as f64, f64::from(tokens));
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(sizes) = entries.get_mut(entry) else {
            entries.insert(entry.to_owned(), Sizes { bytes, tokens });
            return;
        };
        sizes.bytes += WEIGHT * (bytes - sizes.bytes);
        sizes.tokens += WEIGHT * (tokens - sizes.tokens);
    }

    /// Forgets entries that the catalogue has no more.
    pub fn retain(&self, known: impl Fn(&str) -> bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|entry, _| known(entry));
    }
}

/// An engine's count of the prompt in the last events of a stream. It is looked for as bytes, because
/// relayed events are not read as JSON; a token's text cannot hold the unescaped words.
pub fn prompt_token_count(events: &[u8]) -> Option<u32> {
    let start = memmem::rfind(events, COUNT)? + COUNT.len();
    let digits = events[start..]
        .iter()
        .skip_while(|byte| byte.is_ascii_whitespace())
        .take_while(|byte| byte.is_ascii_digit());
    let digits: Vec<u8> = digits.copied().collect();
    std::str::from_utf8(&digits).ok()?.parse().ok()
}
