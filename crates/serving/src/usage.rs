//! Counts the requests of each organisation that engines began, by windows of wall-clock time, each
//! of which is reported exactly once. Every instance counts what it sent and sends its counts to
//! those that may report. Counts only grow, so lost or duplicate frames change nothing. Before a
//! report is sent it is fixed where a successor finds it. See `docs/design/duties.md`.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::organisation::Name;

/// Number of a window: its start in multiples of its length since the Unix epoch.
pub type Window = u64;

/// Time since the Unix epoch.
pub type UnixTime = Duration;

/// One start of an instance that counts.
pub type Source = u64;

/// Requests by organisation.
pub type Counts = BTreeMap<Name, u32>;

/// Share of the time until a report's deadline for which missing counts are waited for. The rest is
/// for an instance that takes the report over.
const UPDATE_WAIT_SHARE: f64 = 0.65;
/// Time after the end of a window in which its last counts arrive, if no frame is lost.
const UPDATE_DELAY: Duration = Duration::from_millis(1_500);
/// Silence after which an instance may be cut off, or this one is. It spans a few updates.
const PEER_SILENCE: Duration = Duration::from_millis(2_000);
/// Windows for which reports are remembered after their deadline, because a repeat may be on its
/// way.
const RETAINED_WINDOWS: u64 = 12;

/// Windows, and deadlines of their reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Length of a window.
    pub length: Duration,
    /// Time after a window's end within which its report must arrive.
    pub deadline: Duration,
}

impl Schedule {
    /// The window that contains a time.
    pub fn window(&self, at: UnixTime) -> Window {
        let length = self.length.as_nanos().max(1);
        Window::try_from(at.as_nanos() / length).unwrap_or(Window::MAX)
    }

    /// The end of a window.
    pub fn end(&self, window: Window) -> UnixTime {
        let length = self.length.as_nanos();
        let nanos = length.saturating_mul(u128::from(window) + 1);
        Duration::from_nanos_u128(nanos.min(u128::from(u64::MAX)))
    }

    /// Until when missing counts of a window are waited for.
    fn complete_by(&self, window: Window) -> UnixTime {
        self.end(window) + self.deadline.mul_f64(UPDATE_WAIT_SHARE)
    }

    /// The deadline of a window's report.
    fn report_deadline(&self, window: Window) -> UnixTime {
        self.end(window) + self.deadline
    }
}

/// A report with its fixed content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The window that it covers.
    pub window: Window,
    /// The reported counts; empty once the report has been taken.
    pub counts: Counts,
    /// Whether the platform has taken it.
    pub taken: bool,
}

/// An update of one instance's counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountUpdate {
    /// The window that the instance counts in now. Counts of earlier windows are final.
    pub current_window: Window,
    /// Its counts for some windows.
    pub counts: Vec<(Window, Counts)>,
}

/// Another instance that counts.
#[derive(Clone, Copy, Debug)]
struct Peer {
    current_window: Window,
    heard_at: UnixTime,
}

/// The counts and reports known to one instance.
#[derive(Clone, Debug)]
pub struct Ledger {
    schedule: Schedule,
    /// Windows that ended before this may have been fixed already, and are reported only as fixed
    /// then.
    fixable_since: UnixTime,
    own: BTreeMap<Window, Counts>,
    peer_counts: BTreeMap<Window, HashMap<Source, Counts>>,
    peers: HashMap<Source, Peer>,
    fixed: BTreeMap<Window, Report>,
    /// Counts that have grown and are not sent yet.
    unsent_counts: BTreeMap<Window, Counts>,
    final_updates_left: BTreeMap<Window, u8>,
}

/// Number of times that the final counts of a window are sent, so that an earlier lost frame leaves
/// no gap.
const FINAL_UPDATES: u8 = 3;

impl Ledger {
    /// A ledger of an instance that starts to count now.
    pub fn new(schedule: Schedule, now: UnixTime) -> Self {
        Self {
            schedule,
            fixable_since: now,
            own: BTreeMap::new(),
            peer_counts: BTreeMap::new(),
            peers: HashMap::new(),
            fixed: BTreeMap::new(),
            unsent_counts: BTreeMap::new(),
            final_updates_left: BTreeMap::new(),
        }
    }

    /// Counts a request of an organisation that an engine began.
    pub fn count_request(&mut self, organisation: &Name, at: UnixTime) {
        let window = self.schedule.window(at);
        let own_counts = self.own.entry(window).or_default();
        let count = own_counts.entry(organisation.clone()).or_default();
        *count += 1;
        let grown = self.unsent_counts.entry(window).or_default();
        grown.insert(organisation.clone(), *count);
    }

    /// Takes the counts to send now.
    pub fn take_update(&mut self, now: UnixTime) -> CountUpdate {
        let current_window = self.schedule.window(now);
        let mut counts = std::mem::take(&mut self.unsent_counts);
        for (window, own) in self.own.range(..current_window) {
            let left = self
                .final_updates_left
                .entry(*window)
                .or_insert(FINAL_UPDATES);
            if *left > 0 {
                *left -= 1;
                counts.insert(*window, own.clone());
            }
        }
        CountUpdate {
            current_window,
            counts: counts.into_iter().collect(),
        }
    }

