//! What this instance knows of calls that end engines, and what it tells the others of them. What is done with such a call
//! is decided in [`serving::quarantine`].
//!
//! A call comes again at any instance, so that all must know within the time in which one that is whole is heard of: news is
//! told to all at once, and once more, since datagrams are lost. What is lost all the same shows in a digest that every state
//! bears; whoever places calls tells what the other lacks.

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

/// Times that news is told.
const TELLINGS: u8 = 2;
/// Pause between two tellings, so that what loses the first does not lose the second.
const PACE: Duration = Duration::from_millis(350);
/// Most calls in one frame, a hundred bytes each: a datagram of several packets is lost with any of them.
const MOST: usize = 32;
/// Pause between two answers to one instance that lacks something: the first may be on its way.
const ANSWER_PACE: Duration = Duration::from_millis(600);

/// The moment of this process's start on the clock by which calls are remembered. What instances and the store tell may be older than
/// the process; it must keep its order, or a good run of long ago would clear the ends after it. Longer than a call is held.
pub(crate) const START: Moment = Duration::from_secs(2 * 24 * 60 * 60);

/// The present moment on the clock by which calls are remembered.
pub(crate) fn now(instance: &Instance) -> Moment {
    START + instance.now()
}

/// News that is still to be told.
#[derive(Clone, Copy, Debug)]
struct Telling {
    left: u8,
    due: Moment,
}

impl Telling {
    fn new(now: Moment) -> Self {
        Self {
            left: TELLINGS,
            due: now,
        }
    }
}

/// A call as it is remembered once it has ended.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    pub(crate) id: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) caller: IpAddr,
}

/// The calls that end engines, as this instance knows them.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    quarantine: RefCell<Quarantine>,
    news: RefCell<BTreeMap<Fingerprint, Telling>>,
    /// Calls under which this instance saw engines end, and whose record in the store is behind.
    unwritten: RefCell<BTreeSet<Fingerprint>>,
    /// Calls whose record in the store is so old that it holds nobody.
    old: RefCell<BTreeSet<Fingerprint>>,
    answered: RefCell<BTreeMap<SocketAddr, Moment>>,
    digest: Cell<u64>,
}

