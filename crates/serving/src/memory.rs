//! Which connections may hold how much of this instance's memory. See `docs/design/intake.md`, "Memory".
//!
//! Load pattern: callers send much and finish little, or do not read their answers. What a connection
//! holds counts from its first byte, so that the sum is bounded whatever its callers do. While memory is
//! short, connections that have waited for their callers for long make room for others.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

/// Part of the machine's memory that connections may hold. The rest is for what this instance knows, for
/// requests at engines, and for what the allocator cannot reuse.
const CONNECTIONS_SHARE: f64 = 0.5;
/// Part of that which large holders may fill. The rest is left to small ones.
const LARGE_HOLDERS_SHARE: f64 = 0.75;
/// Largest holder that counts as small, in bytes: a connection with a request of usual size.
const MAX_SMALL_BYTES: u64 = 128 * 1024;
/// Time after which a connection that waits for its caller may be closed for another one.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Part of the connections that are closed at once while descriptors are short, so that as many fall free as
/// the intake needs to open again.
const DESCRIPTOR_EVICTION_RATIO: usize = 8;

/// Identifies a connection.
pub type HolderId = u64;

/// Connections to close, since another one needs their memory.
pub type Evicted = SmallVec<[HolderId; 4]>;

/// Largest part of a stream that a connection has room for beside its own, in bytes.
const MAX_UNCOUNTED_EVENT_BYTES: usize = 16 * 1024;
/// Largest part of a stream for which a connection stays a small holder, in bytes.
const MAX_SMALL_EVENT_BYTES: usize = 48 * 1024;

/// Memory to reserve for a part of a stream that is passed on whole: its bytes, and those that are being
/// sent. A stream reserves at most twice for a part of up to `max_bytes`: many that reserved step by step
/// would all wait for one another.
pub fn event_reservation(bytes: usize, max_bytes: usize) -> usize {
    let while_sent = 2 * MAX_SMALL_EVENT_BYTES;
    if bytes <= MAX_UNCOUNTED_EVENT_BYTES {
        0
    } else if bytes <= MAX_SMALL_EVENT_BYTES {
        while_sent
    } else {
        max_bytes + while_sent
    }
}

/// There is no room for what a connection would hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage;

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: u64,
    /// Since when it waits for its caller, if it does.
    waiting_since: Option<Moment>,
}

/// Connections and what they hold.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    all: BTreeMap<HolderId, Holder>,
    bytes: u64,
    next: HolderId,
}

impl Holders {
    /// Adds a connection that holds nothing yet.
    pub fn add(&mut self) -> HolderId {
        let id = self.next;
        self.next += 1;
        let holder = Holder {
            bytes: 0,
            waiting_since: None,
        };
        self.all.insert(id, holder);
        id
    }

    /// Removes a connection, and what it holds.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.all.remove(&id) {
            self.bytes -= holder.bytes;
        }
    }

    /// Bytes that all connections hold.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Sets since when a connection waits for its caller, if it does.
    pub fn set_waiting(&mut self, id: HolderId, since: Option<Moment>) {
        if let Some(holder) = self.all.get_mut(&id) {
            holder.waiting_since = since;
        }
    }

    /// Sets what a connection holds, given the machine's memory. Those that it returns are removed.
    ///
    /// # Errors
    ///
    /// If there is no room; the connection then holds as much as before. One that was evicted gets no more.
    pub fn resize(
        &mut self,
        id: HolderId,
        bytes: u64,
        memory: u64,
        now: Moment,
    ) -> Result<Evicted, Shortage> {
        let before = self.all.get(&id).ok_or(Shortage)?.bytes;
        let others = self.bytes - before;
        let mut evicted = Evicted::new();
        if bytes > before {
            let is_small = bytes <= MAX_SMALL_BYTES;
            let limit = limit(memory, is_small);
            let missing = (others + bytes).saturating_sub(limit);
            evicted = self.find_evictable(id, missing, is_small, now)?;
        }
        for other in &evicted {
            self.remove(*other);
        }
        if let Some(holder) = self.all.get_mut(&id) {
            self.bytes = self.bytes - holder.bytes + bytes;
            holder.bytes = bytes;
        }
        Ok(evicted)
    }

    /// Removes and returns the connections to close while descriptors are short: of all, one in
    /// [`DESCRIPTOR_EVICTION_RATIO`], those that have waited for their callers for longest.
    pub fn evict_for_descriptors(&mut self, now: Moment) -> Evicted {
        let count = self.all.len().div_ceil(DESCRIPTOR_EVICTION_RATIO);
        let waiting = self.waiting(now).into_iter().take(count);
        let evicted: Evicted = waiting.map(|(_, id, _)| id).collect();
        for id in &evicted {
            self.remove(*id);
        }
        evicted
    }

    /// Connections that hold at least as much as is missing, beginning with the one that has waited for
    /// longest. A large holder is not closed for another large one, or many at once would all be closed
    /// before any is complete.
    fn find_evictable(
        &self,
        id: HolderId,
        missing: u64,
        is_small: bool,
        now: Moment,
    ) -> Result<Evicted, Shortage> {
        let mut evicted = Evicted::new();
        if missing == 0 {
            return Ok(evicted);
        }
        let mut freed = 0;
        for (_, other, bytes) in self.waiting(now) {
            let yields = is_small || bytes <= MAX_SMALL_BYTES;
            if other != id && yields {
                freed += bytes;
                evicted.push(other);
            }
            if freed >= missing {
                return Ok(evicted);
            }
        }
        Err(Shortage)
    }

    /// Connections that have waited for their callers for at least [`MIN_WAIT`], and what they hold. The one
    /// that has waited for longest comes first.
    fn waiting(&self, now: Moment) -> Vec<(Moment, HolderId, u64)> {
        let waiting = self.all.iter().filter_map(|(id, holder)| {
            let since = holder.waiting_since?;
            let has_waited = now.saturating_sub(since) >= MIN_WAIT;
            has_waited.then_some((since, *id, holder.bytes))
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable();
        waiting
    }
}

/// Bytes that all connections may hold together.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn limit(memory: u64, is_small: bool) -> u64 {
    let share = match is_small {
        true => CONNECTIONS_SHARE,
        false => CONNECTIONS_SHARE * LARGE_HOLDERS_SHARE,
    };
    (memory as f64 * share) as u64
}