    /// Merges another instance's counts, which arrived at `arrived`. They only grow, so late and repeated
    /// updates change nothing.
    pub fn merge(&mut self, source: Source, update: CountUpdate, arrived: UnixTime) {
        let peer = self.peers.entry(source).or_insert(Peer {
            current_window: update.current_window,
            heard_at: arrived,
        });
        peer.current_window = peer.current_window.max(update.current_window);
        peer.heard_at = peer.heard_at.max(arrived);
        let oldest = self.oldest_open(arrived);
        for (window, counts) in update.counts {
            if window < oldest || window > update.current_window {
                continue;
            }
            let known = self.peer_counts.entry(window).or_default();
            let known = known.entry(source).or_default();
            for (organisation, count) in counts {
                let sum = known.entry(organisation).or_default();
                *sum = count.max(*sum);
            }
        }
    }

    /// Merges fixed reports, from the log of claims or from this instance's own successful claim.
    pub fn merge_fixed(&mut self, reports: Vec<Report>) {
        for report in reports {
            match self.fixed.get_mut(&report.window) {
                Some(known) if known.taken || !report.taken => {}
                Some(known) => *known = report,
                None => drop(self.fixed.insert(report.window, report)),
            }
        }
    }

    /// Records that the platform has taken the report of a window.
    pub fn mark_taken(&mut self, window: Window) {
        let report = Report {
            window,
            counts: Counts::new(),
            taken: true,
        };
        self.fixed.insert(window, report);
    }

    /// Windows whose report the platform has taken.
    pub fn taken_windows(&self) -> impl Iterator<Item = Window> {
        let taken = self.fixed.values().filter(|report| report.taken);
        taken.map(|report| report.window)
    }

    /// Records that fixed reports may have been lost: the store was restored from an older copy, or
    /// the newest claim cannot be read.
    ///
    /// The instance that fixed such a report still knows and sends it. Any other instance would
    /// make a second report for the same window from its own counts, so windows that may have been
    /// fixed are left to the instance that fixed them.
    pub fn fixed_reports_lost(&mut self, now: UnixTime) {
        self.fixable_since = now;
    }

    /// Whether a report is to be fixed or sent now.
    pub fn is_due(&self, now: UnixTime) -> bool {
        self.unsent(now).next().is_some() || self.fixable(now).next().is_some()
    }

    /// The reports for the next claim: those already fixed and those that it would fix.
    ///
    /// Nothing counts as fixed before the claim succeeds. If it fails, another instance may have
    /// fixed a report of the same window, and the platform would get two.
    pub fn propose(&self, now: UnixTime) -> Vec<Report> {
        let fixed = self.fixed.values().cloned();
        let new = self.fixable(now).map(|window| Report {
            window,
            counts: self.sum(window),
            taken: false,
        });
        fixed.chain(new).collect()
    }

    /// Reports that are fixed, not taken and not past their deadline.
    pub fn unsent(&self, now: UnixTime) -> impl Iterator<Item = &Report> {
        let fixed = self.fixed.values();
        fixed.filter(move |report| {
            !report.taken && now < self.schedule.report_deadline(report.window)
        })
    }

    /// Drops state of windows and instances that are no longer needed.
    pub fn expire(&mut self, now: UnixTime) {
        let oldest = self.oldest_open(now);
        self.own.retain(|window, _| *window >= oldest);
        self.peer_counts.retain(|window, _| *window >= oldest);
        self.final_updates_left
            .retain(|window, _| *window >= oldest);
        self.fixed
            .retain(|window, _| window.saturating_add(RETAINED_WINDOWS) >= oldest);
        let (schedule, deadline) = (self.schedule, self.schedule.deadline);
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.heard_at) < schedule.length * 2 + deadline);
    }

    /// The first window whose report may still be due.
    fn oldest_open(&self, now: UnixTime) -> Window {
        let over = now.saturating_sub(self.schedule.deadline + self.schedule.length);
        self.schedule.window(over)
    }

    /// Windows that nobody has fixed and that can be fixed now.
    fn fixable(&self, now: UnixTime) -> impl Iterator<Item = Window> {
        let schedule = self.schedule;
        let windows = self.oldest_open(now)..schedule.window(now);
        let windows = windows.filter(move |_| self.hears_most_peers(now));
        windows.filter(move |window| {
            !self.fixed.contains_key(window)
                && now < schedule.report_deadline(*window)
                && schedule.end(*window) > self.fixable_since
                && self.is_complete(*window, now)
        })
    }

    /// Whether at least half of the counting instances still send updates. An instance that is cut
    /// off from the others, but not from the store, would report only its own counts.
    fn hears_most_peers(&self, now: UnixTime) -> bool {
        let mut heard_at = self.peers.values().map(|peer| peer.heard_at);
        let all = heard_at.len();
        let fresh = heard_at.by_ref();
        let fresh = fresh.filter(|heard| now.saturating_sub(*heard) < PEER_SILENCE);
        2 * fresh.count() >= all
    }

    /// Whether all instances have sent their counts of a window, or the wait for them is over. An
    /// instance that is cut off for a moment sends them once it is back; of one that was killed
    /// there are no further counts.
    fn is_complete(&self, window: Window, now: UnixTime) -> bool {
        if now < self.schedule.end(window) + UPDATE_DELAY {
            return false;
        }
        let mut peers = self.peers.values();
        let has_final_counts = |peer: &Peer| {
            peer.current_window > window || peer.current_window.saturating_add(1) < window
        };
        peers.all(has_final_counts) || now >= self.schedule.complete_by(window)
    }

    /// The counts of all instances in a window.
    fn sum(&self, window: Window) -> Counts {
        let mut sum = self.own.get(&window).cloned().unwrap_or_default();
        let peer_counts = self.peer_counts.get(&window).into_iter().flatten();
        for (organisation, count) in peer_counts.flat_map(|(_, counts)| counts) {
            let sum = sum.entry(organisation.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        sum
    }
}
