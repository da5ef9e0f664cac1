//! Which engine has read which part of a prompt, from this instance's own calls and from what
//! other instances tell of theirs.

use std::collections::HashMap;

use clock::Moment;
use smallvec::SmallVec;

use crate::{EngineId, hash};

/// Identity of a part of a model's prompts.
pub type PartId = u32;

/// The id of a part of a model's prompts. The model counts, since another model's memory is of no
/// use. Short, because instances tell each other of every part of every prompt; two parts that
/// share an id cost one wrong estimate.
pub fn id(model: &str, part: &str) -> PartId {
    hash::hash32(&format!("{model}\n{part}"))
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Which part.
    pub id: PartId,
    /// Tokens of this part.
    pub tokens: u32,
}

/// A prompt's parts, in order.
pub type Prompt = SmallVec<[Part; 4]>;

/// Parts that one engine holds, as far as is known.
#[derive(Clone, Debug, Default)]
struct EngineCache {
    parts: HashMap<PartId, (Moment, u32)>,
    tokens: u64,
}

/// Share of an engine's memory that is taken to be there for parts; the rest is in running calls.
const PARTS_SHARE: f64 = 0.9;

impl EngineCache {
    fn touch(&mut self, part: Part, now: Moment, capacity: u64) {
        let previous = self.parts.insert(part.id, (now, part.tokens));
        let previous_tokens = previous.map_or(0, |(_, tokens)| u64::from(tokens));
        self.tokens = self.tokens + u64::from(part.tokens) - previous_tokens;
        if self.tokens > capacity {
            self.evict(capacity);
        }
    }

    /// Drops what was used longest ago until a tenth of the room is free, so that the search for
    /// the oldest is not made for each part.
    fn evict(&mut self, capacity: u64) {
        let mut by_age: Vec<(Moment, PartId, u32)> = self
            .parts
            .iter()
            .map(|(&id, &(used, tokens))| (used, id, tokens))
            .collect();
        by_age.sort_unstable();
        for (_, id, tokens) in by_age {
            if self.tokens <= capacity - capacity / 10 {
                break;
            }
            self.parts.remove(&id);
            self.tokens -= u64::from(tokens);
        }
    }
}

/// The parts of all engines.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    caches: HashMap<EngineId, EngineCache>,
}

impl CachedParts {
    /// Takes in that an engine reads these parts.
    pub fn record(
        &mut self,
        engine: &EngineId,
        prompt: &[Part],
        kv_capacity_tokens: u64,
        now: Moment,
    ) {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let capacity = (kv_capacity_tokens as f64 * PARTS_SHARE) as u64;
        let cache = self.caches.entry(engine.clone()).or_default();
        for &part in prompt {
            cache.touch(part, now, capacity);
        }
    }

    /// Tokens at the beginning of the prompt that the engine need not read again. A part is of use
    /// only behind all parts before it.
    pub fn cached_tokens(&self, engine: &EngineId, prompt: &[Part]) -> u32 {
        let Some(cache) = self.caches.get(engine) else {
            return 0;
        };
        prompt
            .iter()
            .take_while(|part| cache.parts.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// All parts that an engine holds, the one used longest ago first.
    pub fn cached_parts(&self, engine: &EngineId) -> Vec<Part> {
        let Some(cache) = self.caches.get(engine) else {
            return Vec::new();
        };
        let mut parts: Vec<(Moment, Part)> = cache
            .parts
            .iter()
            .map(|(&id, &(used, tokens))| (used, Part { id, tokens }))
            .collect();
        parts.sort_unstable_by_key(|(used, part)| (*used, part.id));
        parts.into_iter().map(|(_, part)| part).collect()
    }

    /// Forgets an engine that has ended.
    pub fn forget(&mut self, engine: &EngineId) {
        self.caches.remove(engine);
    }
}
