//! What a connection holds, told to whoever decides how much that may be.

use std::cell::Cell;

/// Where a connection accounts for what it holds. The one that passes it in decides.
pub struct Account {
    /// Called before the connection holds another number of bytes. Returns whether it may; it always may
    /// hold fewer.
    pub resize: Box<dyn Fn(usize) -> bool>,
    /// Called when writing begins to wait for the peer to read, and when it goes on.
    pub set_blocked: Box<dyn Fn(bool)>,
}

/// Bytes that a connection holds.
#[derive(Default)]
pub(crate) struct Held {
    account: Option<Account>,
    /// The receive buffer, unless a head shares it.
    received: Cell<usize>,
    /// The buffer that the current request's head shares.
    head: Cell<usize>,
    body: Cell<usize>,
}

impl Held {
    pub(crate) fn new(account: Account) -> Self {
        Self {
            account: Some(account),
            ..Self::default()
        }
    }

    /// Sets the size of the receive buffer. Returns whether it may have this size.
    pub(crate) fn set_received(&self, bytes: usize) -> bool {
        self.set(&self.received, bytes)
    }

    /// Keeps the receive buffer for a head that has been read, whose values are parts of it. It may also
    /// be filled further until another one is allocated.
    pub(crate) fn keep_head(&self) {
        self.head.set(self.received.replace(0));
    }

    /// Frees the buffer of the head, or makes it the receive buffer again if no other one was allocated.
    pub(crate) fn release_head(&self) {
        let head = self.head.replace(0);
        if self.received.get() == 0 {
            self.received.set(head);
        } else {
            // Less is granted, unless the connection is about to be closed.
            self.report();
        }
    }

    /// Sets the size of the body. Returns whether it may have this size.
    pub(crate) fn set_body(&self, bytes: usize) -> bool {
        self.set(&self.body, bytes)
    }

    fn set(&self, part: &Cell<usize>, bytes: usize) -> bool {
        let before = part.replace(bytes);
        if before == bytes {
            return true;
        }
        let is_granted = self.report();
        if !is_granted {
            part.set(before);
        }
        is_granted
    }

    /// Reports the sum of all parts. Returns whether it is granted.
    fn report(&self) -> bool {
        let total = self.received.get() + self.head.get() + self.body.get();
        let account = self.account.as_ref();
        account.is_none_or(|account| (account.resize)(total))
    }

    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        if let Some(account) = &self.account {
            (account.set_blocked)(is_blocked);
        }
    }
}
