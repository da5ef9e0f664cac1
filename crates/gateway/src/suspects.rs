//! Calls that crash engines, as known to this instance, and their exchange with the others.
//! [`serving::quarantine`] decides how such a call is treated.
//!
//! A call may be repeated at any instance, so all must know of it within the time in which live
//! peers hear of each other: changes are sent to all at once, and a second time, since datagrams
//! are lost. What is lost nevertheless shows in a digest that every state carries; placers then
//! send what the other lacks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use clock::Moment;
use serving::engine::Record;
use serving::fingerprint::Fingerprint;
use serving::hash;
use serving::quarantine::{Crash, Entry, GoodRun, Quarantine, Verdict};
use wire::gateway::{Frame, State, Suspect};

use crate::attempt::Request;
use crate::frame;
use crate::instance::Instance;

/// Times that a change is sent.
const TRANSMISSIONS: u8 = 2;
/// Pause between the two, so that what drops the first does not drop the second.
const RESEND_INTERVAL: Duration = Duration::from_millis(350);
/// Most calls in one frame, at a hundred bytes each: a datagram of several packets is lost with any
/// of them.
const MAX_SUSPECTS_PER_FRAME: usize = 32;
/// Pause between two answers to an instance that lacks something: the first may be on its way.
const ANSWER_INTERVAL: Duration = Duration::from_millis(600);

/// Offset of the clock that dates crashes and good runs. Peers and the store report ones from
/// before this process started; they must keep their order, or an old good run would clear the
/// crashes after it. Longer than a call is held.
pub(crate) const CLOCK_OFFSET: Moment = Duration::from_secs(2 * 24 * 60 * 60);

/// The present moment on the clock that dates crashes and good runs.
pub(crate) fn now(instance: &Instance) -> Moment {
    CLOCK_OFFSET + instance.now()
}

/// A change that is still to be sent.
#[derive(Clone, Copy, Debug)]
struct PendingSend {
    left: u8,
    due: Moment,
}

impl PendingSend {
    fn new(now: Moment) -> Self {
        Self {
            left: TRANSMISSIONS,
            due: now,
        }
    }
}

/// What is kept of a call after it has ended.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    pub(crate) id: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) caller: IpAddr,
}

/// Calls that crash engines, as known to this instance.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    quarantine: RefCell<Quarantine>,
    pending_sends: RefCell<BTreeMap<Fingerprint, PendingSend>>,
    /// Calls under which this instance saw crashes, and whose record in the store is outdated.
    unwritten: RefCell<BTreeSet<Fingerprint>>,
    /// Calls whose record in the store is too old to hold them.
    expired: RefCell<BTreeSet<Fingerprint>>,
    last_answered: RefCell<BTreeMap<SocketAddr, Moment>>,
    digest: Cell<u64>,
}

