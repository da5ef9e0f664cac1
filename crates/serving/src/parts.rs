//! The prompt parts that each engine caches, from this instance's own calls and from reports of
//! other instances.

use std::collections::HashMap;

use clock::Moment;
use smallvec::SmallVec;

use crate::{EngineId, hash};

/// Id of a prompt part for one model.
pub type PartId = u32;

/// Computes the id of a part of a model's prompts. The model is included, because a KV cache is of
/// no use to another model. The id is short, because instances exchange the parts of every prompt;
/// a collision costs one wrong estimate.
pub fn id(model: &str, part: &str) -> PartId {
    hash::hash32(&format!("{model}\n{part}"))
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The parts of a prompt, in order.
pub type Prompt = SmallVec<[Part; 4]>;

/// The parts that one engine is known to cache.
#[derive(Clone, Debug, Default)]
struct EngineCache {
    parts: HashMap<PartId, (Moment, u32)>,
    /// What the parts occupy together.
    tokens: u64,
}

/// Share of an engine's KV cache that is assumed to hold parts; running calls occupy the rest.
const PARTS_SHARE: f64 = 0.9;
/// Most parts of a prompt that are looked at. Callers may name as many as fit into a head, and each one is
/// remembered and told to other instances.
pub const MAX_PROMPT_PARTS: usize = 128;
/// Least number of tokens that a part takes of a KV cache, which is allocated in blocks.
const MIN_PART_TOKENS: u32 = 16;

/// Tokens of an engine's KV cache that a part takes.
fn occupied(tokens: u32) -> u64 {
    u64::from(tokens.max(MIN_PART_TOKENS))
}

impl EngineCache {
    fn touch(&mut self, part: Part, now: Moment, capacity: u64) {
        let previous = self.parts.insert(part.id, (now, part.tokens));
        let previous_tokens = previous.map_or(0, |(_, tokens)| occupied(tokens));
        self.tokens = self.tokens + occupied(part.tokens) - previous_tokens;
        if self.tokens > capacity {
            self.evict(capacity);
        }
    }

    /// Evicts the least recently used parts until a tenth of the capacity is free, so that the sort
    /// is not needed for each part.
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
            self.tokens -= occupied(tokens);
        }
    }
}

/// The cached parts of all engines.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    caches: HashMap<EngineId, EngineCache>,
}

impl CachedParts {
    /// Records that an engine reads these parts, and caches them.
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

    /// Tokens at the beginning of the prompt that the engine need not read again. A part is usable
    /// only if all parts before it are cached too.
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

    /// All parts that an engine caches, least recently used first.
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
