//! Memory of a prompt that one engine holds for another one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::upstream::{self, KvLocation};
use bytes::Bytes;
use http1::{Client, Patience};
use serving::EngineId;
use tokio::time::timeout;

use crate::instance::Instance;
use crate::limits;

/// Time in which memory that nobody takes is freed.
const FREE: Duration = Duration::from_millis(500);

/// Memory that is freed unless it was taken.
pub(super) struct Guard {
    instance: Rc<Instance>,
    holder: EngineId,
    pub(super) memory: KvLocation,
    taken: Cell<bool>,
}

impl Guard {
    pub(super) fn new(instance: &Rc<Instance>, holder: EngineId, memory: KvLocation) -> Self {
        Self {
            instance: instance.clone(),
            holder,
            memory,
            taken: Cell::new(false),
        }
    }

    pub(super) fn taken(&self) {
        self.taken.set(true);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // It lapses by itself at an engine that takes no more requests now.
        if !self.taken.get() && limits::try_charge(&self.instance, &self.holder) {
            let (instance, holder) = (self.instance.clone(), self.holder.clone());
            actix_rt::spawn(free(instance, holder, self.memory.clone()));
        }
    }
}

async fn free(instance: Rc<Instance>, holder: EngineId, memory: KvLocation) {
    let patience = Patience::within(FREE);
    let freeing = async {
        let mut client = Client::open(memory.address, &patience, &instance.codec).await?;
        client.send(upstream::free_kv(&memory), &Bytes::new()).await
    };
    if let Ok(Ok(answer)) = timeout(FREE, freeing).await {
        limits::note_announced(&instance, &holder, upstream::announced_limit(&answer.head));
    } else {
        log::debug!(handle = memory.handle.as_str(); "memory that nobody takes could not be freed, it lapses");
    }
}