impl Suspects {
    /// How a call may be treated.
    pub(crate) fn verdict(&self, request: &Request, now: Moment) -> Verdict {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return Verdict::Clear;
        }
        quarantine.verdict(request.fingerprint(), now)
    }

    /// Whether engines crashed while running a call, so that another crash would matter.
    pub(crate) fn has_crashes(&self, request: &Request) -> bool {
        let quarantine = self.quarantine.borrow();
        !quarantine.is_empty() && quarantine.get(request.fingerprint()).is_some()
    }

    /// What is known of a call.
    pub(crate) fn get(&self, call: Fingerprint) -> Option<Entry> {
        self.quarantine.borrow().get(call).cloned()
    }

    /// Number of calls that are held, and of those that run alone.
    pub(crate) fn count(&self) -> (usize, usize) {
        let quarantine = self.quarantine.borrow();
        let held = quarantine.suspects().filter(|(_, entry)| entry.is_held());
        let held = held.count();
        (held, quarantine.suspects().count() - held)
    }

    /// Records that an engine crashed while running a call.
    pub(crate) fn on_crash(&self, subject: &Subject, engine: &Record, at: Moment) {
        let call = subject.fingerprint;
        let crash = Crash {
            engine: hash::hash32(&engine.id),
            build: engine.build(),
            at,
        };
        let caller = hash::hash32(&subject.caller.to_string());
        let was_held = self.is_held(call);
        if !self
            .quarantine
            .borrow_mut()
            .record_crash(call, caller, crash)
        {
            return;
        }
        let standing = self.get(call).map_or(0, |entry| entry.uncleared_crashes());
        log::info!(
            id = subject.id.as_str(), fingerprint = fingerprint_text(call), caller:% = subject.caller,
            engine = &*engine.id, ended = standing;
            "an engine ended with the call in hand"
        );
        self.on_changed(call, at);
        self.log_held_change(call, was_held, "own");
    }

    /// Records that an engine survived a call.
    pub(crate) fn on_good_run(&self, request: &Request, engine: &Record, now: Moment) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        let call = request.fingerprint();
        let good = GoodRun {
            build: engine.build(),
            at: now,
        };
        let is_news = self.quarantine.borrow_mut().record_good_run(call, good);
        if is_news {
            log::info!(
                id = request.call.id.as_str(), fingerprint = fingerprint_text(call), engine = &*engine.id;
                "a call that had engines end ran well"
            );
            self.on_changed(call, now);
        }
    }

    /// The entry of a held call with its trial begun, if a trial is due.
    pub(crate) fn trial(&self, call: Fingerprint, now: Moment) -> Option<Entry> {
        self.quarantine.borrow().next_trial(call, now)
    }

    /// Applies a trial that this instance has claimed.
    pub(crate) fn on_trial_claimed(&self, call: Fingerprint, entry: &Entry, now: Moment) {
        self.quarantine.borrow_mut().merge(call, entry);
        self.queue_news(call, now);
        self.update_digest();
    }

    /// Merges a suspect from a peer or from the store.
    pub(crate) fn merge(&self, suspect: &Suspect, source: &'static str, now: Moment) {
        let (call, entry) = frame::decode_suspect(suspect, now);
        let was_held = self.is_held(call);
        if self.quarantine.borrow_mut().merge(call, &entry) {
            self.update_digest();
            self.log_held_change(call, was_held, source);
        }
        // The sender has missed that the call was cleared or released.
        let standing = self.get(call).map_or(0, |known| known.uncleared_crashes());
        if standing < entry.uncleared_crashes() {
            let telling = PendingSend::new(now);
            self.pending_sends
                .borrow_mut()
                .entry(call)
                .or_insert(telling);
        }
    }

    /// Drops expired calls.
    pub(crate) fn expire(&self, now: Moment) {
        self.quarantine.borrow_mut().expire(now);
        let quarantine = self.quarantine.borrow();
        let is_known = |call: &Fingerprint| quarantine.get(*call).is_some();
        self.unwritten.borrow_mut().retain(is_known);
        self.pending_sends
            .borrow_mut()
            .retain(|call, _| is_known(call));
        drop(quarantine);
        self.update_digest();
    }

    /// Marks a call's record as too old to hold it.
    pub(crate) fn mark_expired(&self, call: Fingerprint) {
        self.expired.borrow_mut().insert(call);
    }

    /// The next call whose record is to be deleted.
    pub(crate) fn take_expired(&self) -> Option<Fingerprint> {
        self.expired.borrow_mut().pop_first()
    }

    /// Queues all held calls for writing, when the store may have lost them.
    pub(crate) fn mark_held_unwritten(&self) {
        let quarantine = self.quarantine.borrow();
        let held = quarantine.suspects().filter(|(_, entry)| entry.is_held());
        self.unwritten
            .borrow_mut()
            .extend(held.map(|(call, _)| call));
    }

    /// Calls whose record in the store is outdated, with the content to write.
    pub(crate) fn unwritten(&self) -> Vec<(Fingerprint, Entry)> {
        let quarantine = self.quarantine.borrow();
        let unwritten = self.unwritten.borrow();
        let entries = unwritten
            .iter()
            .filter_map(|call| Some((*call, quarantine.get(*call)?)));
        let suspects = entries.filter(|(_, entry)| entry.crashes.len() > 1);
        suspects
            .map(|(call, entry)| (call, entry.clone()))
            .collect()
    }

    /// Notes that the store has this entry. Changes since then stay unwritten.
    pub(crate) fn mark_written(&self, call: Fingerprint, entry: &Entry) {
        if self.get(call).as_ref() == Some(entry) {
            self.unwritten.borrow_mut().remove(&call);
        }
    }

    /// Changes to send to all now.
    pub(crate) fn take_news(&self, now: Moment) -> Vec<Suspect> {
        let mut news = self.pending_sends.borrow_mut();
        let due = news.iter().filter(|(_, telling)| telling.due <= now);
        let due: Vec<Fingerprint> = due
            .map(|(call, _)| *call)
            .take(MAX_SUSPECTS_PER_FRAME)
            .collect();
        for call in &due {
            if let Some(telling) = news.get_mut(call) {
                telling.left -= 1;
                telling.due = now + RESEND_INTERVAL;
            }
        }
        news.retain(|_, telling| telling.left > 0);
        let quarantine = self.quarantine.borrow();
        let entries = due
            .iter()
            .filter_map(|call| Some((*call, quarantine.get(*call)?)));
        entries
            .map(|(call, entry)| frame::encode_suspect(call, entry, now))
            .collect()
    }

    /// Digest of what all instances must know.
    pub(crate) fn digest(&self) -> u64 {
        self.digest.get()
    }

    fn is_held(&self, call: Fingerprint) -> bool {
        let quarantine = self.quarantine.borrow();
        quarantine.get(call).is_some_and(Entry::is_held)
    }

    fn on_changed(&self, call: Fingerprint, now: Moment) {
        self.unwritten.borrow_mut().insert(call);
        self.queue_news(call, now);
        self.update_digest();
    }

    fn queue_news(&self, call: Fingerprint, now: Moment) {
        self.pending_sends
            .borrow_mut()
            .insert(call, PendingSend::new(now));
    }

    fn update_digest(&self) {
        self.digest.set(self.quarantine.borrow().digest());
    }

    fn log_held_change(&self, call: Fingerprint, was_held: bool, source: &str) {
        let is_held = self.is_held(call);
        if is_held != was_held {
            let what = if is_held {
                "a call is held"
            } else {
                "a call is no longer held"
            };
            log::warn!(fingerprint = fingerprint_text(call), source = source; "{what}");
        }
    }

    /// Whether an instance may be sent what it lacks now.
    fn is_answer_due(&self, to: SocketAddr, now: Moment) -> bool {
        let mut last_answered = self.last_answered.borrow_mut();
        last_answered.retain(|_, at| now.saturating_sub(*at) < ANSWER_INTERVAL);
        last_answered.insert(to, now).is_none()
    }
}

