//! Estimates the bytes per token of prompts, by catalogue entry, from the engines' token counts.
//!
//! Only engines have the tokenizer. A fixed ratio would be wrong for many languages and kinds of
//! text; the symptom is that requests are refused because their prefill seems longer than their
//! deadline, while engines are idle. See `docs/design/choice.md`.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use memchr::memmem;

/// Estimate before the first count. It is high on purpose, so that prompts seem short: a prompt
/// that is refused for its length is never counted, and an estimate that is too low would never
/// recover.
const DEFAULT_BYTES_PER_TOKEN: f64 = 8.0;

/// Limits of the estimate, so that an implausible count of an engine has little effect.
const MIN_BYTES_PER_TOKEN: f64 = 1.0;
const MAX_BYTES_PER_TOKEN: f64 = 32.0;

/// Weight of the latest prompt in the averages.
const SMOOTHING: f64 = 0.05;

/// JSON key of the prompt's token count in an engine's answer.
const COUNT_KEY: &[u8] = b"\"prompt_tokens\":";

/// Moving averages over the prompts of one entry. Their ratio gives more weight to long prompts,
/// whose estimates matter most.
#[derive(Clone, Copy, Debug)]
struct Averages {
    bytes: f64,
    tokens: f64,
}

/// Estimates the bytes per token of each entry's prompts.
#[derive(Debug, Default)]
pub struct TokenEstimator {
    entries: Mutex<BTreeMap<String, Averages>>,
}

impl TokenEstimator {
    /// Estimated bytes per token of an entry's prompts.
    pub fn bytes_per_token(&self, entry: &str) -> f64 {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let known = entries.get(entry);
        known.map_or(DEFAULT_BYTES_PER_TOKEN, |averages| {
            (averages.bytes / averages.tokens).clamp(MIN_BYTES_PER_TOKEN, MAX_BYTES_PER_TOKEN)
        })
    }

    /// Updates the estimate with an engine's token count.
    pub fn record(&self, entry: &str, bytes: usize, tokens: u32) {
        if bytes == 0 || tokens == 0 {
            return;
        }
        let (bytes, tokens) = (bytes as f64, f64::from(tokens));
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(averages) = entries.get_mut(entry) else {
            entries.insert(entry.to_owned(), Averages { bytes, tokens });
            return;
        };
        averages.bytes += SMOOTHING * (bytes - averages.bytes);
        averages.tokens += SMOOTHING * (tokens - averages.tokens);
    }

    /// Keeps only the entries for which `known` returns true.
    pub fn retain(&self, known: impl Fn(&str) -> bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|entry, _| known(entry));
    }
}

/// An engine's count of the prompt in the last events of a stream. It is looked for as bytes,
/// because relayed events are not read as JSON; a token's text cannot hold the unescaped words.
pub fn prompt_token_count(events: &[u8]) -> Option<u32> {
    let start = memmem::rfind(events, COUNT_KEY)? + COUNT_KEY.len();
    let digits = events[start..]
        .iter()
        .skip_while(|byte| byte.is_ascii_whitespace())
        .take_while(|byte| byte.is_ascii_digit());
    let digits: Vec<u8> = digits.copied().collect();
    std::str::from_utf8(&digits).ok()?.parse().ok()
}
