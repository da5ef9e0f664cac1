//! Cache events as readers see them: late, with gaps, and only the newest. Time is passed in.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Moment;
use super::prefix::Change;

/// Number of an event, from 1. A number that is missing is a gap.
pub type EventNumber = u64;

/// Events that are kept.
const KEPT: usize = 20_000;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// An event.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Event {
    /// Its number.
    pub n: EventNumber,
    /// What happened.
    pub kind: Kind,
    /// The hash of the block, as 16 hexadecimal digits.
    pub prefix: String,
    /// Tokens of the prefix that the block ends.
    pub tokens: u32,
}

/// The events of an engine.
#[derive(Debug)]
pub struct EventLog {
    delay: Duration,
    next: EventNumber,
    events: VecDeque<(Moment, Event)>,
}

impl EventLog {
    /// No events; each will be seen so late.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            next: 1,
            events: VecDeque::new(),
        }
    }

    /// Adds an event, or only its number if it is lost.
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
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// The events from a number on that can be seen now, and the number to ask for next.
    pub fn read(&self, now: Moment, from: EventNumber) -> (EventNumber, Vec<Event>) {
        let start = self.events.partition_point(|(_, event)| event.n < from);
        let seen = self.events.iter().skip(start);
        let seen = seen.take_while(|(visible, _)| *visible <= now);
        let events = seen.map(|(_, event)| event.clone()).collect::<Vec<_>>();
        let next = events.last().map_or(from.max(1), |event| event.n + 1);
        (next, events)
    }
}
