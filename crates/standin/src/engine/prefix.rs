//! The prefix cache: blocks of prompts, identified by a hash chained over all preceding blocks,
//! with limited capacity and least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

use super::tokens::first_u64;

/// Identifies a block: the hash of the prompt up to the end of the block.
pub type BlockHash = u64;

/// Returns the hashes of the full blocks of a prompt. The chain starts from the hash of the model
/// name; each block adds its words joined by single spaces: `h = blake3(h' as 8 bytes || words)`,
/// truncated to the first eight bytes.
pub fn block_hashes(model: &str, prompt: &str, block_tokens: u32) -> Vec<BlockHash> {
    let block_tokens = block_tokens.max(1) as usize;
    let words = prompt.split_whitespace().collect::<Vec<_>>();
    let mut hash = first_u64(&blake3::hash(model.as_bytes()));
    let blocks = words.chunks_exact(block_tokens).map(|block| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&hash.to_be_bytes());
        hasher.update(block.join(" ").as_bytes());
        hash = first_u64(&hasher.finalize());
        hash
    });
    blocks.collect()
}

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A block was stored.
    Stored {
        /// Hash of the block.
        hash: BlockHash,
        /// Tokens of the prefix up to the end of the block.
        tokens: u32,
    },
    /// A block was evicted.
    Evicted {
        /// Hash of the block.
        hash: BlockHash,
        /// Tokens of the prefix up to the end of the block.
        tokens: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Block {
    last_use: u64,
    tokens: u32,
}

/// The cached blocks.
#[derive(Clone, Debug)]
pub struct Cache {
    block_tokens: u32,
    capacity: usize,
    blocks: HashMap<BlockHash, Block>,
    by_use: BTreeMap<u64, BlockHash>,
    use_counter: u64,
}

impl Cache {
    /// Creates an empty cache for at most `capacity_tokens` tokens.
    pub fn new(block_tokens: u32, capacity_tokens: u32) -> Self {
        let block_tokens = block_tokens.max(1);
        Self {
            block_tokens,
            capacity: (capacity_tokens / block_tokens) as usize,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            use_counter: 0,
        }
    }

    /// Returns the tokens of the longest cached prefix and marks its blocks as used.
    pub fn lookup(&mut self, chain: &[BlockHash]) -> u32 {
        let known = |hash: &&BlockHash| self.blocks.contains_key(hash);
        let hits = chain.iter().take_while(known).count();
        self.touch(&chain[..hits]);
        hits as u32 * self.block_tokens
    }

    /// Stores the blocks of a prompt and evicts blocks above the capacity.
    pub fn store(&mut self, chain: &[BlockHash], changes: &mut Vec<Change>) {
        for (index, hash) in chain.iter().enumerate() {
            let tokens = (index as u32 + 1) * self.block_tokens;
            self.blocks.entry(*hash).or_insert_with(|| {
                changes.push(Change::Stored {
                    hash: *hash,
                    tokens,
                });
                Block {
                    last_use: 0,
                    tokens,
                }
            });
        }
        self.touch(chain);
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else {
                break;
            };
            self.evict(hash, changes);
        }
    }

    /// Evicts all blocks.
    pub fn clear(&mut self, changes: &mut Vec<Change>) {
        while let Some((_, hash)) = self.by_use.pop_first() {
            self.evict(hash, changes);
        }
    }

    fn evict(&mut self, hash: BlockHash, changes: &mut Vec<Change>) {
        if let Some(block) = self.blocks.remove(&hash) {
            let tokens = block.tokens;
            changes.push(Change::Evicted { hash, tokens });
        }
    }

    /// Marks blocks as used, the last one of a prompt first: a block is useless without those
    /// before it, so the end of a prompt has to be evicted before its start.
    fn touch(&mut self, chain: &[BlockHash]) {
        for hash in chain.iter().rev() {
            let Some(block) = self.blocks.get_mut(hash) else {
                continue;
            };
            self.use_counter += 1;
            self.by_use.remove(&block.last_use);
            block.last_use = self.use_counter;
            self.by_use.insert(self.use_counter, *hash);
        }
    }
}