impl Suspects {
    /// What may be done with a call.
    pub(crate) fn verdict(&self, asked: &Request, now: Moment) -> Verdict {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return Verdict::Clear;
        }
        quarantine.verdict(asked.fingerprint(), now)
    }

    /// Whether engines ended with a call in hand, so that one more would matter.
    pub(crate) fn is_noted(&self, asked: &Request) -> bool {
        let quarantine = self.quarantine.borrow();
        !quarantine.is_empty() && quarantine.get(asked.fingerprint()).is_some()
    }

    /// What is known of a call.
    pub(crate) fn get(&self, call: Fingerprint) -> Option<Entry> {
        self.quarantine.borrow().get(call).cloned()
    }

    /// Calls that are held, and those that go alone.
    pub(crate) fn count(&self) -> (usize, usize) {
        let quarantine = self.quarantine.borrow();
        let held = quarantine.suspects().filter(|(_, entry)| entry.is_held());
        let held = held.count();
        (held, quarantine.suspects().count() - held)
    }

    /// Takes in that engines ended with a call in hand.
    pub(crate) fn crashed(&self, subject: &Subject, engine: &Record, at: Moment) {
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
            id = subject.id.as_str(), fingerprint = text(call), caller:% = subject.caller,
            engine = &*engine.id, ended = standing;
            "an engine ended with the call in hand"
        );
        self.changed(call, at);
        self.note_held(call, was_held, "own");
    }

    /// Takes in that an engine outlived a run of a call.
    pub(crate) fn ended_well(&self, asked: &Request, engine: &Record, now: Moment) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        let call = asked.fingerprint();
        let good = GoodRun {
            build: engine.build(),
            at: now,
        };
        let is_news = self.quarantine.borrow_mut().record_good_run(call, good);
        if is_news {
            log::info!(
                id = asked.call.id.as_str(), fingerprint = text(call), engine = &*engine.id;
                "a call that had engines end ran well"
            );
            self.changed(call, now);
        }
    }

    /// What is known of a held call once it is tried, if its trial is due.
    pub(crate) fn trial(&self, call: Fingerprint, now: Moment) -> Option<Entry> {
        self.quarantine.borrow().next_trial(call, now)
    }

    /// Takes in that this instance tries a held call, since its claim stands.
    pub(crate) fn begun_trial(&self, call: Fingerprint, entry: &Entry, now: Moment) {
        self.quarantine.borrow_mut().merge(call, entry);
        self.news(call, now);
        self.count_digest();
    }

    /// Merges a suspect from a peer or from the store.
    pub(crate) fn merge(&self, told: &Suspect, source: &'static str, now: Moment) {
        let (call, entry) = frame::suspect(told, now);
        let was_held = self.is_held(call);
        if self.quarantine.borrow_mut().merge(call, &entry) {
            self.count_digest();
            self.note_held(call, was_held, source);
        }
        // Whoever told this has missed that the call was cleared, or let go.
        let standing = self.get(call).map_or(0, |known| known.uncleared_crashes());
        if standing < entry.uncleared_crashes() {
            let telling = Telling::new(now);
            self.news.borrow_mut().entry(call).or_insert(telling);
        }
    }

    /// Drops calls whose time is over.
    pub(crate) fn expire(&self, now: Moment) {
        self.quarantine.borrow_mut().expire(now);
        let quarantine = self.quarantine.borrow();
        let lives = |call: &Fingerprint| quarantine.get(*call).is_some();
        self.unwritten.borrow_mut().retain(lives);
        self.news.borrow_mut().retain(|call, _| lives(call));
        drop(quarantine);
        self.count_digest();
    }

    /// Takes in that the record of a call is so old that it holds nobody.
    pub(crate) fn note_old(&self, call: Fingerprint) {
        self.old.borrow_mut().insert(call);
    }

    /// A call whose record is to be deleted.
    pub(crate) fn take_old(&self) -> Option<Fingerprint> {
        self.old.borrow_mut().pop_first()
    }

    /// Takes in that the store may have lost what it knew of held calls.
    pub(crate) fn write_again(&self) {
        let quarantine = self.quarantine.borrow();
        let held = quarantine.suspects().filter(|(_, entry)| entry.is_held());
        self.unwritten
            .borrow_mut()
            .extend(held.map(|(call, _)| call));
    }

    /// Calls whose record in the store is behind, with what it should say.
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

    /// Takes in that the store has this of a call. What has changed since stays to be written.
    pub(crate) fn written(&self, call: Fingerprint, entry: &Entry) {
        if self.get(call).as_ref() == Some(entry) {
            self.unwritten.borrow_mut().remove(&call);
        }
    }

    /// What is to be told to all now.
    pub(crate) fn take_news(&self, now: Moment) -> Vec<Suspect> {
        let mut news = self.news.borrow_mut();
        let due = news.iter().filter(|(_, telling)| telling.due <= now);
        let due: Vec<Fingerprint> = due.map(|(call, _)| *call).take(MOST).collect();
        for call in &due {
            if let Some(telling) = news.get_mut(call) {
                telling.left -= 1;
                telling.due = now + PACE;
            }
        }
        news.retain(|_, telling| telling.left > 0);
        let quarantine = self.quarantine.borrow();
        let told = due
            .iter()
            .filter_map(|call| Some((*call, quarantine.get(*call)?)));
        told.map(|(call, entry)| frame::told_suspect(call, entry, now))
            .collect()
    }

    /// Digest of what all must know.
    pub(crate) fn digest(&self) -> u64 {
        self.digest.get()
    }

    fn is_held(&self, call: Fingerprint) -> bool {
        let quarantine = self.quarantine.borrow();
        quarantine.get(call).is_some_and(Entry::is_held)
    }

    fn changed(&self, call: Fingerprint, now: Moment) {
        self.unwritten.borrow_mut().insert(call);
        self.news(call, now);
        self.count_digest();
    }

    fn news(&self, call: Fingerprint, now: Moment) {
        self.news.borrow_mut().insert(call, Telling::new(now));
    }

    fn count_digest(&self) {
        self.digest.set(self.quarantine.borrow().digest());
    }

    fn note_held(&self, call: Fingerprint, was_held: bool, source: &str) {
        let is_held = self.is_held(call);
        if is_held != was_held {
            let what = if is_held {
                "a call is held"
            } else {
                "a call is no longer held"
            };
            log::warn!(fingerprint = text(call), source = source; "{what}");
        }
    }

    /// Whether an instance is to be told now what it lacks.
    fn is_answer_due(&self, to: SocketAddr, now: Moment) -> bool {
        let mut answered = self.answered.borrow_mut();
        answered.retain(|_, at| now.saturating_sub(*at) < ANSWER_PACE);
        answered.insert(to, now).is_none()
    }
}

/// A fingerprint as logs, operators and the store's keys have it.
pub(crate) fn text(call: Fingerprint) -> String {
    format!("{call:032x}")
}

/// What an instance that sent this state is to be told, if it knows other calls than this one does.
///
/// Those that place calls tell whoever differs. Any other instance hears of placers only, and tells them what it saw itself.
pub(crate) fn lacking(instance: &Instance, from: SocketAddr, state: &State) -> Option<Frame> {
    let suspects = &instance.suspects;
    if state.suspects_digest == suspects.digest() || suspects.digest() == 0 {
        return None;
    }
    let now = now(instance);
    let is_placing = instance.is_placing();
    let told = {
        let quarantine = suspects.quarantine.borrow();
        let unwritten = suspects.unwritten.borrow();
        let told = quarantine
            .suspects()
            .filter(|(call, _)| is_placing || unwritten.contains(call));
        let told = told.map(|(call, entry)| frame::told_suspect(call, entry, now));
        told.take(MOST).collect::<Vec<Suspect>>()
    };
    if told.is_empty() || !suspects.is_answer_due(from, now) {
        return None;
    }
    Some(Frame {
        suspects: told,
        ..instance.frame()
    })
}
