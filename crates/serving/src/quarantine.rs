//! Detects calls that crash the engines that run them, and keeps them from engines for a while.
//!
//! A caller may repeat, under new ids and at any instance, a call that crashes every engine that
//! begins to run it. Each crash also cuts the engine's other calls and takes it away for seconds;
//! the sign is engines that end one after the other, each with a call in progress that had no event
//! yet. A crashed engine does not say which call ended it, so every call in progress is recorded;
//! calls that only ran beside the fatal one run well the next time, which clears them. No agreement
//! is needed: each instance reports what it saw to all others, and the entries merge in any order.
//! See `docs/design/quarantine.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

use crate::fingerprint::Fingerprint;
use crate::hash;

mod entry;

use entry::ISOLATE_CRASHES;
pub use entry::{Build, Builds, Caller, Crash, Entry, GoodRun, HOLD_CRASHES, Verdict};

/// How long a call is held before its first trial if other calls saw the same engines crash: at
/// most one of them is to blame, and the rest would be held for nothing. They are tried one after
/// the other, this far apart, which is longer than most calls run.
///
/// A call that many callers send runs on all engines at once. If a fatal one ends three engines
/// within a tenth of a second, no run ends well in between, and a whole route would be refused for
/// as long as the hold lasts.
const SHARED_CRASH_HOLD: Duration = Duration::from_secs(1);
/// Calls remembered in total, at some hundred bytes each.
const MAX_CALLS: usize = 1_024;
/// Calls remembered per caller, so that one caller cannot evict those of others.
const MAX_CALLS_PER_CALLER: usize = 64;

/// The calls during which engines ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Whether no call is remembered, so that no fingerprint has to be computed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a call.
    pub fn get(&self, call: Fingerprint) -> Option<&Entry> {
        self.entries.get(&call)
    }

    /// How a call may be placed now.
    pub fn verdict(&self, call: Fingerprint, now: Moment) -> Verdict {
        let Some(entry) = self.get(call) else {
            return Verdict::Clear;
        };
        entry.verdict(self.hold(call, entry), now)
    }

    /// Records that an engine ended with a call in progress. Returns whether this is new.
    pub fn record_crash(&mut self, call: Fingerprint, caller: Caller, crash: Crash) -> bool {
        let entry = self.entry(call, caller);
        let is_trial_failed =
            entry.is_held() && entry.last_trial.is_some_and(|tried| crash.at >= tried);
        let is_new = entry.add_crash(crash);
        if is_new && is_trial_failed {
            entry.failed_trials = (entry.failed_trials + 1).min(entry.trials);
        }
        is_new
    }

    /// Records that an engine survived a run of a call. Returns whether other instances should be
    /// told.
    pub fn record_good_run(&mut self, call: Fingerprint, good: GoodRun) -> bool {
        let entry = self.entries.get_mut(&call);
        entry.is_some_and(|entry| entry.add_good_run(good))
    }

    /// The entry of a call as it will be once the trial that is due now has begun. Nothing is
    /// recorded yet: if a claim of the trial fails, a recorded trial would hold the call until the
    /// next one, twenty times as long.
    pub fn next_trial(&self, call: Fingerprint, now: Moment) -> Option<Entry> {
        if self.verdict(call, now) != Verdict::TrialDue {
            return None;
        }
        let mut entry = self.get(call)?.clone();
        entry.trials += 1;
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
        let entry = self.entries.get_mut(&call);
        entry.map(|entry| entry.released = Some(now)).is_some()
    }

    /// Merges what another instance knows of a call. Returns whether anything is new.
    pub fn merge(&mut self, call: Fingerprint, other: &Entry) -> bool {
        self.entry(call, other.caller).merge(other)
    }

    /// Calls that all instances must know: held ones, and those one crash short of it.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &Entry)> {
        let entries = self.entries.iter().map(|(call, entry)| (*call, entry));
        entries.filter(|(_, entry)| entry.uncleared_crashes() >= ISOLATE_CRASHES)
    }

    /// Digest of the suspects. Two instances with the same digest judge all calls alike.
    pub fn digest(&self) -> u64 {
        self.suspects().fold(0, |digest, (call, entry)| {
            let standing = entry.uncleared_crashes().min(HOLD_CRASHES);
            digest
                ^ hash::hash64(&format!(
                    "{call:x} {standing} {} {}",
                    entry.trials, entry.failed_trials
                ))
        })
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Moment) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    /// How long a held call is held. Calls that share crashes are tried one after the other, in an
    /// order common to all instances.
    fn hold(&self, call: Fingerprint, entry: &Entry) -> Duration {
        if entry.counted_trials() > 0 || !entry.is_held() {
            return entry.hold();
        }
        let others = self.entries.iter().filter(|(other, _)| **other != call);
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

    /// The entry of a call, created if missing. If there is no room, the least relevant entry of
    /// the same caller is evicted if that caller is at its limit, or else the least relevant of
    /// all.
    fn entry(&mut self, call: Fingerprint, caller: Caller) -> &mut Entry {
        if !self.entries.contains_key(&call) {
            let same_caller = self.entries.values().filter(|entry| entry.caller == caller);
            if same_caller.count() >= MAX_CALLS_PER_CALLER {
                self.evict_least(|entry| entry.caller == caller);
            } else if self.entries.len() >= MAX_CALLS {
                self.evict_least(|_| true);
            }
        }
        self.entries.entry(call).or_insert_with(|| Entry {
            caller,
            ..Entry::default()
        })
    }

    fn evict_least(&mut self, is_candidate: impl Fn(&Entry) -> bool) {
        let candidates = self.entries.iter().filter(|(_, entry)| is_candidate(entry));
        let least =
            candidates.min_by_key(|(_, entry)| (entry.uncleared_crashes(), entry.last_event()));
        if let Some(call) = least.map(|(call, _)| *call) {
            self.entries.remove(&call);
        }
    }
}
