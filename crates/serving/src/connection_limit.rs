//! Which connections to a listener stay open when there may only be few. See `docs/design/intake.md`,
//! "Memory".
//!
//! Load pattern: clients open connections to an address for a few peers, and send nothing. A new connection
//! is always accepted, or such clients would keep those peers out.

use std::collections::VecDeque;

/// Identifies a connection.
pub type Id = u64;

#[derive(Clone, Copy, Debug)]
struct Connection {
    id: Id,
    /// Whether a request has been served on it.
    has_served: bool,
}

/// Open connections, the one that has been used least recently first.
#[derive(Clone, Debug)]
pub struct Connections {
    limit: usize,
    open: VecDeque<Connection>,
    next: Id,
}

impl Connections {
    /// At most `limit` connections, one at least.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: VecDeque::new(),
            next: 0,
        }
    }

    /// Adds a connection. Returns its id and the connection to close for it, if there are too many: one on
    /// which nothing was served yet, or else the one that was used least recently.
    pub fn add(&mut self) -> (Id, Option<Id>) {
        let evicted = match self.open.len() < self.limit {
            true => None,
            false => self.evict(),
        };
        let id = self.next;
        self.next += 1;
        self.open.push_back(Connection {
            id,
            has_served: false,
        });
        (id, evicted)
    }

    /// Records that a request has been served on a connection.
    pub fn on_served(&mut self, id: Id) {
        if self.remove(id) {
            self.open.push_back(Connection {
                id,
                has_served: true,
            });
        }
    }

    /// Removes a connection. Returns whether it was open.
    pub fn remove(&mut self, id: Id) -> bool {
        let at = self.open.iter().position(|connection| connection.id == id);
        at.and_then(|at| self.open.remove(at)).is_some()
    }

    fn evict(&mut self) -> Option<Id> {
        let unused = |connection: &Connection| !connection.has_served;
        let at = self.open.iter().position(unused).unwrap_or_default();
        self.open.remove(at).map(|connection| connection.id)
    }
}