/// A fingerprint as it appears in logs, commands and the store's keys.
pub(crate) fn fingerprint_text(call: Fingerprint) -> String {
    format!("{call:032x}")
}

/// What the sender of this state lacks, if its digest differs.
///
/// Placers answer anyone that differs. Other instances receive states from placers only, and send
/// them what they saw themselves.
pub(crate) fn missing_suspects(
    instance: &Instance,
    from: SocketAddr,
    state: &State,
) -> Option<Frame> {
    let suspects = &instance.suspects;
    if state.suspects_digest == suspects.digest() || suspects.digest() == 0 {
        return None;
    }
    let now = now(instance);
    let is_placing = instance.is_placing();
    let missing = {
        let quarantine = suspects.quarantine.borrow();
        let unwritten = suspects.unwritten.borrow();
        let suspects = quarantine
            .suspects()
            .filter(|(call, _)| is_placing || unwritten.contains(call));
        let suspects = suspects.map(|(call, entry)| frame::encode_suspect(call, entry, now));
        suspects
            .take(MAX_SUSPECTS_PER_FRAME)
            .collect::<Vec<Suspect>>()
    };
    if missing.is_empty() || !suspects.is_answer_due(from, now) {
        return None;
    }
    Some(Frame {
        suspects: missing,
        ..instance.frame()
    })
}
