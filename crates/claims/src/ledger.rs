//! The calls of this process that are not concluded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clock::Moment;
use smallvec::SmallVec;

use crate::{Call, CallEnd, CallId, Digest, Offset};

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Not decided.
    Waiting,
    /// Told to run.
    Running,
    /// Ended after it ran unclaimed; held until its claim is read back.
    Ended(CallEnd),
}

/// A call with what is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    pub(crate) call: Call,
    pub(crate) phase: Phase,
    /// Offset of its claim once that is known to be in force.
    pub(crate) claim: Option<Offset>,
    /// True until a claim of it was read back, won or lost.
    pub(crate) unclaimed: bool,
    queued: bool,
    timer: Moment,
}

/// The calls, by ticket and by key, with the queue of those to be claimed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger {
    held: BTreeMap<CallId, Held>,
    by_key: BTreeMap<Digest, CallId>,
    queue: VecDeque<CallId>,
    timers: BTreeSet<(Moment, CallId)>,
}

impl Ledger {
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Takes up a call and queues it for a claim; `timer` is when it must be looked at.
    pub(crate) fn insert(&mut self, call: Call, phase: Phase, timer: Moment) {
        let ticket = call.id;
        self.by_key.insert(call.key, ticket);
        if phase == Phase::Waiting {
            self.timers.insert((timer, ticket));
        }
        let held = Held {
            call,
            phase,
            claim: None,
            unclaimed: true,
            queued: false,
            timer,
        };
        self.held.insert(ticket, held);
        self.queue(ticket);
    }

    pub(crate) fn get(&self, ticket: CallId) -> Option<&Held> {
        self.held.get(&ticket)
    }

    pub(crate) fn get_mut(&mut self, ticket: CallId) -> Option<&mut Held> {
        self.held.get_mut(&ticket)
    }

    /// The call that has a key here.
    pub(crate) fn by_key(&self, key: &Digest) -> Option<&Held> {
        self.held.get(self.by_key.get(key)?)
    }

    /// Forgets a call; a claim of it that is still read back then has no call.
    pub(crate) fn remove(&mut self, ticket: CallId) -> Option<Held> {
        let held = self.held.remove(&ticket)?;
        self.timers.remove(&(held.timer, ticket));
        if self.by_key.get(&held.call.key) == Some(&ticket) {
            self.by_key.remove(&held.call.key);
        }
        Some(held)
    }

    /// Notes that a call was told to run.
    pub(crate) fn run(&mut self, ticket: CallId) {
        if let Some(held) = self.held.get_mut(&ticket) {
            held.phase = Phase::Running;
            self.timers.remove(&(held.timer, ticket));
        }
    }

    /// Looks at a call again later.
    pub(crate) fn postpone(&mut self, ticket: CallId, timer: Moment) {
        if let Some(held) = self.held.get_mut(&ticket) {
            held.timer = timer;
            self.timers.insert((timer, ticket));
        }
    }

    /// Takes the next call whose time has come.
    pub(crate) fn due(&mut self, now: Moment) -> Option<CallId> {
        let (timer, ticket) = self.timers.first().copied()?;
        if timer > now {
            return None;
        }
        self.timers.pop_first();
        Some(ticket)
    }

    pub(crate) fn next_timer(&self) -> Option<Moment> {
        self.timers.first().map(|(timer, _)| *timer)
    }

    /// Calls that are not decided.
    pub(crate) fn waiting(&self) -> Vec<CallId> {
        self.held
            .iter()
            .filter(|(_, held)| held.phase == Phase::Waiting)
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Queues a call for a claim, again if an earlier one may be lost.
    pub(crate) fn queue(&mut self, ticket: CallId) {
        if let Some(held) = self.held.get_mut(&ticket)
            && held.unclaimed
            && !held.queued
        {
            held.queued = true;
            self.queue.push_back(ticket);
        }
    }

    /// True if a call is queued. Calls that were forgotten may make it true for a moment.
    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Takes queued calls that still need a claim.
    pub(crate) fn take_queued(&mut self, most: usize) -> SmallVec<[CallId; 8]> {
        let mut taken = SmallVec::new();
        while taken.len() < most {
            let Some(ticket) = self.queue.pop_front() else {
                break;
            };
            if let Some(held) = self.held.get_mut(&ticket) {
                held.queued = false;
                if held.unclaimed {
                    taken.push(ticket);
                }
            }
        }
        taken
    }
}
