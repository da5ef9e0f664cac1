//! Answers of calls with an `Idempotency-Key` that are held for a repeat, within a bound of memory.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use clock::Moment;

/// Digest of owner, entry and `Idempotency-Key`.
pub type Key = [u8; 16];

/// Digest of method, path and body.
pub type Fingerprint = [u8; 16];

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers that go to the caller.
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
        OVERHEAD + headers + self.body.len()
    }
}

/// What an answer takes beside its bytes, roughly.
const OVERHEAD: usize = 256;

#[derive(Debug)]
struct Held {
    answer: Answer,
    fingerprint: Fingerprint,
    until: Moment,
    order: u64,
}

/// What is known of a key here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The answer of the same request.
    Answer(Answer),
    /// The key was used for another request.
    OtherRequest,
}

/// Held answers, the oldest dropped first when the memory is used up.
#[derive(Debug)]
pub struct HeldAnswers {
    limit: usize,
    size: usize,
    next: u64,
    held: HashMap<Key, Held>,
    by_age: BTreeMap<u64, Key>,
}

impl HeldAnswers {
    /// Holds at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            size: 0,
            next: 0,
            held: HashMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    /// Bytes held now.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Holds an answer until `now + time`. One that alone is above the limit is not held: a repeat
    /// is then told that the call ran, which is true.
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
        let order = self.next;
        self.next += 1;
        self.size += size;
        self.by_age.insert(order, key);
        let held = Held {
            answer,
            fingerprint,
            until: now + time,
            order,
        };
        self.held.insert(key, held);
    }

    /// The answer of a key, if it is still held. `fingerprint` is `None` when another entry asks:
    /// it compares the request itself, by the claim in the log.
    pub fn get(&self, now: Moment, key: &Key, fingerprint: Option<&Fingerprint>) -> Option<Lookup> {
        let held = self.held.get(key).filter(|held| held.until > now)?;
        if fingerprint.is_some_and(|asked| *asked != held.fingerprint) {
            return Some(Lookup::OtherRequest);
        }
        Some(Lookup::Answer(held.answer.clone()))
    }

    /// Drops what is past its time, as far as it stands at the old end.
    pub fn expire(&mut self, now: Moment) {
        while let Some((_, key)) = self.by_age.first_key_value() {
            let key = *key;
            let over = self.held.get(&key).is_none_or(|held| held.until <= now);
            if !over {
                break;
            }
            self.by_age.pop_first();
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Some(held) = self.held.remove(key) {
            self.by_age.remove(&held.order);
            self.size -= held.answer.size();
        }
    }
}
