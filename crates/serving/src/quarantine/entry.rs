//! What is known of one call, and how it is judged by that alone.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

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
pub(super) const ISOLATE_CRASHES: usize = 2;
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
/// How long a call that is not held is remembered. Later repeats are made by hand.
const RETENTION: Duration = Duration::from_secs(10 * 60);
/// Least time by which a reported good run must be later than the known one to count as new, unless
/// it clears a crash. Times shift later with each report between instances; without this bound one
/// run would clear ever later crashes.
const MIN_LATER: Duration = Duration::from_secs(1);
/// Crashes kept per call; more add nothing.
const MAX_CRASHES: usize = 8;
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
    pub(super) fn is_uncleared(&self, crash: &Crash) -> bool {
        let clears = |good: &GoodRun| good.build == crash.build && good.at >= crash.at;
        let is_released = self.released.is_some_and(|at| at >= crash.at);
        !is_released && !self.good_runs.iter().any(clears)
    }

    /// The verdict if it is held for `hold` after its last crash or trial.
    pub(super) fn verdict(&self, hold: Duration, now: Moment) -> Verdict {
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
    pub(super) fn counted_trials(&self) -> usize {
        let inconclusive = self.trials.saturating_sub(self.failed_trials);
        let counted = inconclusive.saturating_sub(MAX_INCONCLUSIVE);
        (self.failed_trials + counted) as usize
    }

    pub(super) fn hold(&self) -> Duration {
        HOLD_DURATIONS[self.counted_trials().min(MAX_TRIALS)]
    }

    fn held_since(&self) -> Moment {
        self.last_crash().max(self.last_trial).unwrap_or_default()
    }

    /// Whether it is held for crashes of the same engines as another call.
    pub(super) fn shares_crashes(&self, other: &Self) -> bool {
        let crashed_there = |engine: u32| other.crashes.iter().any(|crash| crash.engine == engine);
        let uncleared = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        other.is_held()
            && uncleared
                .filter(|crash| crashed_there(crash.engine))
                .count()
                >= HOLD_CRASHES
    }

    pub(super) fn last_event(&self) -> Moment {
        let good = self.good_runs.iter().map(|good| good.at).max();
        let all = [self.last_crash(), good, self.released, self.last_trial];
        all.into_iter().flatten().max().unwrap_or_default()
    }

    pub(super) fn is_expired(&self, now: Moment) -> bool {
        if self.is_held() {
            self.counted_trials() >= MAX_TRIALS && now >= self.held_since() + self.hold()
        } else {
            now.saturating_sub(self.last_event()) >= RETENTION
        }
    }

    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
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
    pub(super) fn add_good_run(&mut self, good: GoodRun) -> bool {
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

    pub(super) fn merge(&mut self, other: &Self) -> bool {
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
