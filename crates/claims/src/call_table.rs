//! The open calls of this process: those that are not decided, still running, or ended but not
//! read back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clock::Moment;
use smallvec::SmallVec;

use crate::{Call, CallEnd, CallId, Digest, Offset};

/// The phase of an open call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Waiting for a decision.
    Waiting,
    /// Told to run.
    Running,
    /// Ended after running without a claim; kept until its claim is read back.
    Ended(CallEnd),
}

/// An open call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OpenCall {
    pub(crate) call: Call,
    pub(crate) phase: Phase,
    /// Offset of its claim, once known to be in force.
    pub(crate) claim: Option<Offset>,
    /// True until one of its claims is read back, won or lost.
    pub(crate) unclaimed: bool,
    queued: bool,
    timer: Moment,
}

/// The open calls by id and by key, and the queue of calls to be claimed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct CallTable {
    calls: BTreeMap<CallId, OpenCall>,
    by_key: BTreeMap<Digest, CallId>,
    queue: VecDeque<CallId>,
    timers: BTreeSet<(Moment, CallId)>,
}

impl CallTable {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call and queues it for a claim. A waiting call is due at `timer`.
    pub(crate) fn insert(&mut self, call: Call, phase: Phase, timer: Moment) {
        let id = call.id;
        self.by_key.insert(call.key, id);
        if phase == Phase::Waiting {
            self.timers.insert((timer, id));
        }
        let open = OpenCall {
            call,
            phase,
            claim: None,
            unclaimed: true,
            queued: false,
            timer,
        };
        self.calls.insert(id, open);
        self.enqueue(id);
    }

    pub(crate) fn get(&self, id: CallId) -> Option<&OpenCall> {
        self.calls.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: CallId) -> Option<&mut OpenCall> {
        self.calls.get_mut(&id)
    }

    /// The open call with a key.
    pub(crate) fn by_key(&self, key: &Digest) -> Option<&OpenCall> {
        self.calls.get(self.by_key.get(key)?)
    }

    /// Removes a call. A claim of it that is read back later has no call.
    pub(crate) fn remove(&mut self, id: CallId) -> Option<OpenCall> {
        let open = self.calls.remove(&id)?;
        self.timers.remove(&(open.timer, id));
        if self.by_key.get(&open.call.key) == Some(&id) {
            self.by_key.remove(&open.call.key);
        }
        Some(open)
    }

    /// Marks a call as told to run.
    pub(crate) fn mark_running(&mut self, id: CallId) {
        if let Some(open) = self.calls.get_mut(&id) {
            open.phase = Phase::Running;
            self.timers.remove(&(open.timer, id));
        }
    }

    /// Sets a new timer for a call whose timer has expired.
    pub(crate) fn set_timer(&mut self, id: CallId, timer: Moment) {
        if let Some(open) = self.calls.get_mut(&id) {
            open.timer = timer;
            self.timers.insert((timer, id));
        }
    }

    /// Removes an expired timer and returns its call.
    pub(crate) fn pop_due(&mut self, now: Moment) -> Option<CallId> {
        let (timer, id) = self.timers.first().copied()?;
        if timer > now {
            return None;
        }
        self.timers.pop_first();
        Some(id)
    }

    pub(crate) fn next_timer(&self) -> Option<Moment> {
        self.timers.first().map(|(timer, _)| *timer)
    }

    /// The calls that wait for a decision.
    pub(crate) fn waiting(&self) -> Vec<CallId> {
        self.calls
            .iter()
            .filter(|(_, open)| open.phase == Phase::Waiting)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Queues a call for a claim, or for a repeated claim if an earlier one may be lost.
    pub(crate) fn enqueue(&mut self, id: CallId) {
        if let Some(open) = self.calls.get_mut(&id)
            && open.unclaimed
            && !open.queued
        {
            open.queued = true;
            self.queue.push_back(id);
        }
    }

    /// Whether a call is queued. Removed calls may still be in the queue.
    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Takes at most `max` queued calls that still need a claim.
    pub(crate) fn take_queued(&mut self, max: usize) -> SmallVec<[CallId; 8]> {
        let mut taken = SmallVec::new();
        while taken.len() < max {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            if let Some(open) = self.calls.get_mut(&id) {
                open.queued = false;
                if open.unclaimed {
                    taken.push(id);
                }
            }
        }
        taken
    }
}
