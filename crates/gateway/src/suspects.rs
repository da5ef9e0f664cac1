//! Calls and parts of prompts that crash engines, as known to this instance, and their exchange with
//! the others. [`serving::quarantine`] decides how calls with them are treated.
//!
//! They may come again at any instance, so all must know of it within the time in which live
//! peers hear of each other: changes are sent to all at once, and a second time, since datagrams
//! are lost. What is lost nevertheless shows in a digest that every state carries; placers then
//! send what the other lacks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use clock::Moment;
use serving::engine::Record;
use serving::fingerprint::{Fingerprint, PartFingerprints};
use serving::hash;
use serving::quarantine::{Crash, Entry, GoodRun, HOLD_CRASHES, Judgement, Quarantine};
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
/// Time over which instances spread their corrections of one that has missed something. All of them
/// may know better; the first to say so spares the others.
const CORRECTION_SPREAD: Duration = Duration::from_millis(250);
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
    /// Whether it corrects what another instance sent, which others may do as well.
    is_correction: bool,
}

impl PendingSend {
    fn new(now: Moment) -> Self {
        Self {
            left: TRANSMISSIONS,
            due: now,
            is_correction: false,
        }
    }

    fn correction(now: Moment) -> Self {
        Self {
            due: now + CORRECTION_SPREAD.mul_f64(rand::random()),
            is_correction: true,
            ..Self::new(now)
        }
    }
}

/// What is kept of a call after it has ended.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    pub(crate) id: String,
    pub(crate) fingerprint: Fingerprint,
    /// Parts of its prompt that may have crashed its engine.
    pub(crate) parts: PartFingerprints,
    pub(crate) caller: IpAddr,
}

/// Calls and parts of prompts that crash engines, as known to this instance.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    quarantine: RefCell<Quarantine>,
    pending_sends: RefCell<BTreeMap<Fingerprint, PendingSend>>,
    /// Suspects with which this instance saw crashes, and whose record in the store is outdated.
    unwritten: RefCell<BTreeSet<Fingerprint>>,
    /// Parts that the store may have a record of, since they were one crash short of being held.
    stored_parts: RefCell<BTreeSet<Fingerprint>>,
    /// Calls whose record in the store is too old to hold them.
    expired: RefCell<BTreeSet<Fingerprint>>,
    last_answered: RefCell<BTreeMap<SocketAddr, Moment>>,
    digest: Cell<u64>,
}

