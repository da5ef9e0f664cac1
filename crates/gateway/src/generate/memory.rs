//! Memory of a prompt that one engine holds for another one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::upstream::{self, Memory};
use bytes::Bytes;
use http1::{Client, Patience};
use tokio::time::timeout;

use crate::instance::Instance;

/// Time in which memory that nobody takes is freed.
const FREE: Duration = Duration::from_millis(500);

/// Memory that is freed unless it was taken.
pub(super) struct Guard {
    instance: Rc<Instance>,
    pub(super) memory: Memory,
    taken: Cell<bool>,
}

impl Guard {
    pub(super) fn new(instance: &Rc<Instance>, memory: Memory) -> Self {
        Self {
            instance: instance.clone(),
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
        if !self.taken.get() {
            actix_rt::spawn(free(self.instance.clone(), self.memory.clone()));
        }
    }
}

async fn free(instance: Rc<Instance>, memory: Memory) {
    let patience = Patience {
        connect: FREE,
        acknowledge: FREE,
        probe: FREE,
        probes: 1,
    };
    let freeing = async {
        let mut client = Client::open(memory.address, &patience, &instance.codec).await?;
        client.send(upstream::free(&memory), &Bytes::new()).await
    };
    if !matches!(timeout(FREE, freeing).await, Ok(Ok(_))) {
        log::debug!(handle = memory.handle.as_str(); "memory that nobody takes could not be freed, it lapses");
    }
}
