//! What organisations use: how many of their requests engines began, by windows of true time, of which each is reported once and for
//! ever. Every instance counts what it sent; what all have counted is told to those that may report it, as sums that grow, so that a frame
//! that is lost or comes twice changes nothing. What is to be reported of a window is fixed where a successor finds it before it is
//! sent. See `docs/design/duties.md`.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::organisation::Name;

/// Number of a window: it begins so many times its length after the Unix epoch.
pub type Window = u64;

/// Time since the Unix epoch.
pub type UnixTime = Duration;

/// One start of an instance that counts.
pub type Source = u64;

/// Requests of each organisation.
pub type Counts = BTreeMap<Name, u32>;

/// Part of the time until a report is late in which those that have not told their counts are waited for. What is left is for an instance
/// that takes the report over.
const WAIT: f64 = 0.65;
/// Time after the end of a window in which its last requests are told, if nothing is lost.
const TELLING: Duration = Duration::from_millis(1_500);
/// An instance that has not told for this long may be cut off, or this one is. It spans a few tellings.
const SILENT: Duration = Duration::from_millis(2_000);
/// Windows beyond the last that can still be reported for which it is remembered what was: a repeat may be on its way.
const REMEMBERED: u64 = 12;

/// When windows begin and end, and when their reports are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Length of a window.
    pub length: Duration,
    /// Time after a window's end within which its report must have come.
    pub deadline: Duration,
}

impl Schedule {
    /// The window of a moment.
    pub fn window(&self, at: UnixTime) -> Window {
        let length = self.length.as_nanos().max(1);
        Window::try_from(at.as_nanos() / length).unwrap_or(Window::MAX)
    }

    /// When a window ends.
    pub fn end(&self, window: Window) -> UnixTime {
        let length = self.length.as_nanos();
        let nanos = length.saturating_mul(u128::from(window) + 1);
        Duration::from_nanos_u128(nanos.min(u128::from(u64::MAX)))
    }

    /// Until when those that have not told their counts are waited for.
    fn complete_by(&self, window: Window) -> UnixTime {
        self.end(window) + self.deadline.mul_f64(WAIT)
    }

    /// When a report is no longer wanted.
    fn over(&self, window: Window) -> UnixTime {
        self.end(window) + self.deadline
    }
}

/// A report as it was fixed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Of this window.
    pub window: Window,
    /// What it says. Empty once it has been taken.
    pub counts: Counts,
    /// Whether the platform has taken it.
    pub taken: bool,
}

/// What an instance tells of what it counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountUpdate {
    /// The window in which it counts now; what it tells of those before is all.
    pub current_window: Window,
    /// Its counts of some windows.
    pub counts: Vec<(Window, Counts)>,
}

/// Another instance that counts.
#[derive(Clone, Copy, Debug)]
struct Counter {
    present: Window,
    heard: UnixTime,
}

/// What one instance knows of the use.
#[derive(Clone, Debug)]
pub struct Ledger {
    schedule: Schedule,
    /// Windows that ended before this may have been fixed before, and are reported only as they were then.
    since: UnixTime,
    own: BTreeMap<Window, Counts>,
    told: BTreeMap<Window, HashMap<Source, Counts>>,
    counters: HashMap<Source, Counter>,
    fixed: BTreeMap<Window, Report>,
    /// What is to be told: counts that have grown, and windows that have ended.
    grown: BTreeMap<Window, Counts>,
    ended: BTreeMap<Window, u8>,
}

/// Times that all counts of a window are told once it has ended, so that the loss of a frame before leaves no gap.
const TELLINGS: u8 = 3;

