//! Detects calls, and parts of prompts, that crash the engines that run them, and keeps them from
//! engines for a while.
//!
//! A caller may repeat, under new ids and at any instance, a call that crashes every engine that
//! begins to run it; or calls that are no repeats of each other share a part of their prompts that
//! does. Each crash also cuts the engine's other calls and takes it away for seconds; the sign is
//! engines that end one after the other, each with a call in progress that had no event yet. A
//! crashed engine does not say which call ended it, so every call in progress is recorded, and the
//! parts of those that were about to begin; what only ran beside the fatal one runs well the next
//! time, which clears it. No agreement is needed: each instance reports what it saw to all others,
//! and the entries merge in any order. See `docs/design/quarantine.md`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;

use crate::fingerprint::Fingerprint;
use crate::hash;

mod entry;

pub use entry::{
    Build, Builds, Caller, Crash, Entry, GoodRun, HOLD_CRASHES, Kind, SEVERAL_CALLS,
    TRIAL_CLAIM_TIMEOUT, Verdict,
};

/// How long a call is held before its first trial if other calls saw the same engines crash: at
/// most one of them is to blame, and the rest would be held for nothing. They are tried one after
/// the other, this far apart, which is longer than most calls run.
///
/// A call that many callers send runs on all engines at once. If a fatal one ends three engines
/// within a tenth of a second, no run ends well in between, and a whole route would be refused for
/// as long as the hold lasts.
const SHARED_CRASH_HOLD: Duration = Duration::from_secs(1);
/// Suspects of either kind remembered in total, at some hundred bytes each.
const MAX_SUSPECTS: usize = 1_024;
/// Suspects of either kind remembered per caller, so that one caller cannot evict those of others.
const MAX_SUSPECTS_PER_CALLER: usize = 64;
/// Retry-after of a call that has a held part beside one whose trial is due.
const OTHER_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// The verdict on a call, and the suspect in it that decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judgement {
    /// The call or one of the parts of its prompt.
    pub suspect: Fingerprint,
    /// How the call may be placed.
    pub verdict: Verdict,
}

impl Judgement {
    /// The judgement on a call with both suspects in it.
    fn and(self, other: Self) -> Self {
        let (first, second) = match (&self.verdict, &other.verdict) {
            (Verdict::Held { .. }, _) => (self, other),
            (_, Verdict::Held { .. }) => (other, self),
            (Verdict::TrialDue, _) => return self,
            (_, Verdict::TrialDue) => return other,
            (Verdict::Suspected, _) => return self,
            (_, Verdict::Suspected | Verdict::Clear) => return other,
        };
        let Verdict::Held { after, good_builds } = first.verdict else {
            return first;
        };
        let (after, good_builds) = match second.verdict {
            Verdict::Held {
                after: other_after,
                good_builds: others,
            } => {
                let both = good_builds
                    .into_iter()
                    .filter(|build| others.contains(build));
                (after.max(other_after), both.collect())
            }
            Verdict::TrialDue => (after.max(OTHER_TRIAL_WAIT), Builds::new()),
            Verdict::Suspected | Verdict::Clear => (after, good_builds),
        };
        Self {
            suspect: first.suspect,
            verdict: Verdict::Held { after, good_builds },
        }
    }
}