impl Suspects {
    /// How a call may be treated; `None` if nothing speaks against it.
    pub(crate) fn judge(&self, request: &Request, now: Moment) -> Option<Judgement> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return None;
        }
        quarantine.judge(&request.suspects(), now)
    }

    /// Whether engines crashed while running a call or one with a part of its prompt, so that
    /// another crash would matter.
    pub(crate) fn has_crashes(&self, request: &Request) -> bool {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return false;
        }
        let has_uncleared = |part: &Fingerprint| {
            let entry = quarantine.get(*part);
            entry.is_some_and(|entry| entry.uncleared_crashes() > 0)
        };
        quarantine.get(request.fingerprint()).is_some()
            || request.shared_parts().iter().any(has_uncleared)
    }

    /// Whether one more crash may hold a call, so that it is sent again only once it is known whether
    /// there was one.
    pub(crate) fn may_be_held_next(&self, request: &Request) -> bool {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return false;
        }
        let is_close = |part: &Fingerprint| {
            let entry = quarantine.get(*part);
            entry.is_some_and(|entry| entry.evidence() + 1 >= HOLD_CRASHES)
        };
        quarantine.get(request.fingerprint()).is_some()
            || request.shared_parts().iter().any(is_close)
    }

    /// What is known of a call or a part.
    pub(crate) fn get(&self, call: Fingerprint) -> Option<Entry> {
        self.quarantine.borrow().get(call).cloned()
    }

    /// Number of calls and parts that are held, and of those that are one crash short of it.
    pub(crate) fn count(&self) -> (usize, usize) {
        let quarantine = self.quarantine.borrow();
        let is_held = |suspect: &(Fingerprint, &Entry)| quarantine.is_held(suspect.0);
        let held = quarantine.suspects().filter(is_held).count();
        (held, quarantine.suspects().count() - held)
    }

    /// Records that an engine crashed while running a call.
    pub(crate) fn on_crash(&self, subject: &Subject, engine: &Record, at: Moment) {
        let crash = Crash {
            engine: hash::hash32(&engine.id),
            build: engine.build(),
            at,
            call: 0,
        };
        let caller = hash::hash32(&subject.caller.to_string());
        let call = subject.fingerprint;
        let record = |quarantine: &mut Quarantine| quarantine.record_crash(call, caller, crash);
        if let Some(ended) = self.change(call, at, record) {
            log::info!(
                id = subject.id.as_str(), fingerprint = fingerprint_text(call), caller:% = subject.caller,
                engine = &*engine.id, ended = ended;
                "an engine ended with the call in hand"
            );
        }
        let crash = Crash {
            call: hash::hash32(&fingerprint_text(call)),
            ..crash
        };
        for (part, position) in subject.parts.iter().zip(0..) {
            let record = |quarantine: &mut Quarantine| {
                quarantine.record_part_crash(*part, position, caller, crash)
            };
            if let Some(ended) = self.change(*part, at, record) {
                log::info!(
                    id = subject.id.as_str(), fingerprint = fingerprint_text(*part), position = position,
                    caller:% = subject.caller, engine = &*engine.id, ended = ended;
                    "an engine ended that was to begin a call with the part"
                );
            }
        }
    }

    /// Records that an engine survived a call.
    pub(crate) fn on_good_run(&self, request: &Request, engine: &Record, now: Moment) {
        if !self.quarantine.borrow().is_empty() {
            self.record_good_run(request, request.fingerprint(), engine, now);
        }
    }

    /// Records that an engine survived the start of a call, and so the parts of its prompt.
    pub(crate) fn on_parts_survived(&self, request: &Request, engine: &Record, now: Moment) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        for part in request.shared_parts() {
            self.record_good_run(request, *part, engine, now);
        }
    }

    fn record_good_run(
        &self,
        request: &Request,
        suspect: Fingerprint,
        engine: &Record,
        now: Moment,
    ) {
        let good = GoodRun {
            build: engine.build(),
            at: now,
        };
        let record = |quarantine: &mut Quarantine| quarantine.record_good_run(suspect, good);
        if self.change(suspect, now, record).is_some() {
            log::info!(
                id = request.call.id.as_str(), fingerprint = fingerprint_text(suspect), engine = &*engine.id;
                "a call that had engines end ran well"
            );
        }
    }

    /// Applies a change that this instance saw. If it is news to the others, queues it for them and
    /// returns the number of crashes that count now.
    fn change(
        &self,
        suspect: Fingerprint,
        now: Moment,
        apply: impl FnOnce(&mut Quarantine) -> bool,
    ) -> Option<usize> {
        let held_before = self.held();
        if !apply(&mut self.quarantine.borrow_mut()) {
            return None;
        }
        self.unwritten.borrow_mut().insert(suspect);
        self.queue_news(suspect, now);
        self.update_digest();
        self.log_held_changes(&held_before, "own");
        Some(self.get(suspect).map_or(0, |entry| entry.evidence()))
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

    /// Merges a suspect from a peer or from the store, which may have waited for up to `max_wait`.
    pub(crate) fn merge(
        &self,
        suspect: &Suspect,
        source: &'static str,
        max_wait: Duration,
        now: Moment,
    ) {
        let (suspect, entry) = frame::decode_suspect(suspect, now);
        let entry = entry.after_wait(max_wait);
        let held_before = self.held();
        if self.quarantine.borrow_mut().merge(suspect, &entry) {
            self.update_digest();
            self.log_held_changes(&held_before, source);
        }
        self.correct(suspect, &entry, now);
    }

    /// Queues what the sender of an entry has missed: that the suspect was cleared or released. A
    /// part that is no suspect is not worth the messages of all instances that know better.
    fn correct(&self, suspect: Fingerprint, received: &Entry, now: Moment) {
        let standing = self.get(suspect).map_or(0, |known| known.evidence());
        let mut pending = self.pending_sends.borrow_mut();
        if standing < received.evidence() {
            if !received.is_part() || received.is_suspect() {
                let correction = PendingSend::correction(now);
                pending.entry(suspect).or_insert(correction);
            }
        } else if pending.get(&suspect).is_some_and(|send| send.is_correction) {
            // Another instance was first.
            pending.remove(&suspect);
        }
    }

    /// Drops what has expired.
    pub(crate) fn expire(&self, now: Moment) {
        self.quarantine.borrow_mut().expire(now);
        let quarantine = self.quarantine.borrow();
        let is_known = |call: &Fingerprint| quarantine.get(*call).is_some();
        self.unwritten.borrow_mut().retain(is_known);
        self.stored_parts.borrow_mut().retain(is_known);
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
        self.unwritten.borrow_mut().extend(self.held());
    }

    /// Suspects whose record in the store is outdated, with the content to write.
    pub(crate) fn unwritten(&self) -> Vec<(Fingerprint, Entry)> {
        let quarantine = self.quarantine.borrow();
        let unwritten = self.unwritten.borrow();
        let entries = unwritten
            .iter()
            .filter_map(|call| Some((*call, quarantine.get(*call)?)));
        let stored_parts = self.stored_parts.borrow();
        let is_worth_writing = |call: Fingerprint, entry: &Entry| match entry.is_part() {
            true => stored_parts.contains(&call),
            false => entry.crashes.len() > 1,
        };
        let suspects = entries.filter(|(call, entry)| is_worth_writing(*call, entry));
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

    fn held(&self) -> BTreeSet<Fingerprint> {
        self.quarantine.borrow().held().clone()
    }

    fn queue_news(&self, call: Fingerprint, now: Moment) {
        self.pending_sends
            .borrow_mut()
            .insert(call, PendingSend::new(now));
    }

    /// Follows a change of what is known.
    fn update_digest(&self) {
        let quarantine = self.quarantine.borrow();
        self.digest.set(quarantine.digest());
        let parts = quarantine.suspects().filter(|(_, entry)| entry.is_part());
        self.stored_parts
            .borrow_mut()
            .extend(parts.map(|(part, _)| part));
    }

    fn log_held_changes(&self, before: &BTreeSet<Fingerprint>, source: &str) {
        let quarantine = self.quarantine.borrow();
        for suspect in before.symmetric_difference(quarantine.held()) {
            let is_part = quarantine.get(*suspect).is_some_and(Entry::is_part);
            let what = match (is_part, quarantine.is_held(*suspect)) {
                (false, true) => "a call is held",
                (false, false) => "a call is no longer held",
                (true, true) => "a part of prompts is held",
                (true, false) => "a part of prompts is no longer held",
            };
            log::warn!(fingerprint = fingerprint_text(*suspect), source = source; "{what}");
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
