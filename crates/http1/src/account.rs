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
    received: Cell<usize>,
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

    /// Sets the size of the body. Returns whether it may have this size.
    pub(crate) fn set_body(&self, bytes: usize) -> bool {
        self.set(&self.body, bytes)
    }

    fn set(&self, part: &Cell<usize>, bytes: usize) -> bool {
        let before = part.replace(bytes);
        if before == bytes {
            return true;
        }
        let total = self.received.get() + self.body.get();
        let is_granted = self
            .account
            .as_ref()
            .is_none_or(|account| (account.resize)(total));
        if !is_granted {
            part.set(before);
        }
        is_granted
    }

    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        if let Some(account) = &self.account {
            (account.set_blocked)(is_blocked);
        }
    }
}
