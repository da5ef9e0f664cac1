//! What is known of one suspect, and how it is judged by that alone.

use std::collections::BTreeSet;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

/// Hash of the software and weights of an engine, see [`crate::engine::Record::build`].
pub type Build = u32;

/// Hash of a caller's address.
pub type Caller = u32;

/// Builds of engines; usually one.
pub type Builds = SmallVec<[Build; 2]>;

/// What a suspect is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// A call that its caller repeats.
    #[default]
    Call,
    /// A part that prompts of different calls share.
    Part {
        /// Its place in them, from 0.
        position: u32,
    },
}

/// The end of an engine with a suspect in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the engine's id, to tell the ends of several engines apart.
    pub engine: u32,
    /// Build of the engine.
    pub build: Build,
    /// When the engine ended.
    pub at: Moment,
    /// For a part of prompts, hash of the call that had it there, or [`SEVERAL_CALLS`].
    pub call: u32,
}

/// Stands for several calls with a part that an engine was about to run as it ended.
pub const SEVERAL_CALLS: u32 = u32::MAX;

/// A run of a call that its engine survived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GoodRun {
    /// Build of the engine.
    pub build: Build,
    /// When the run ended.
    pub at: Moment,
}

/// What is known of one suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// What it is.
    pub kind: Kind,
    /// The caller that sends it, or that sent a part first.
    pub caller: Caller,
    /// Engines that ended with it in progress.
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

/// How a call may be placed, as far as one suspect in it is concerned.
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

