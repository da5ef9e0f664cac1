//! Cache events as readers get them: delayed, with gaps and limited to the newest. Time is passed
//! in.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Moment;
use super::prefix::Change;

/// Sequence number of an event, from 1. A missing number is a gap.
pub type EventNumber = u64;

/// Maximum number of events kept.
const MAX_EVENTS: usize = 20_000;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A change of one block of the prefix cache.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Event {
    /// Sequence number.
    pub n: EventNumber,
    /// Kind of change.
    pub kind: Kind,
    /// Hash of the block, as 16 hexadecimal digits.
    pub prefix: String,
    /// Tokens of the prefix up to the end of the block.
    pub tokens: u32,
}

/// The cache events of an engine.
#[derive(Debug)]
pub struct EventLog {
    delay: Duration,
    next: EventNumber,
    events: VecDeque<(Moment, Event)>,
}

impl EventLog {
    /// Creates an empty log whose events become visible after `delay`.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            next: 1,
            events: VecDeque::new(),
        }
    }

    /// Adds an event; a lost one only uses up its number.
    pub fn push(&mut self, now: Moment, change: Change, lost: bool) {
        let n = self.next;
        self.next += 1;
        if lost {
            return;
        }
        let (kind, hash, tokens) = match change {
            Change::Stored { hash, tokens } => (Kind::Stored, hash, tokens),
            Change::Evicted { hash, tokens } => (Kind::Evicted, hash, tokens),
        };
        let prefix = format!("{hash:016x}");
        let event = Event {
            n,
            kind,
            prefix,
            tokens,
        };
        self.events.push_back((now + self.delay, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the number to read from next and the visible events from `from` on.
    pub fn read(&self, now: Moment, from: EventNumber) -> (EventNumber, Vec<Event>) {
        let start = self.events.partition_point(|(_, event)| event.n < from);
        let visible_events = self.events.iter().skip(start);
        let visible_events = visible_events.take_while(|(visible_at, _)| *visible_at <= now);
        let events = visible_events
            .map(|(_, event)| event.clone())
            .collect::<Vec<_>>();
        let next = events.last().map_or(from.max(1), |event| event.n + 1);
        (next, events)
    }
}
