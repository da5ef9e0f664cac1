//! The weight store: all transfers share one rate, and their number is limited.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::fault::lock;

/// Size of a body chunk.
const CHUNK_BYTES: u64 = 64 << 10;

/// A rate-limited weight store.
#[derive(Debug)]
pub struct WeightStore {
    rate: u64,
    transfers: Arc<Semaphore>,
    free_at: Mutex<Instant>,
}

/// A running transfer; dropping it frees its slot.
#[derive(Debug)]
pub struct Transfer {
    store: Arc<WeightStore>,
    bytes_left: u64,
    slow: f64,
    _permit: OwnedSemaphorePermit,
}

impl WeightStore {
    /// Creates a store that sends `rate` bytes per second over at most `transfers` transfers.
    pub fn new(rate: u64, transfers: usize) -> Self {
        Self {
            rate: rate.max(1),
            transfers: Arc::new(Semaphore::new(transfers)),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Begins a transfer of `bytes` bytes, unless all slots are taken. `slow` divides the rate.
    pub fn begin(self: &Arc<Self>, bytes: u64, slow: f64) -> Option<Transfer> {
        let permit = self.transfers.clone().try_acquire_owned().ok()?;
        Some(Transfer {
            store: self.clone(),
            bytes_left: bytes,
            slow: slow.max(1.0),
            _permit: permit,
        })
    }

    /// Reserves the shared link for a chunk and returns when its transfer ends.
    fn reserve(&self, bytes: u64, slow: f64) -> Instant {
        let duration = Duration::from_secs_f64(bytes as f64 * slow / self.rate as f64);
        let mut free_at = lock(&self.free_at);
        *free_at = (*free_at).max(Instant::now()) + duration;
        *free_at
    }
}

impl Transfer {
    /// Returns the body, sent at the store's rate.
    pub fn body(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(self, |mut transfer| async move {
            let size = transfer.bytes_left.min(CHUNK_BYTES);
            if size == 0 {
                return None;
            }
            transfer.bytes_left -= size;
            let end = transfer.store.reserve(size, transfer.slow);
            actix_rt::time::sleep_until(end.into()).await;
            let chunk = Bytes::from_static(&[0; CHUNK_BYTES as usize]).slice(..size as usize);
            Some((Ok(chunk), transfer))
        })
    }
}
