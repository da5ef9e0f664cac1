//! Messages to other instances that wait to be sent, each of them more than once because datagrams
//! are lost.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;

/// Times that a message is sent.
const TRANSMISSIONS: u8 = 2;
/// Interval between two transmissions of a message.
const REPEAT_INTERVAL: Duration = Duration::from_millis(350);

/// A queue of messages in which new ones go before repeated ones.
#[derive(Clone, Debug)]
pub struct Outbox<T> {
    new: VecDeque<Item<T>>,
    repeated: VecDeque<Item<T>>,
}

#[derive(Clone, Debug)]
struct Item<T> {
    message: T,
    bytes: usize,
    due: Moment,
    transmissions: u8,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            new: VecDeque::new(),
            repeated: VecDeque::new(),
        }
    }
}

impl<T: Clone> Outbox<T> {
    /// Queues a message of `bytes` on the wire.
    pub fn push(&mut self, message: T, bytes: usize, now: Moment) {
        self.new.push_back(Item {
            message,
            bytes,
            due: now,
            transmissions: TRANSMISSIONS,
        });
    }

    /// Takes the messages for one frame: as many as are due and fit into `max_bytes`, but at least
    /// one if any is due.
    pub fn take(&mut self, max_bytes: usize, now: Moment) -> Vec<T> {
        let mut batch = Vec::new();
        let mut room = max_bytes;
        for _ in 0..self.new.len() + self.repeated.len() {
            let Some(item) = self.next(room, batch.is_empty(), now) else {
                break;
            };
            room = room.saturating_sub(item.bytes);
            batch.push(item.message.clone());
            if item.transmissions > 1 {
                self.repeated.push_back(Item {
                    due: now + REPEAT_INTERVAL,
                    transmissions: item.transmissions - 1,
                    ..item
                });
            }
        }
        batch
    }

    /// When the next message is due.
    pub fn next_due(&self) -> Option<Moment> {
        let first = self.new.front().or(self.repeated.front());
        first.map(|item| item.due)
    }

    fn next(&mut self, room: usize, is_first: bool, now: Moment) -> Option<Item<T>> {
        let queue = if self.new.is_empty() {
            &mut self.repeated
        } else {
            &mut self.new
        };
        let fits = |item: &Item<T>| item.due <= now && (is_first || item.bytes <= room);
        let is_next = queue.front().is_some_and(fits);
        is_next.then(|| queue.pop_front()).flatten()
    }
}