/// The calls, and the parts of prompts, with which engines ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Suspects that are held, or were until their trials became due. Follows from the entries.
    held: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// Whether nothing is remembered, so that no fingerprint has to be computed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a suspect.
    pub fn get(&self, suspect: Fingerprint) -> Option<&Entry> {
        self.entries.get(&suspect)
    }

    /// Whether a suspect is held, or was until its trial became due.
    pub fn is_held(&self, suspect: Fingerprint) -> bool {
        self.held.contains(&suspect)
    }

    /// Suspects that are held, or were until their trials became due.
    pub fn held(&self) -> &BTreeSet<Fingerprint> {
        &self.held
    }

    /// How a call may be placed now, as far as this suspect is concerned.
    pub fn verdict(&self, suspect: Fingerprint, now: Moment) -> Verdict {
        let Some(entry) = self.get(suspect) else {
            return Verdict::Clear;
        };
        if !self.is_held(suspect) {
            return entry.verdict_unless_held();
        }
        entry.verdict_while_held(self.hold(suspect, entry), now)
    }

    /// How a call may be placed now, given its own fingerprint and those of the parts of its prompt.
    /// `None` if nothing speaks against it.
    pub fn judge(&self, suspects: &[Fingerprint], now: Moment) -> Option<Judgement> {
        let judgements = suspects.iter().map(|suspect| Judgement {
            suspect: *suspect,
            verdict: self.verdict(*suspect, now),
        });
        let against = judgements.filter(|judgement| judgement.verdict != Verdict::Clear);
        against.reduce(Judgement::and)
    }

    /// Records that an engine ended with a call in progress. Returns whether this is new.
    pub fn record_crash(&mut self, call: Fingerprint, caller: Caller, crash: Crash) -> bool {
        self.add_crash(call, Kind::Call, caller, crash)
    }

    /// Records that an engine ended as it was about to generate after a prompt with this part.
    /// Returns whether this is new.
    pub fn record_part_crash(
        &mut self,
        part: Fingerprint,
        position: u32,
        caller: Caller,
        crash: Crash,
    ) -> bool {
        self.add_crash(part, Kind::Part { position }, caller, crash)
    }

    fn add_crash(
        &mut self,
        suspect: Fingerprint,
        kind: Kind,
        caller: Caller,
        crash: Crash,
    ) -> bool {
        let was_held = self.is_held(suspect);
        let entry = self.entry(suspect, kind, caller);
        let is_trial_failed = was_held && entry.last_trial.is_some_and(|tried| crash.at >= tried);
        let is_new = entry.add_crash(crash);
        if is_new && is_trial_failed {
            entry.failed_trials = entry.failed_trials.saturating_add(1).min(entry.trials);
        }
        self.on_changed(suspect);
        is_new
    }

    /// Records that an engine survived a run of a suspect. Returns whether other instances should be
    /// told.
    pub fn record_good_run(&mut self, suspect: Fingerprint, good: GoodRun) -> bool {
        let Some(entry) = self.entries.get_mut(&suspect) else {
            return false;
        };
        let was_announced = !entry.is_part() || entry.is_suspect();
        let is_cleared = entry.add_good_run(good);
        self.on_changed(suspect);
        is_cleared && was_announced
    }

    /// The entry of a call as it will be once the trial that is due now has begun. Nothing is
    /// recorded yet: if a claim of the trial fails, a recorded trial would hold the call until the
    /// next one, twenty times as long.
    pub fn next_trial(&self, call: Fingerprint, now: Moment) -> Option<Entry> {
        if self.verdict(call, now) != Verdict::TrialDue {
            return None;
        }
        let mut entry = self.get(call)?.clone();
        entry.trials = entry.trials.saturating_add(1);
        entry.last_trial = Some(now);
        Some(entry)
    }

    /// Records that a trial of a call begins, if one is due. Returns whether the caller of this
    /// function may run it.
    pub fn begin_trial(&mut self, call: Fingerprint, now: Moment) -> bool {
        let entry = self.next_trial(call, now);
        entry.is_some_and(|entry| self.merge(call, &entry))
    }

    /// Records that an operator released a call. Returns whether the call is known.
    pub fn release(&mut self, call: Fingerprint, now: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(&call) else {
            return false;
        };
        entry.released = Some(now);
        self.on_changed(call);
        true
    }

    /// Merges what another instance knows of a suspect. Returns whether anything is new.
    pub fn merge(&mut self, suspect: Fingerprint, other: &Entry) -> bool {
        let is_news = self.entry(suspect, other.kind, other.caller).merge(other);
        self.on_changed(suspect);
        is_news
    }

    /// What all instances must know: held suspects, and those one crash short of it.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &Entry)> {
        let entries = self
            .entries
            .iter()
            .map(|(suspect, entry)| (*suspect, entry));
        entries.filter(|(_, entry)| entry.is_suspect())
    }

    /// Digest of the suspects. Two instances with the same digest judge all calls alike.
    pub fn digest(&self) -> u64 {
        self.suspects().fold(0, |digest, (call, entry)| {
            let standing = entry.evidence().min(HOLD_CRASHES);
            digest
                ^ hash::hash64(&format!(
                    "{call:x} {standing} {} {}",
                    entry.trials, entry.failed_trials
                ))
        })
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Moment) {
        let held = &self.held;
        let is_kept = |suspect: &Fingerprint, entry: &mut Entry| {
            !entry.is_expired(held.contains(suspect), now)
        };
        self.entries.retain(is_kept);
        self.update_held();
    }

    /// Updates what is held if a change of this suspect may matter to that.
    fn on_changed(&mut self, suspect: Fingerprint) {
        let entry = self.get(suspect);
        let may_matter =
            entry.is_some_and(|entry| entry.evidence() >= HOLD_CRASHES || entry.released.is_some());
        if may_matter || self.is_held(suspect) {
            self.update_held();
        }
    }

    /// Decides what is held. An engine that ended has one cause, but all calls that it ran have a crash
    /// more, and so have all parts of those that it was about to run. A part is not held for the crashes
    /// of one call, nor for those of held parts that come later in prompts, which fewer prompts have,
    /// nor for those of which an operator has released another suspect. A call is not held for the
    /// crashes of held parts.
    fn update_held(&mut self) {
        let candidates = self.entries.iter();
        let candidates = candidates.filter(|(_, entry)| entry.evidence() >= HOLD_CRASHES);
        let (mut parts, calls): (Vec<_>, Vec<_>) =
            candidates.partition(|(_, entry)| entry.is_part());
        parts.sort_by_key(|(suspect, entry)| (Reverse(entry.position()), **suspect));
        let released = self.entries.values().flat_map(Entry::released_engines);
        let mut explained: BTreeSet<u32> = released.collect();
        let mut held = BTreeSet::new();
        let mut crashed_by_parts = BTreeSet::new();
        for (suspect, part) in parts {
            if !part.is_of_one_call() && part.evidence_beyond(&explained) >= HOLD_CRASHES {
                held.insert(*suspect);
                explained.extend(part.uncleared_engines());
                crashed_by_parts.extend(part.uncleared_engines());
            }
        }
        let calls = calls
            .into_iter()
            .filter(|(_, call)| call.evidence_beyond(&crashed_by_parts) >= HOLD_CRASHES);
        held.extend(calls.map(|(suspect, _)| *suspect));
        self.held = held;
    }

    /// How long a held call is held. Calls that share crashes are tried one after the other, in an
    /// order common to all instances.
    fn hold(&self, call: Fingerprint, entry: &Entry) -> Duration {
        if entry.counted_trials() > 0 || entry.is_part() {
            return entry.hold();
        }
        let others = self
            .entries
            .iter()
            .filter(|(other, known)| **other != call && !known.is_part() && self.is_held(**other));
        let sharing = others.filter(|(_, other)| entry.shares_crashes(other));
        let (mut count, mut preceding) = (0, 0);
        for (other, _) in sharing {
            count += 1;
            preceding += u32::from(*other < call);
        }
        if count == 0 {
            return entry.hold();
        }
        // Earlier trials may still be running, so further ones are spaced by growing intervals.
        let backoff = 2u32.saturating_pow(entry.trials);
        let hold = SHARED_CRASH_HOLD.saturating_mul((preceding + 1).saturating_mul(backoff));
        hold.min(entry.hold())
    }

    /// The entry of a suspect, created if missing. If there is no room for its kind, the least
    /// relevant entry of the same caller is evicted if that caller is at its limit, or else the least
    /// relevant of all.
    fn entry(&mut self, suspect: Fingerprint, kind: Kind, caller: Caller) -> &mut Entry {
        let added = Entry {
            kind,
            caller,
            ..Entry::default()
        };
        if !self.entries.contains_key(&suspect) {
            let is_alike = |entry: &Entry| entry.is_part() == added.is_part();
            let is_same_caller = |entry: &Entry| is_alike(entry) && entry.caller == caller;
            if self.count(is_same_caller) >= MAX_SUSPECTS_PER_CALLER {
                self.evict_least(is_same_caller);
            } else if self.count(is_alike) >= MAX_SUSPECTS {
                self.evict_least(is_alike);
            }
        }
        self.entries.entry(suspect).or_insert(added)
    }

    fn count(&self, is_counted: impl Fn(&Entry) -> bool) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| is_counted(entry)).count()
    }

    fn evict_least(&mut self, is_candidate: impl Fn(&Entry) -> bool) {
        let candidates = self.entries.iter().filter(|(_, entry)| is_candidate(entry));
        let least =
            candidates.min_by_key(|(_, entry)| (entry.uncleared_crashes(), entry.last_event()));
        if let Some(suspect) = least.map(|(suspect, _)| *suspect) {
            self.entries.remove(&suspect);
            self.on_changed(suspect);
        }
    }
}
