//! What a completion asks for, as far as decisions and attempts need it.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use catalogue::Entry;
use routing::request::Prefix;
use smallvec::SmallVec;

use crate::front::prompt::Prompt;
use crate::proxied_request::model_name;
use crate::token_estimator::TokenEstimator;

/// What of a prompt outlives the borrowed body.
#[derive(Debug)]
pub struct CompletionParams {
    /// The caller wants server-sent events.
    pub stream: bool,
    /// Bytes of the prompt.
    pub prompt_bytes: usize,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of the answer.
    pub output_tokens: u32,
    /// Leading parts of the prompt, shortest first.
    pub prefixes: SmallVec<[Prefix; 8]>,
    /// Model name as the engines know it.
    pub model: Arc<str>,
}

impl CompletionParams {
    /// Reads what the decisions and attempts need.
    pub fn new(prompt: &Prompt<'_>, entry: &Entry, densities: &TokenEstimator) -> Self {
        let bytes_per_token = densities.bytes_per_token(&entry.name);
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

/// The body for the engine: the caller names an entry or a model, the engine needs the model with
/// its version and adapter. Only the name is replaced; everything else passes as it came.
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

/// Bytes of the shortest prefix that is worth remembering; each next one is twice as long.
const SHORTEST_PREFIX: usize = 256;

/// Most prefixes of one prompt.
const PREFIXES: usize = 8;

fn prefixes(model: &str, text: &str, bytes_per_token: f64) -> SmallVec<[Prefix; 8]> {
    let mut prefixes = SmallVec::new();
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let mut done = 0;
    let mut end = SHORTEST_PREFIX;
    while end <= text.len() && prefixes.len() < PREFIXES {
        hasher.update(&text.as_bytes()[done..end]);
        let hash = hasher.finalize();
        let mut word = [0; 8];
        word.copy_from_slice(&hash.as_bytes()[..8]);
        prefixes.push(Prefix {
            hash: u64::from_le_bytes(word),
            tokens: (end as f64 / bytes_per_token) as u32,
        });
        done = end;
        end *= 2;
    }
    prefixes
}
