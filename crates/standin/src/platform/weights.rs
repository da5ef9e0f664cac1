//! The weight store: all transfers share one rate, and only so many run at once.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::fault::lock;

/// Bytes sent at a time.
const CHUNK: u64 = 64 << 10;

/// The store.
#[derive(Debug)]
pub struct WeightStore {
    rate: u64,
    transfers: Arc<Semaphore>,
    free_at: Mutex<Instant>,
}

/// The right to run one transfer; dropping it gives the place to the next.
#[derive(Debug)]
pub struct Transfer {
    store: Arc<WeightStore>,
    left: u64,
    slow: f64,
    _place: OwnedSemaphorePermit,
}

impl WeightStore {
    /// A store that sends `rate` bytes a second over at most `transfers` transfers.
    pub fn new(rate: u64, transfers: usize) -> Self {
        Self {
            rate: rate.max(1),
            transfers: Arc::new(Semaphore::new(transfers)),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Begins a transfer of so many bytes, unless too many run. `slow` divides the rate.
    pub fn begin(self: &Arc<Self>, bytes: u64, slow: f64) -> Option<Transfer> {
        let place = self.transfers.clone().try_acquire_owned().ok()?;
        Some(Transfer {
            store: self.clone(),
            left: bytes,
            slow: slow.max(1.0),
            _place: place,
        })
    }

    /// Reserves the time that a chunk takes on the shared link and gives the moment of its end.
    fn reserve(&self, bytes: u64, slow: f64) -> Instant {
        let duration = Duration::from_secs_f64(bytes as f64 * slow / self.rate as f64);
        let mut free_at = lock(&self.free_at);
        *free_at = (*free_at).max(Instant::now()) + duration;
        *free_at
    }
}

impl Transfer {
    /// The bytes at the pace of the store.
    pub fn body(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(self, |mut transfer| async move {
            let size = transfer.left.min(CHUNK);
            if size == 0 {
                return None;
            }
            transfer.left -= size;
            let end = transfer.store.reserve(size, transfer.slow);
            actix_rt::time::sleep_until(end.into()).await;
            let chunk = Bytes::from_static(&[0; CHUNK as usize]).slice(..size as usize);
            Some((Ok(chunk), transfer))
        })
    }
}
