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
use smallvec::SmallVec;

use crate::fingerprint::Fingerprint;
use crate::hash;

/// Hash of the software and weights of an engine, see [`crate::engine::Record::build`].
pub type Build = u32;

/// Hash of a caller's address.
pub type Caller = u32;

/// Builds of engines; usually one.
pub type Builds = SmallVec<[Build; 2]>;

/// The end of an engine with a call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the engine's id, to tell the ends of several engines apart.
    pub engine: u32,
    /// Build of the engine.
    pub build: Build,
    /// When the engine ended.
    pub at: Moment,
}

/// A run of a call that its engine survived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GoodRun {
    /// Build of the engine.
    pub build: Build,
    /// When the run ended.
    pub at: Moment,
}

/// What is known of one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// The caller that sends it.
    pub caller: Caller,
    /// Engines that ended with the call in progress.
    pub crashes: SmallVec<[Crash; 4]>,
    /// The last good run on each build.
    pub good_runs: SmallVec<[GoodRun; 1]>,
    /// When an operator released it.
    pub released: Option<Moment>,
    /// Trials begun so far.
    pub trials: u32,
    /// When the last trial began.
    pub last_trial: Option<Moment>,
    /// Trials during which one more engine ended.
    pub failed_trials: u32,
}

/// How a call may be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other call.
    Clear,
    /// It may have crashed engines: isolated, where the fewest calls are cut if it does so again.
    Suspected,
    /// Not at all, except on builds on which it ran well.
    Held {
        /// Time until its next trial.
        after: Duration,
        /// Builds on which it ran well.
        good_builds: Builds,
    },
    /// As a trial, once and by one instance.
    TrialDue,
}

