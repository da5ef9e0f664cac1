//! Prefix affinity: the entry's own routing history, and rendezvous hashing for prefixes not seen
//! before.
//!
//! There is no index of the engines' caches, because cache events cannot reach every entry at the
//! target scale. Each entry remembers where it sent a prefix; entries that never saw it agree on
//! its home by hashing alone. See docs/design/choice.md.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use smallvec::SmallVec;

use crate::{request::Prefix, upstream::Id};

/// Upstreams remembered per prefix: the last two that received it.
const HOLDERS: usize = 2;

/// Passes prefix hashes through unchanged.
#[derive(Clone, Copy, Debug, Default)]
struct Identity(u64);

impl Hasher for Identity {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = mix(self.0 ^ u64::from(*byte));
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

type Holders = SmallVec<[Id; HOLDERS]>;
type Generation = HashMap<u64, Holders, BuildHasherDefault<Identity>>;

/// A prefix that an upstream has received before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hit {
    /// Upstream that received it.
    pub upstream: Id,
    /// Tokens expected to be cached there.
    pub tokens: u32,
}

/// Bounded history of where prefixes were sent. When the young generation is full it replaces the
/// old one; prefixes used again move back to the young generation.
#[derive(Clone, Debug)]
pub struct History {
    capacity: usize,
    young: Generation,
    old: Generation,
}

impl History {
    /// A history of up to `capacity` prefixes per generation.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// Number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }

    /// Upstreams that probably have part of the prompt cached, longest match first.
    pub fn find(&self, prefixes: &[Prefix]) -> SmallVec<[Hit; HOLDERS]> {
        let mut hits = SmallVec::new();
        for prefix in prefixes.iter().rev() {
            let Some(holders) = self.holders(prefix.hash) else {
                continue;
            };
            for upstream in holders {
                let known = hits.iter().any(|hit: &Hit| hit.upstream == *upstream);
                if !known && hits.len() < HOLDERS {
                    hits.push(Hit {
                        upstream: upstream.clone(),
                        tokens: prefix.tokens,
                    });
                }
            }
            if hits.len() == HOLDERS {
                break;
            }
        }
        hits
    }

    /// Records that a prompt was sent to an upstream.
    pub fn record(&mut self, prefixes: &[Prefix], upstream: &Id) {
        for prefix in prefixes {
            self.record_one(prefix.hash, upstream);
        }
    }

    /// Removes an upstream that reported the eviction of a prefix.
    pub fn evict(&mut self, hash: u64, upstream: &str) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(holders) = generation.get_mut(&hash) {
                holders.retain(|holder| **holder != *upstream);
            }
        }
    }

    /// Removes an upstream that lost its cache.
    pub fn forget_upstream(&mut self, upstream: &str) {
        for generation in [&mut self.young, &mut self.old] {
            generation.retain(|_, holders| {
                holders.retain(|holder| **holder != *upstream);
                !holders.is_empty()
            });
        }
    }

    fn holders(&self, hash: u64) -> Option<&Holders> {
        self.young.get(&hash).or_else(|| self.old.get(&hash))
    }

    fn record_one(&mut self, hash: u64, upstream: &Id) {
        if !self.young.contains_key(&hash) {
            if self.young.len() >= self.capacity {
                self.old = std::mem::take(&mut self.young);
            }
            let moved = self.old.remove(&hash).unwrap_or_default();
            self.young.insert(hash, moved);
        }
        let holders = self.young.entry(hash).or_default();
        if let Some(position) = holders.iter().position(|holder| holder == upstream) {
            holders[..=position].rotate_right(1);
            return;
        }
        if holders.len() == HOLDERS {
            holders.pop();
        }
        holders.insert(0, upstream.clone());
    }
}

/// Rendezvous hashing weight of an upstream for a prefix; the upstream with the highest weight is
/// the prefix's home. All entries compute the same weights, and the loss of an upstream moves only
/// its own prefixes.
pub fn rendezvous(prefix: u64, seed: u64) -> u64 {
    mix(prefix ^ seed)
}

/// Seed of an upstream for [`rendezvous`]: FNV-1a of its id, stable across versions.
pub fn seed(id: &str) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// The splitmix64 finaliser.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
