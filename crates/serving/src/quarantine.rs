//! Which calls end the engines that run them, and are kept from engines for a while.
//!
//! The load that this answers: a caller repeats, under new ids and at any instance, a call that ends each engine which begins to
//! run it. Each time the engine's other calls are cut too, and it is away for seconds. One notices it by engines that end one
//! after the other, each with one call in hand that had no event yet. An engine that ends does not say which of its calls ended
//! it, so every call that it had in hand is noted; calls that only ran beside the fatal one run well the next time, which
//! clears them. Nothing is agreed on: each instance tells all others what it saw, and what two know joins in any order. See
//! `docs/design/quarantine.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::fingerprint::Fingerprint;
use crate::hash;

/// Hash of the software and the weights that an engine runs, as [`crate::engine::Record::build`] gives it.
pub type Build = u32;

/// Hash of a caller's address.
pub type Caller = u32;

/// Builds of engines; mostly one.
pub type Builds = SmallVec<[Build; 2]>;

/// The end of an engine that had a call in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the engine's id, by which ends of several engines are told apart.
    pub engine: u32,
    /// What it ran.
    pub build: Build,
    /// When it ended.
    pub at: Moment,
}

/// A run of a call that its engine outlived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GoodRun {
    /// What the engine ran.
    pub build: Build,
    /// When it ended.
    pub at: Moment,
}

/// What is known of one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Who sends it.
    pub caller: Caller,
    /// Ends of engines with it in hand.
    pub crashes: SmallVec<[Crash; 4]>,
    /// The last good run at each build.
    pub good_runs: SmallVec<[GoodRun; 1]>,
    /// When an operator let it go.
    pub released: Option<Moment>,
    /// Trials begun while it was held.
    pub trials: u32,
    /// When the last trial began.
    pub last_trial: Option<Moment>,
    /// Trials under which one more engine ended.
    pub failed_trials: u32,
}

/// What may be done with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes where any call goes.
    Clear,
    /// It may have ended engines: it goes alone, where fewest calls are cut if it does so again.
    Suspected,
    /// It is kept from engines, but from those of builds on which it ran well.
    Held {
        /// Time until it may be tried.
        after: Duration,
        /// Builds on which it ran well.
        good_builds: Builds,
    },
    /// It may be tried, once and by one instance.
    TrialDue,
}