/// Uncleared crashes after which a suspect is held.
///
/// At the first crash, a call is one of all that the engine was running. In a replay of half-second
/// calls on eleven engines, one of which ends every 1.2 s for reasons of its own, 4 in 100 innocent
/// calls that broke break again, and 2 in 1,000 a third time. Each further crash by a fatal call
/// costs an engine for seconds, and its neighbours' calls.
pub const HOLD_CRASHES: usize = 3;
/// Uncleared crashes after which a call is isolated.
const ISOLATE_CRASHES: usize = 2;
/// Trials of a held suspect. Each may crash one more engine, and three calls in all may reach engines;
/// the third is left for one that was on its way.
const MAX_TRIALS: usize = 2;
/// Inconclusive trials that are tolerated: the caller leaves, the engine refuses the call or breaks
/// off and survives, or the instance is killed. Further ones count as failed, so that a call whose
/// outcome is never seen crashes a bounded number of engines.
const MAX_INCONCLUSIVE: u32 = 8;
/// How long a suspect is held before each trial, and after the last one. The first is longer than
/// engines take to return, and bounds how long an innocent call is kept from engines; the last
/// leaves operators time to act.
const HOLD_DURATIONS: [Duration; MAX_TRIALS + 1] = [
    Duration::from_secs(30),
    Duration::from_secs(10 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// How long a suspect that is not held is remembered. Later repeats are made by hand.
const RETENTION: Duration = Duration::from_secs(10 * 60);
/// Least time by which a reported good run must be later than the known one to count as new, unless
/// it clears a crash. Times shift later with each report between instances; without this bound one
/// run would clear ever later crashes.
const MIN_LATER: Duration = Duration::from_secs(1);
/// Crashes of engines within this time may have one cause, such as the loss of a rack, and count once
/// against a part of prompts. A part can be in progress at many engines at once, a repeated call is
/// sent again only after its first answer.
const SHARED_CAUSE_TIME: Duration = Duration::from_millis(50);
/// Longest time from the request for the claim of a trial until the trial starts. One that starts later may run
/// beside the next one, at another instance.
pub const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Crashes kept per suspect; more add nothing.
const MAX_CRASHES: usize = 8;

impl Entry {
    /// What is known by this entry if it may have waited for up to `max_wait` until it was handled, from which
    /// its dates count. What clears crashes counts as early as possible, and crashes that stand as late: a good run
    /// from before must not clear a crash that came after it. What its sender took for cleared stays so.
    pub fn after_wait(mut self, max_wait: Duration) -> Self {
        let standing: SmallVec<[u32; MAX_CRASHES]> = self.uncleared_engines().collect();
        let cleared = self
            .crashes
            .iter_mut()
            .filter(|crash| !standing.contains(&crash.engine));
        let cleared = cleared.map(|crash| &mut crash.at);
        let good_runs = self.good_runs.iter_mut().map(|good| &mut good.at);
        for at in cleared.chain(good_runs).chain(&mut self.released) {
            *at = at.saturating_sub(max_wait);
        }
        self
    }

    /// Number of crashes that have not been cleared.
    pub fn uncleared_crashes(&self) -> usize {
        let uncleared = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        uncleared.count()
    }

    /// When the last engine ended with the call in progress.
    pub fn last_crash(&self) -> Option<Moment> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Whether it is a part of prompts.
    pub fn is_part(&self) -> bool {
        matches!(self.kind, Kind::Part { .. })
    }

    /// Number of uncleared crashes that count against it.
    pub fn evidence(&self) -> usize {
        self.evidence_beyond(&BTreeSet::new())
    }

    /// Whether it is one crash short of being held, or closer.
    pub fn is_suspect(&self) -> bool {
        self.evidence() >= ISOLATE_CRASHES
    }

    /// [`Entry::evidence`] without the crashes of engines that other suspects account for.
    pub(super) fn evidence_beyond(&self, explained: &BTreeSet<u32>) -> usize {
        let uncleared = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        let counted = uncleared.filter(|crash| !explained.contains(&crash.engine));
        if !self.is_part() {
            return counted.count();
        }
        let mut times: SmallVec<[Moment; MAX_CRASHES]> = counted.map(|crash| crash.at).collect();
        times.sort_unstable();
        count_apart(&times, SHARED_CAUSE_TIME)
    }

    /// Its place in prompts if it is a part of them.
    pub(super) fn position(&self) -> Option<u32> {
        match self.kind {
            Kind::Call => None,
            Kind::Part { position } => Some(position),
        }
    }

    /// Whether all crashes of a part came with one call, which accounts for them itself.
    pub(super) fn is_of_one_call(&self) -> bool {
        let mut calls = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        let first = calls.next().map(|crash| crash.call);
        first.is_some_and(|first| first != SEVERAL_CALLS && calls.all(|crash| crash.call == first))
    }

    /// Engines whose crashes have not been cleared.
    pub(super) fn uncleared_engines(&self) -> impl Iterator<Item = u32> {
        let uncleared = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        uncleared.map(|crash| crash.engine)
    }

    /// Engines whose crashes an operator's release clears.
    pub(super) fn released_engines(&self) -> impl Iterator<Item = u32> {
        let released = self.crashes.iter().filter(|crash| self.is_released(crash));
        released.map(|crash| crash.engine)
    }

    fn is_released(&self, crash: &Crash) -> bool {
        self.released.is_some_and(|at| at >= crash.at)
    }

    /// Whether a crash stands. A good run on the same build, or a release by an operator, clears
    /// all crashes before it; a good run on one build says nothing about another.
    pub(super) fn is_uncleared(&self, crash: &Crash) -> bool {
        let clears = |good: &GoodRun| good.build == crash.build && good.at >= crash.at;
        !self.is_released(crash) && !self.good_runs.iter().any(clears)
    }

    /// The verdict while it is not held. A part is not isolated: nine calls in ten may have it.
    pub(super) fn verdict_unless_held(&self) -> Verdict {
        if self.is_part() || !self.is_suspect() {
            Verdict::Clear
        } else {
            Verdict::Suspected
        }
    }

    /// The verdict if it is held for `hold` after its last crash or trial.
    pub(super) fn verdict_while_held(&self, hold: Duration, now: Moment) -> Verdict {
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

    /// Whether the trial that it was claimed with may still start.
    pub fn may_start_trial(&self, now: Moment) -> bool {
        let elapsed = |tried| now.saturating_sub(tried);
        self.last_trial
            .is_some_and(|tried| elapsed(tried) < TRIAL_CLAIM_TIMEOUT)
    }

    /// Number of trials that count. Inconclusive trials of a call are repeated; those of a part count
    /// whatever becomes of them, since its callers are many and each may leave.
    pub(super) fn counted_trials(&self) -> usize {
        if self.is_part() {
            return self.trials as usize;
        }
        let inconclusive = self.trials.saturating_sub(self.failed_trials);
        let counted = inconclusive.saturating_sub(MAX_INCONCLUSIVE);
        self.failed_trials.saturating_add(counted) as usize
    }

    pub(super) fn hold(&self) -> Duration {
        HOLD_DURATIONS[self.counted_trials().min(MAX_TRIALS)]
    }

    fn held_since(&self) -> Moment {
        self.last_crash().max(self.last_trial).unwrap_or_default()
    }

    /// Whether the crashes for which it is held are those of another call, too.
    pub(super) fn shares_crashes(&self, other: &Self) -> bool {
        let crashed_there = |engine: u32| other.crashes.iter().any(|crash| crash.engine == engine);
        let uncleared = self.crashes.iter().filter(|crash| self.is_uncleared(crash));
        let shared = uncleared.filter(|crash| crashed_there(crash.engine));
        shared.count() >= HOLD_CRASHES
    }

    pub(super) fn last_event(&self) -> Moment {
        let good = self.good_runs.iter().map(|good| good.at).max();
        let all = [self.last_crash(), good, self.released, self.last_trial];
        all.into_iter().flatten().max().unwrap_or_default()
    }

    pub(super) fn is_expired(&self, is_held: bool, now: Moment) -> bool {
        if is_held {
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
            let is_news = known.call != crash.call && known.call != SEVERAL_CALLS;
            if is_news {
                known.call = SEVERAL_CALLS;
            }
            return is_news;
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
        self.has_uncleared(clears) && self.add_good_run(good)
    }

    /// Merges a release that another instance reported. Returns whether it is news.
    fn merge_release(&mut self, at: Moment) -> bool {
        let is_later = self.released.is_none_or(|known| at >= known + MIN_LATER);
        let is_news = is_later || self.has_uncleared(|crash| crash.at <= at);
        if is_news {
            self.released = Some(at);
        }
        is_news
    }

    fn has_uncleared(&self, is_meant: impl Fn(&Crash) -> bool) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| self.is_uncleared(crash) && is_meant(crash))
    }

    pub(super) fn merge(&mut self, other: &Self) -> bool {
        let mut is_news = false;
        for crash in &other.crashes {
            is_news |= self.add_crash(*crash);
        }
        for good in &other.good_runs {
            is_news |= self.merge_good_run(*good);
        }
        if let Some(released) = other.released {
            is_news |= self.merge_release(released);
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

/// Number of moments, in order of time, that lie at least `least` after the last one counted.
fn count_apart(times: &[Moment], least: Duration) -> usize {
    let mut last: Option<Moment> = None;
    let mut count = 0;
    for at in times {
        if last.is_none_or(|last| *at >= last + least) {
            last = Some(*at);
            count += 1;
        }
    }
    count
}
