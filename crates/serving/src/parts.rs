//! Which engine has read which part of a prompt, from this instance's own calls and from what
//! other instances tell of theirs.

use std::collections::HashMap;

use clock::Moment;
use smallvec::SmallVec;

use crate::EngineId;

/// Identity of a part together with all parts before it. A part that was read behind other parts
/// is of no use, so only the chain says whether it can be used again.
pub type Chain = u64;

/// The chain of a part, given the chain before it. The first part follows the name of its model,
/// since another model's memory is of no use either.
pub fn chain(before: Chain, part: &str) -> Chain {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&before.to_le_bytes());
    hasher.update(part.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    Chain::from_le_bytes(first)
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the chain up to and with this part.
    pub chain: Chain,
    /// Tokens of this part.
    pub tokens: u32,
}

/// A prompt's parts, in order.
pub type Prompt = SmallVec<[Part; 4]>;

/// Parts that one engine holds, as far as is known.
#[derive(Clone, Debug, Default)]
struct Memory {
    held: HashMap<Chain, (Moment, u32)>,
    tokens: u64,
}

/// Share of an engine's memory that is taken to be there for parts; the rest is in running calls.
const KEPT: f64 = 0.75;

impl Memory {
    fn touch(&mut self, part: Part, now: Moment, room: u64) {
        let before = self.held.insert(part.chain, (now, part.tokens));
        let old = before.map_or(0, |(_, tokens)| u64::from(tokens));
        self.tokens = self.tokens + u64::from(part.tokens) - old;
        if self.tokens > room {
            self.evict(room);
        }
    }

    /// Drops what was used longest ago until a tenth of the room is free, so that the search for
    /// the oldest is not made for each part.
    fn evict(&mut self, room: u64) {
        let mut by_age: Vec<(Moment, Chain, u32)> = self
            .held
            .iter()
            .map(|(&chain, &(used, tokens))| (used, chain, tokens))
            .collect();
        by_age.sort_unstable();
        for (_, chain, tokens) in by_age {
            if self.tokens <= room - room / 10 {
                break;
            }
            self.held.remove(&chain);
            self.tokens -= u64::from(tokens);
        }
    }
}

/// The parts of all engines.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    memories: HashMap<EngineId, Memory>,
}

impl Parts {
    /// Takes in that an engine reads these parts.
    pub fn read(&mut self, engine: &EngineId, prompt: &[Part], memory_tokens: u64, now: Moment) {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let room = (memory_tokens as f64 * KEPT) as u64;
        let memory = self.memories.entry(engine.clone()).or_default();
        for &part in prompt {
            memory.touch(part, now, room);
        }
    }

    /// Tokens at the beginning of the prompt that the engine need not read again.
    pub fn kept(&self, engine: &EngineId, prompt: &[Part]) -> u32 {
        let Some(memory) = self.memories.get(engine) else {
            return 0;
        };
        prompt
            .iter()
            .take_while(|part| memory.held.contains_key(&part.chain))
            .map(|part| part.tokens)
            .sum()
    }

    /// Forgets an engine that has ended.
    pub fn forget(&mut self, engine: &EngineId) {
        self.memories.remove(engine);
    }
}
