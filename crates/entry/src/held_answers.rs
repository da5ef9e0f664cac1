//! Holds the answers of calls with an `Idempotency-Key` for repeats, within a memory limit.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use clock::Moment;

/// Digest of owner, entry and `Idempotency-Key`.
pub type Key = [u8; 16];

/// Digest of method, path and body.
pub type Fingerprint = [u8; 16];

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers for the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        ANSWER_OVERHEAD + headers + self.body.len()
    }
}

/// Approximate memory of an answer beyond its headers and body, in bytes.
const ANSWER_OVERHEAD: usize = 256;

#[derive(Debug)]
struct HeldAnswer {
    answer: Answer,
    fingerprint: Fingerprint,
    expires_at: Moment,
    sequence: u64,
}

/// Result of looking up a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The answer to the same request.
    Answer(Answer),
    /// The key was used for a different request.
    OtherRequest,
}

/// The held answers. When the memory limit is reached, the oldest are evicted first.
#[derive(Debug)]
pub struct HeldAnswers {
    limit: usize,
    size: usize,
    next_sequence: u64,
    by_key: HashMap<Key, HeldAnswer>,
    by_age: BTreeMap<u64, Key>,
}

impl HeldAnswers {
    /// Creates a store of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            size: 0,
            next_sequence: 0,
            by_key: HashMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    /// Size of the held answers in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Holds an answer until `now + time`. An answer larger than the limit is not held; a repeat is
    /// then told that the call was executed before.
    pub fn insert(
        &mut self,
        now: Moment,
        time: Duration,
        key: Key,
        fingerprint: Fingerprint,
        answer: Answer,
    ) {
        self.remove(&key);
        let size = answer.size();
        if size > self.limit {
            return;
        }
        self.expire(now);
        while self.size + size > self.limit {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                break;
            };
            self.remove(&oldest);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.size += size;
        self.by_age.insert(sequence, key);
        let held = HeldAnswer {
            answer,
            fingerprint,
            expires_at: now + time,
            sequence,
        };
        self.by_key.insert(key, held);
    }

    /// Looks up the answer for a key. `fingerprint` is `None` for requests of other entries, which
    /// compare the fingerprint with the claim in the log themselves.
    pub fn get(&self, now: Moment, key: &Key, fingerprint: Option<&Fingerprint>) -> Option<Lookup> {
        let held = self.by_key.get(key).filter(|held| held.expires_at > now)?;
        if fingerprint.is_some_and(|given| *given != held.fingerprint) {
            return Some(Lookup::OtherRequest);
        }
        Some(Lookup::Answer(held.answer.clone()))
    }

    /// Drops expired answers, from the oldest up to the first that has not expired.
    pub fn expire(&mut self, now: Moment) {
        while let Some((_, key)) = self.by_age.first_key_value() {
            let key = *key;
            let expired = self
                .by_key
                .get(&key)
                .is_none_or(|held| held.expires_at <= now);
            if !expired {
                break;
            }
            self.by_age.pop_first();
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Some(held) = self.by_key.remove(key) {
            self.by_age.remove(&held.sequence);
            self.size -= held.answer.size();
        }
    }
}
