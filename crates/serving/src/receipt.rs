//! Dates what was received by when it can have arrived, not by when it is handled.
//!
//! A process that is stopped, or gets no processor, handles what waited in its sockets once it goes on. What
//! waited may be seconds old, and its sender may be gone. It arrived after its socket was last seen empty, so
//! that moment is the earliest one to which it can belong. See `docs/design/knowledge.md`, "Dates of what was
//! received".

use std::time::Duration;

use clock::Moment;

/// Interval between checks whether a socket is empty, while nothing arrives.
pub const EMPTY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which something may have waited and still counts as having arrived when it is handled:
/// two checks. Dates of a process that runs are exact.
const MAX_USUAL_WAIT: Duration = Duration::from_millis(100);

/// A socket that datagrams wait in.
#[derive(Clone, Copy, Debug)]
pub struct Inbox {
    empty_at: Moment,
}

impl Inbox {
    /// A socket that was bound at `now`.
    pub fn new(now: Moment) -> Self {
        Self { empty_at: now }
    }

    /// Notes that a check that began at `checked` found nothing.
    pub fn on_empty(&mut self, checked: Moment) {
        self.empty_at = self.empty_at.max(checked);
    }

    /// When the socket was last seen empty, so that all that had arrived was handled.
    pub fn empty_at(&self) -> Moment {
        self.empty_at
    }

    /// Dates a datagram that is handled at `now`.
    pub fn receipt(&self, now: Moment) -> Receipt {
        Receipt {
            arrived: arrival(self.empty_at, now),
            handled: now,
        }
    }
}

/// When something was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// When it arrived; the earliest moment that is possible if it may have waited. What its sender said was
    /// true then, and may not be now.
    pub arrived: Moment,
    /// When it is handled, which shows that the sender was there while this process could look for it. An
    /// instance that takes the time in which it was stopped for the silence of the others takes their place.
    pub handled: Moment,
}

impl Receipt {
    /// Longest time for which it may have waited.
    pub fn max_wait(&self) -> Duration {
        self.handled.saturating_sub(self.arrived)
    }
}

/// Rounds of the event loop, seen by a timer that is set anew in each. Bytes on connections are dated by them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rounds {
    last: Moment,
    before: Moment,
}

impl Rounds {
    /// Notes that the timer's task runs.
    pub fn on_round(&mut self, now: Moment) {
        self.before = std::mem::replace(&mut self.last, now);
    }

    /// When bytes arrived that are handled at `now`. What had arrived before the last round but one was
    /// handled before the last one, since tasks run in the order in which they are woken.
    pub fn arrival(&self, now: Moment) -> Moment {
        arrival(self.before, now)
    }
}

/// When something arrived that is handled at `now` and had not arrived at `absent_at`.
fn arrival(absent_at: Moment, now: Moment) -> Moment {
    if now.saturating_sub(absent_at) <= MAX_USUAL_WAIT {
        now
    } else {
        absent_at
    }
}