impl Ledger {
    /// A ledger of an instance that begins to count now.
    pub fn new(schedule: Schedule, now: UnixTime) -> Self {
        Self {
            schedule,
            since: now,
            own: BTreeMap::new(),
            told: BTreeMap::new(),
            counters: HashMap::new(),
            fixed: BTreeMap::new(),
            grown: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Counts a request of an organisation that an engine began at a moment.
    pub fn count_request(&mut self, organisation: &Name, at: UnixTime) {
        let window = self.schedule.window(at);
        let own = self.own.entry(window).or_default();
        let count = own.entry(organisation.clone()).or_default();
        *count += 1;
        let grown = self.grown.entry(window).or_default();
        grown.insert(organisation.clone(), *count);
    }

    /// What is to be told now.
    pub fn take_update(&mut self, now: UnixTime) -> CountUpdate {
        let present = self.schedule.window(now);
        let mut counts = std::mem::take(&mut self.grown);
        for (window, own) in self.own.range(..present) {
            let left = self.ended.entry(*window).or_insert(TELLINGS);
            if *left > 0 {
                *left -= 1;
                counts.insert(*window, own.clone());
            }
        }
        CountUpdate {
            current_window: present,
            counts: counts.into_iter().collect(),
        }
    }

    /// Merges a peer's counts. Sums only grow, so late and repeated counts change nothing.
    pub fn merge(&mut self, source: Source, told: CountUpdate, now: UnixTime) {
        let counter = self.counters.entry(source).or_insert(Counter {
            present: told.current_window,
            heard: now,
        });
        counter.present = counter.present.max(told.current_window);
        counter.heard = now;
        let oldest = self.oldest(now);
        for (window, counts) in told.counts {
            if window < oldest || window > told.current_window {
                continue;
            }
            let known = self.told.entry(window).or_default();
            let known = known.entry(source).or_default();
            for (organisation, count) in counts {
                let sum = known.entry(organisation).or_default();
                *sum = count.max(*sum);
            }
        }
    }

    /// Takes in reports that were fixed, as the log of claims has them, or a claim of this instance's own that stands.
    pub fn merge_fixed(&mut self, reports: Vec<Report>) {
        for report in reports {
            match self.fixed.get_mut(&report.window) {
                Some(known) if known.taken || !report.taken => {}
                Some(known) => *known = report,
                None => drop(self.fixed.insert(report.window, report)),
            }
        }
    }

    /// Takes in that the platform has taken the report of a window.
    pub fn mark_taken(&mut self, window: Window) {
        let report = Report {
            window,
            counts: Counts::new(),
            taken: true,
        };
        self.fixed.insert(window, report);
    }

    /// Windows whose reports the platform has taken.
    pub fn taken_windows(&self) -> impl Iterator<Item = Window> {
        let taken = self.fixed.values().filter(|report| report.taken);
        taken.map(|report| report.window)
    }

    /// Takes in that reports may have been fixed that cannot be read any more: the store has come back from an older copy, or the newest claim
    /// is no claim.
    ///
    /// Whoever fixed one knows it and sends it as it was. Anybody else would make another one of what it was told, and the
    /// platform would get two for one window. So windows that could have been fixed are left to whoever did.
    pub fn fixed_reports_lost(&mut self, now: UnixTime) {
        self.since = now;
    }

    /// Whether a report is to be fixed or sent now.
    pub fn is_due(&self, now: UnixTime) -> bool {
        self.unsent(now).next().is_some() || self.fixable(now).next().is_some()
    }

    /// Reports for the next claim: those that are fixed, and those that it would fix.
    ///
    /// Nothing is fixed before the claim stands. If it does not, another instance may have fixed a report of the same window, and two would reach the
    /// platform.
    pub fn propose(&self, now: UnixTime) -> Vec<Report> {
        let fixed = self.fixed.values().cloned();
        let new = self.fixable(now).map(|window| Report {
            window,
            counts: self.sum(window),
            taken: false,
        });
        fixed.chain(new).collect()
    }

    /// Reports that are fixed, not taken and not late yet.
    pub fn unsent(&self, now: UnixTime) -> impl Iterator<Item = &Report> {
        let fixed = self.fixed.values();
        fixed.filter(move |report| !report.taken && now < self.schedule.over(report.window))
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: UnixTime) {
        let oldest = self.oldest(now);
        self.own.retain(|window, _| *window >= oldest);
        self.told.retain(|window, _| *window >= oldest);
        self.ended.retain(|window, _| *window >= oldest);
        self.fixed
            .retain(|window, _| *window + REMEMBERED >= oldest);
        let (schedule, late) = (self.schedule, self.schedule.deadline);
        self.counters
            .retain(|_, counter| now.saturating_sub(counter.heard) < schedule.length * 2 + late);
    }

    /// The first window whose report can still be wanted.
    fn oldest(&self, now: UnixTime) -> Window {
        let over = now.saturating_sub(self.schedule.deadline + self.schedule.length);
        self.schedule.window(over)
    }

    /// Windows whose reports nobody has fixed, and can be now.
    fn fixable(&self, now: UnixTime) -> impl Iterator<Item = Window> {
        let schedule = self.schedule;
        let windows = self.oldest(now)..schedule.window(now);
        let windows = windows.filter(move |_| self.is_told(now));
        windows.filter(move |window| {
            !self.fixed.contains_key(window)
                && now < schedule.over(*window)
                && schedule.end(*window) > self.since
                && self.is_complete(*window, now)
        })
    }

    /// Whether at least half of those that count still tell. An instance that is cut off from the others, but not from the store, would report
    /// what it counted itself.
    fn is_told(&self, now: UnixTime) -> bool {
        let mut heard = self.counters.values().map(|counter| counter.heard);
        let all = heard.len();
        let fresh = heard.by_ref();
        let fresh = fresh.filter(|heard| now.saturating_sub(*heard) < SILENT);
        2 * fresh.count() >= all
    }

    /// Whether all that count have told their counts of a window, or have been waited for. One that is cut off for a
    /// moment tells them once it is back; of one that was killed what it told is all there is.
    fn is_complete(&self, window: Window, now: UnixTime) -> bool {
        if now < self.schedule.end(window) + TELLING {
            return false;
        }
        let mut counters = self.counters.values();
        let is_done = |counter: &Counter| counter.present > window || counter.present + 1 < window;
        counters.all(is_done) || now >= self.schedule.complete_by(window)
    }

    /// What all instances counted in a window.
    fn sum(&self, window: Window) -> Counts {
        let mut sum = self.own.get(&window).cloned().unwrap_or_default();
        let told = self.told.get(&window).into_iter().flatten();
        for (organisation, count) in told.flat_map(|(_, counts)| counts) {
            *sum.entry(organisation.clone()).or_default() += count;
        }
        sum
    }
}
