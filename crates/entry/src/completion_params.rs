//! Parameters of a completion that routing and attempts need.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use catalogue::Entry;
use routing::request::Prefix;
use smallvec::SmallVec;

use crate::front::prompt::Prompt;
use crate::proxied_request::model_name;
use crate::token_estimator::TokenEstimator;

/// Parameters read from a prompt; unlike [`Prompt`], they do not borrow the body.
#[derive(Debug)]
pub struct CompletionParams {
    /// Whether the caller asked for server-sent events.
    pub stream: bool,
    /// Size of the prompt in bytes.
    pub prompt_bytes: usize,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens in the answer.
    pub output_tokens: u32,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: SmallVec<[Prefix; 8]>,
    /// Model name as the engines know it.
    pub model: Arc<str>,
}

impl CompletionParams {
    /// Derives the parameters from a prompt and the catalogue entry that serves it.
    pub fn new(prompt: &Prompt<'_>, entry: &Entry, estimator: &TokenEstimator) -> Self {
        let bytes_per_token = estimator.bytes_per_token(&entry.name);
        let model = model_name(&entry.target).unwrap_or_default();
        Self {
            stream: prompt.stream,
            prompt_bytes: prompt.text.len(),
            prompt_tokens: prompt.tokens(bytes_per_token),
            output_tokens: prompt.output_tokens,
            prefixes: prefixes(&model, prompt.text, bytes_per_token),
            model: Arc::from(model),
        }
    }
}

/// The body for the engine: the caller names an entry or a model, while the engine expects the
/// model with its version and adapter. All other bytes are passed through unchanged.
pub fn engine_body(body: &Bytes, prompt: &Prompt<'_>, model: &str) -> Bytes {
    let name = serde_json::Value::from(model).to_string();
    let range = prompt.model_range.clone();
    if body.get(range.clone()) == Some(name.as_bytes()) {
        return body.clone();
    }
    let mut out = BytesMut::with_capacity(body.len() + name.len());
    out.extend_from_slice(&body[..range.start]);
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(&body[range.end..]);
    out.freeze()
}

/// Length of the shortest prefix in bytes; each further prefix is twice as long.
const MIN_PREFIX_BYTES: usize = 256;

/// Largest number of prefixes of one prompt.
const MAX_PREFIXES: usize = 8;

fn prefixes(model: &str, text: &str, bytes_per_token: f64) -> SmallVec<[Prefix; 8]> {
    let mut prefixes = SmallVec::new();
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let mut hashed = 0;
    let mut end = MIN_PREFIX_BYTES;
    while end <= text.len() && prefixes.len() < MAX_PREFIXES {
        hasher.update(&text.as_bytes()[hashed..end]);
        let hash = hasher.finalize();
        let mut word = [0; 8];
        word.copy_from_slice(&hash.as_bytes()[..8]);
        prefixes.push(Prefix {
            hash: u64::from_le_bytes(word),
            tokens: (end as f64 / bytes_per_token) as u32,
        });
        hashed = end;
        end *= 2;
    }
    prefixes
}
