//! Memory that bodies of callers' requests and whole answers of upstreams may take together.
//!
//! Load pattern: many callers send large bodies at once and stop short of their end, or do not read
//! their answers. Each body is within its limit, and all of them together would end the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;

/// Largest reservation that counts as small, in bytes.
const MAX_SMALL_BYTES: usize = 128 * 1024;
/// Interval between checks whether there is room for an answer.
pub const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// There is no room for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage;

/// Memory that is shared by all threads.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: AtomicUsize,
}

impl MemoryBudget {
    /// A budget of this many bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            reserved: AtomicUsize::new(0),
        })
    }

    /// Bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// An empty reservation. Each byte of a body counts for its copies.
    pub fn open(self: &Arc<Self>, copies: usize) -> Reservation {
        Reservation {
            budget: self.clone(),
            copies,
            bytes: 0,
        }
    }

    /// Large bodies leave a quarter to small ones, so that calls of usual size are served beside any number
    /// of large ones.
    fn limit(&self, bytes: usize) -> usize {
        match bytes <= MAX_SMALL_BYTES {
            true => self.limit,
            false => self.limit / 4 * 3,
        }
    }
}

/// Memory of one body, until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    copies: usize,
    bytes: usize,
}

impl Reservation {
    /// Reserves memory for a body of this size, if it is larger than before.
    ///
    /// # Errors
    ///
    /// If there is no room; the reservation stays as it is.
    pub fn grow(&mut self, size: usize) -> Result<(), Shortage> {
        let bytes = size.saturating_mul(self.copies);
        let Some(more) = bytes.checked_sub(self.bytes) else {
            return Ok(());
        };
        let limit = self.budget.limit(bytes);
        let add = |reserved: usize| {
            let after = reserved.checked_add(more)?;
            (after <= limit).then_some(after)
        };
        let reserved = &self.budget.reserved;
        reserved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map_err(|_| Shortage)?;
        self.bytes = bytes;
        Ok(())
    }

    /// Keeps the reservation for as long as the body is used anywhere.
    pub fn attach(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(Reserved {
            body,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body with its memory.
struct Reserved {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
