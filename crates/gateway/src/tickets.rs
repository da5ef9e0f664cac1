//! Numbers that tell which question of this process an answer is for.

use std::cell::Cell;

use serving::engine::Ticket;

/// Numbers questions to other instances.
///
/// The first number is drawn at random: an instance that stood still may answer what the former process at
/// this address had asked, and the answer would be taken for one to the question of the same number.
#[derive(Debug)]
pub(crate) struct Tickets(Cell<Ticket>);

impl Tickets {
    /// The number of the next question.
    pub(crate) fn next(&self) -> Ticket {
        self.0.replace(self.0.get().wrapping_add(1))
    }
}

impl Default for Tickets {
    fn default() -> Self {
        Self(Cell::new(rand::random()))
    }
}
