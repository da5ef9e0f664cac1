//! A prompt's KV cache that one engine holds for another.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::upstream::{self, KvLocation};
use bytes::Bytes;
use http1::TcpTimeouts;
use serving::EngineId;
use tokio::time::timeout;

use crate::instance::Instance;
use crate::{announcements, limits};

const KV_CACHE_FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// Frees the KV cache on drop unless it was fetched.
pub(super) struct MemoryGuard {
    instance: Rc<Instance>,
    holder: EngineId,
    pub(super) memory: KvLocation,
    taken: Cell<bool>,
}

impl MemoryGuard {
    pub(super) fn new(instance: &Rc<Instance>, holder: EngineId, memory: KvLocation) -> Self {
        Self {
            instance: instance.clone(),
            holder,
            memory,
            taken: Cell::new(false),
        }
    }

    pub(super) fn mark_taken(&self) {
        self.taken.set(true);
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        // If the engine's rate limit allows no request now, the cache is left to expire.
        if !self.taken.get() && limits::try_charge(&self.instance, &self.holder) {
            let (instance, holder) = (self.instance.clone(), self.holder.clone());
            actix_rt::spawn(free(instance, holder, self.memory.clone()));
        }
    }
}

async fn free(instance: Rc<Instance>, holder: EngineId, memory: KvLocation) {
    let patience = TcpTimeouts::within(KV_CACHE_FREE_TIMEOUT);
    let freeing = async {
        let mut client = instance.connect(memory.address, &patience).await?;
        client.send(upstream::free_kv(&memory), &Bytes::new()).await
    };
    if let Ok(Ok(answer)) = timeout(KV_CACHE_FREE_TIMEOUT, freeing).await {
        announcements::observe_own(&instance, &holder, &answer.head);
    } else {
        log::debug!(handle = memory.handle.as_str(); "an unused KV cache could not be freed; it expires at its engine");
    }
}