/// Uncleared crashes after which a call is held.
///
/// At the first crash, a call is one of all that the engine was running. In a replay of half-second
/// calls on eleven engines, one of which ends every 1.2 s for reasons of its own, 4 in 100 innocent
/// calls that broke break again, and 2 in 1,000 a third time. Each further crash by a fatal call
/// costs an engine for seconds, and its neighbours' calls.
pub const HOLD_CRASHES: usize = 3;
/// Uncleared crashes after which a call is isolated.
const ISOLATE_CRASHES: usize = 2;
/// Trials of a held call. Each may crash one more engine, and three calls in all may reach engines;
/// the third is left for one that was on its way.
const MAX_TRIALS: usize = 2;
/// Inconclusive trials that are tolerated: the caller leaves, the engine refuses the call or breaks
/// off and survives, or the instance is killed. Further ones count as failed, so that a call whose
/// outcome is never seen crashes a bounded number of engines.
const MAX_INCONCLUSIVE: u32 = 8;
/// How long a call is held before each trial, and after the last one. The first is longer than
/// engines take to return, and bounds how long an innocent call is kept from engines; the last
/// leaves operators time to act.
const HOLD_DURATIONS: [Duration; MAX_TRIALS + 1] = [
    Duration::from_secs(30),
    Duration::from_secs(10 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// How long a call is held before its first trial if other calls saw the same engines crash: at
/// most one of them is to blame, and the rest would be held for nothing. They are tried one after
/// the other, this far apart, which is longer than most calls run.
///
/// A call that many callers send runs on all engines at once. If a fatal one ends three engines
/// within a tenth of a second, no run ends well in between, and a whole route would be refused for
/// as long as the hold lasts.
const SHARED_CRASH_HOLD: Duration = Duration::from_secs(1);
/// How long a call that is not held is remembered. Later repeats are made by hand.
const RETENTION: Duration = Duration::from_secs(10 * 60);
/// Least time by which a reported good run must be later than the known one to count as new, unless
/// it clears a crash. Times shift later with each report between instances; without this bound one
/// run would clear ever later crashes.
const MIN_LATER: Duration = Duration::from_secs(1);
/// Crashes kept per call; more add nothing.
const MAX_CRASHES: usize = 8;
/// Calls remembered in total, at some hundred bytes each.
const MAX_CALLS: usize = 1_024;
/// Calls remembered per caller, so that one caller cannot evict those of others.
const MAX_CALLS_PER_CALLER: usize = 64;

impl Entry {
    /// Number of crashes that have not been cleared.
    pub fn uncleared_crashes(&self) -> usize {
        let uncleared = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        uncleared.count()
    }

    /// When the last engine ended with the call in progress.
    pub fn last_crash(&self) -> Option<Moment> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Whether it is held, or was until its trial became due.
    pub fn is_held(&self) -> bool {
        self.uncleared_crashes() >= HOLD_CRASHES
    }

    /// Whether a crash stands. A good run on the same build, or a release by an operator, clears
    /// all crashes before it; a good run on one build says nothing about another.
    fn is_uncleared(&self, crash: &Crash) -> bool {
        let clears = |good: &GoodRun| good.build == crash.build && good.at >= crash.at;
        let is_released = self.released.is_some_and(|at| at >= crash.at);
        !is_released && !self.good_runs.iter().any(clears)
    }

    /// The verdict if it is held for `hold` after its last crash or trial.
    fn verdict(&self, hold: Duration, now: Moment) -> Verdict {
        let crashes = self.uncleared_crashes();
        if crashes < HOLD_CRASHES {
            return if crashes < ISOLATE_CRASHES {
                Verdict::Clear
            } else {
                Verdict::Suspected
            };
        }
        let after = (self.held_since() + hold).saturating_sub(now);
        if after.is_zero() && self.counted_trials() < MAX_TRIALS {
            return Verdict::TrialDue;
        }
        let is_fatal = |build| {
            self.crashes
                .iter()
                .any(|crash| crash.build == build && self.is_uncleared(crash))
        };
        let builds = self.good_runs.iter().map(|good| good.build);
        Verdict::Held {
            after,
            good_builds: builds.filter(|build| !is_fatal(*build)).collect(),
        }
    }

    /// Number of trials that count: inconclusive ones are repeated.
    fn counted_trials(&self) -> usize {
        let inconclusive = self.trials.saturating_sub(self.failed_trials);
        let counted = inconclusive.saturating_sub(MAX_INCONCLUSIVE);
        (self.failed_trials + counted) as usize
    }

    fn hold(&self) -> Duration {
        HOLD_DURATIONS[self.counted_trials().min(MAX_TRIALS)]
    }

    fn held_since(&self) -> Moment {
        self.last_crash().max(self.last_trial).unwrap_or_default()
    }

    /// Whether it is held for crashes of the same engines as another call.
    fn shares_crashes(&self, other: &Self) -> bool {
        let crashed_there = |engine: u32| other.crashes.iter().any(|crash| crash.engine == engine);
        let uncleared = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        other.is_held()
            && uncleared
                .filter(|crash| crashed_there(crash.engine))
                .count()
                >= HOLD_CRASHES
    }

    fn last_event(&self) -> Moment {
        let good = self.good_runs.iter().map(|good| good.at).max();
        let all = [self.last_crash(), good, self.released, self.last_trial];
        all.into_iter().flatten().max().unwrap_or_default()
    }

    fn is_expired(&self, now: Moment) -> bool {
        if self.is_held() {
            self.counted_trials() >= MAX_TRIALS && now >= self.held_since() + self.hold()
        } else {
            now.saturating_sub(self.last_event()) >= RETENTION
        }
    }

    fn add_crash(&mut self, crash: Crash) -> bool {
        let known = self
            .crashes
            .iter_mut()
            .find(|known| known.engine == crash.engine);
        if let Some(known) = known {
            // Reports shift a crash to a later time.
            known.at = known.at.min(crash.at);
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Adds a good run. Returns whether it clears a crash.
    fn add_good_run(&mut self, good: GoodRun) -> bool {
        let before = self.uncleared_crashes();
        match self
            .good_runs
            .iter_mut()
            .find(|known| known.build == good.build)
        {
            Some(known) => known.at = known.at.max(good.at),
            None => self.good_runs.push(good),
        }
        self.uncleared_crashes() < before
    }

    /// Merges a good run that another instance reported. Returns whether it is news.
    fn merge_good_run(&mut self, good: GoodRun) -> bool {
        let known = self
            .good_runs
            .iter()
            .find(|known| known.build == good.build);
        if known.is_none_or(|known| good.at >= known.at + MIN_LATER) {
            self.add_good_run(good);
            return true;
        }
        let clears = |crash: &Crash| crash.build == good.build && crash.at <= good.at;
        let is_needed = self
            .crashes
            .iter()
            .any(|crash| self.is_uncleared(crash) && clears(crash));
        is_needed && self.add_good_run(good)
    }

    fn merge(&mut self, other: &Self) -> bool {
        let mut is_news = false;
        for crash in &other.crashes {
            is_news |= self.add_crash(*crash);
        }
        for good in &other.good_runs {
            is_news |= self.merge_good_run(*good);
        }
        let is_later = |at: Moment| self.released.is_none_or(|known| at >= known + MIN_LATER);
        if other.released.is_some_and(is_later) {
            self.released = other.released;
            is_news = true;
        }
        if other.trials > self.trials {
            self.trials = other.trials;
            self.last_trial = other.last_trial;
            is_news = true;
        }
        if other.failed_trials > self.failed_trials {
            self.failed_trials = other.failed_trials;
            is_news = true;
        }
        is_news
    }
}

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
