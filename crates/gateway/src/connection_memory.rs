//! Memory that connections hold for their callers. [`serving::memory`] decides how much that may be; see
//! `docs/design/intake.md`, "Memory".

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use clock::{Clock as _, System};
use http1::Account;
use serving::memory::{HolderId, Holders, Shortage};
use tokio::sync::Notify;
use tokio::time::sleep;

/// Memory of a connection beside what it has received: its task and what the runtime keeps of its socket.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Interval between checks whether there is room for an answer.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Memory that connections share.
pub(crate) struct ConnectionMemory {
    clock: System,
    /// The machine's memory, in bytes.
    machine_bytes: Cell<u64>,
    holders: RefCell<Holders>,
    evictions: RefCell<HashMap<HolderId, Rc<Notify>>>,
}

impl ConnectionMemory {
    pub(crate) fn new(clock: System, machine_bytes: u64) -> Self {
        Self {
            clock,
            machine_bytes: Cell::new(machine_bytes),
            holders: RefCell::default(),
            evictions: RefCell::default(),
        }
    }

    pub(crate) fn set_machine_bytes(&self, bytes: u64) {
        self.machine_bytes.set(bytes);
    }

    fn resize(&self, id: HolderId, bytes: usize) -> Result<(), Shortage> {
        let machine = self.machine_bytes.get();
        let mut holders = self.holders.borrow_mut();
        let evicted = holders.resize(id, bytes as u64, machine, self.clock.now())?;
        self.notify(&evicted);
        Ok(())
    }

    /// Closes connections that wait for their callers, since descriptors are short.
    pub(crate) fn free_descriptors(&self) {
        let now = self.clock.now();
        let evicted = self.holders.borrow_mut().evict_for_descriptors(now);
        self.notify(&evicted);
    }

    fn notify(&self, evicted: &[HolderId]) {
        let mut evictions = self.evictions.borrow_mut();
        for id in evicted {
            if let Some(eviction) = evictions.remove(id) {
                eviction.notify_one();
            }
        }
    }
}

/// What one connection holds, until this is dropped.
pub(crate) struct Holder {
    memory: Rc<ConnectionMemory>,
    id: HolderId,
    /// Whether it is a caller's connection, which may be closed for others.
    is_caller: bool,
    received: Cell<usize>,
    answer: Cell<usize>,
    /// Whether the current answer has had to wait for room.
    has_waited: Cell<bool>,
    evicted: Rc<Notify>,
}

impl Holder {
    /// Accounts for a caller's connection.
    pub(crate) fn open(memory: &Rc<ConnectionMemory>) -> Result<Rc<Self>, Shortage> {
        let holder = Self::new(memory, true);
        holder.resize().map(|()| Rc::new(holder))
    }

    /// Accounts for a connection of another instance. There are few, and to close one leaves the fate of a
    /// call unknown, so it is accepted in any case.
    pub(crate) fn open_for_peer(memory: &Rc<ConnectionMemory>) -> Rc<Self> {
        Rc::new(Self::new(memory, false))
    }

    fn new(memory: &Rc<ConnectionMemory>, is_caller: bool) -> Self {
        let id = memory.holders.borrow_mut().add();
        let evicted = Rc::new(Notify::new());
        memory.evictions.borrow_mut().insert(id, evicted.clone());
        Self {
            memory: memory.clone(),
            id,
            is_caller,
            received: Cell::new(0),
            answer: Cell::new(0),
            has_waited: Cell::new(false),
            evicted,
        }
    }

    /// Accounts for what the connection receives.
    pub(crate) fn account(self: &Rc<Self>) -> Account {
        let (holder, writing) = (self.clone(), self.clone());
        Account {
            resize: Box::new(move |bytes| holder.set(&holder.received, bytes).is_ok()),
            set_blocked: Box::new(move |is_blocked| writing.set_waiting(is_blocked)),
        }
    }

    /// Waits until there is room for an engine's answer of this size. What is not read from the engine
    /// meanwhile is held by nobody.
    pub(crate) async fn reserve_answer(&self, bytes: usize) {
        while self.set(&self.answer, bytes).is_err() {
            self.has_waited.set(true);
            sleep(ROOM_POLL_INTERVAL).await;
        }
    }

    /// Whether the current answer has had to wait for room. Its time says nothing of the engine then.
    pub(crate) fn has_waited(&self) -> bool {
        self.has_waited.get()
    }

    /// Frees what the answer took.
    pub(crate) fn release_answer(&self) {
        self.has_waited.set(false);
        if self.answer.get() == 0 {
            return;
        }
        let released = self.set(&self.answer, 0);
        debug_assert!(
            released.is_ok() || self.is_evicted(),
            "less is always granted"
        );
    }

    /// Sets whether the connection waits for its caller. It may be closed for others then.
    pub(crate) fn set_waiting(&self, is_waiting: bool) {
        let may_yield = is_waiting && self.is_caller;
        let since = may_yield.then(|| self.memory.clock.now());
        let mut holders = self.memory.holders.borrow_mut();
        holders.set_waiting(self.id, since);
    }

    /// Completes when the connection has to be closed for others.
    pub(crate) async fn wait_until_evicted(&self) {
        self.evicted.notified().await;
    }

    fn is_evicted(&self) -> bool {
        !self.memory.evictions.borrow().contains_key(&self.id)
    }

    fn set(&self, part: &Cell<usize>, bytes: usize) -> Result<(), Shortage> {
        let before = part.replace(bytes);
        self.resize().inspect_err(|Shortage| part.set(before))
    }

    fn resize(&self) -> Result<(), Shortage> {
        let own = if self.is_caller { CONNECTION_BYTES } else { 0 };
        let bytes = own + self.received.get() + self.answer.get();
        self.memory.resize(self.id, bytes)
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.memory.holders.borrow_mut().remove(self.id);
        self.memory.evictions.borrow_mut().remove(&self.id);
    }
}