/// Engines that end with a call in hand, without a good run in between, until it is held.
///
/// At the first, a call is one of all that the engine had in hand. Of a replay of calls of half a second on eleven engines, one
/// of which ends each 1.2 s for reasons of its own, 4 in 100 innocent calls that broke break again, and 2 in 1,000 a third time. Each further
/// end of a fatal call costs an engine for seconds and its neighbours' calls.
pub const HOLD_CRASHES: usize = 3;
/// Crashes from which on a call goes alone.
const ISOLATE_CRASHES: usize = 2;
/// Trials of a held call. Each may end one more engine, and three calls in all may reach engines; the third is left for one that
/// was on its way.
const MAX_TRIALS: usize = 2;
/// Trials that may come to nothing: their caller leaves, their engine refuses the call or breaks off and lives, their instance
/// is killed. Further ones count as failed, so that a call whose outcome is never seen ends a bounded number of engines.
const MAX_INCONCLUSIVE: u32 = 8;
/// How long a call is held before each trial, and after the last one. The first is longer than engines take to be back and
/// bounds how long an innocent call is kept from engines; the last is the time in which operators see to it.
const HOLD_DURATIONS: [Duration; MAX_TRIALS + 1] = [
    Duration::from_secs(30),
    Duration::from_secs(10 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// How long a call is held before its first trial where others had the same engines end: one of them is to blame at the most, and
/// the rest would be kept from engines for nothing. They are tried one after the other, this far apart, each for longer than most calls
/// run.
///
/// A call that many callers send runs at all engines at once. Where a fatal one ends three engines within a tenth of a second, none of its
/// runs ends well in between; one would notice it by a route that is refused altogether for as long as the hold lasts.
const SHARED_CRASH_HOLD: Duration = Duration::from_secs(1);
/// How long a call is remembered that is not held. Callers that repeat a call later do so by hand.
const RETENTION: Duration = Duration::from_secs(10 * 60);
/// A good run that another instance tells of is a later one if it ended this much after the one known, or speaks against an end. What
/// instances tell each other seems later by its way; without this bound one run would clear ever later ends.
const MIN_LATER: Duration = Duration::from_secs(1);
/// Crashes kept of one call; more add nothing.
const MAX_CRASHES: usize = 8;
/// Calls remembered at the most, with some hundred bytes each.
const MAX_CALLS: usize = 1_024;
/// Calls remembered of one caller at the most, so that none can have those of others forgotten.
const MAX_CALLS_PER_CALLER: usize = 64;

impl Entry {
    /// Crashes that nothing speaks against.
    pub fn uncleared_crashes(&self) -> usize {
        let uncleared = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        uncleared.count()
    }

    /// When the last engine ended with it in hand.
    pub fn last_crash(&self) -> Option<Moment> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Whether it is kept from engines, or was until its trial is due.
    pub fn is_held(&self) -> bool {
        self.uncleared_crashes() >= HOLD_CRASHES
    }

    /// A run that ended well at the same build, or an operator's word, speaks against all crashes before it. A build that runs a call
    /// well says nothing of another one that it ends.
    fn is_uncleared(&self, crash: &Crash) -> bool {
        let clears = |good: &GoodRun| good.build == crash.build && good.at >= crash.at;
        let is_released = self.released.is_some_and(|at| at >= crash.at);
        !is_released && !self.good_runs.iter().any(clears)
    }

    /// What may be done with it if it is held for `hold` from its last crash or trial on.
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

    /// Trials that count: one that comes to nothing says nothing of the call, and is made again.
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

    /// Whether it is held for ends of the same engines as another one.
    fn shares_crashes(&self, other: &Self) -> bool {
        let crashed_there = |engine: u32| other.crashes.iter().any(|crash| crash.engine == engine);
        let standing = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        other.is_held()
            && standing.filter(|crash| crashed_there(crash.engine)).count() >= HOLD_CRASHES
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
            // It is told later than it was seen.
            known.at = known.at.min(crash.at);
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Takes in a good run. Says whether it speaks against a crash.
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

    /// Takes in a good run that another instance tells of.
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

/// Calls that had engines end under them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Whether no call is remembered, so that none needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a call.
    pub fn get(&self, call: Fingerprint) -> Option<&Entry> {
        self.entries.get(&call)
    }

    /// What may be done with a call.
    pub fn verdict(&self, call: Fingerprint, now: Moment) -> Verdict {
        let Some(entry) = self.get(call) else {
            return Verdict::Clear;
        };
        entry.verdict(self.hold(call, entry), now)
    }

    /// Takes in that an engine ended with a call in hand. Says whether this is new.
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

    /// Takes in that an engine outlived a run of a call. Says whether others should hear of it.
    pub fn record_good_run(&mut self, call: Fingerprint, good: GoodRun) -> bool {
        let entry = self.entries.get_mut(&call);
        entry.is_some_and(|entry| entry.add_good_run(good))
    }

    /// What is known of a call once it is tried from now on, if its trial is due. Nothing is noted yet: a claim of the trial that does not stand
    /// would have the call wait for the next one, twenty times as long.
    pub fn next_trial(&self, call: Fingerprint, now: Moment) -> Option<Entry> {
        if self.verdict(call, now) != Verdict::TrialDue {
            return None;
        }
        let mut entry = self.get(call)?.clone();
        entry.trials += 1;
        entry.last_trial = Some(now);
        Some(entry)
    }

    /// Takes in that a call is tried from now on. Says whether its trial is due, so that the one who asks may try it.
    pub fn begin_trial(&mut self, call: Fingerprint, now: Moment) -> bool {
        let entry = self.next_trial(call, now);
        entry.is_some_and(|entry| self.merge(call, &entry))
    }

    /// Takes in that an operator lets a call go.
    pub fn release(&mut self, call: Fingerprint, now: Moment) -> bool {
        let entry = self.entries.get_mut(&call);
        entry.map(|entry| entry.released = Some(now)).is_some()
    }

    /// Takes in what another instance knows of a call. Says whether something of it is new.
    pub fn merge(&mut self, call: Fingerprint, other: &Entry) -> bool {
        self.entry(call, other.caller).merge(other)
    }

    /// Calls that all must know: held ones, and those that are one crash short of it.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &Entry)> {
        let entries = self.entries.iter().map(|(call, entry)| (*call, entry));
        entries.filter(|(_, entry)| entry.uncleared_crashes() >= ISOLATE_CRASHES)
    }

    /// Digest of what all must know. Two instances with the same one would judge all calls alike.
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

    /// Forgets calls whose time is over.
    pub fn expire(&mut self, now: Moment) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    /// How long a held call is held. Those that are alike come one after the other, in an order that all instances share.
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
        // A trial may still run, so further ones come at growing distances.
        let backoff = 2u32.saturating_pow(entry.trials);
        let hold = SHARED_CRASH_HOLD.saturating_mul((preceding + 1).saturating_mul(backoff));
        hold.min(entry.hold())
    }

    /// The entry of a call, a new one if need be. What makes room for it is the least of the same caller's if that one has many,
    /// else the least of all.
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
