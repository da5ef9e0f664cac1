//! Estimate of the outstanding work at one upstream.
//!
//! The estimate has two parts. What this entry sent is known exactly. What other entries sent is
//! taken from the more recent of two stale sources: the peers' own counts, or the engine's load
//! report less what this entry had outstanding there at that time. The second part decays towards
//! the pool's mean with its age; see docs/design/choice.md.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;

use crate::{load::Load, pool::Speed, upstream::Report};

/// Interval between samples of the own load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of samples kept. They cover over six seconds; older load reports are of no use.
const MAX_SAMPLES: usize = 32;

/// Decay time with which views are used as they are, however old, as the baseline policies do.
pub const NO_DECAY: Duration = Duration::MAX;

/// Own load at a point in time, to be subtracted from a report of that time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Moment,
    own: Load,
}

/// Work of other entries at the upstream, as of `at`.
#[derive(Clone, Copy, Debug, Default)]
struct OthersLoad {
    at: Moment,
    load: Load,
    known: bool,
}

/// Estimate of the outstanding work at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: Load,
    samples: VecDeque<Sample>,
    peers: OthersLoad,
    reported: OthersLoad,
    report: Option<Report>,
}

impl Ledger {
    /// Work that this entry has outstanding there.
    pub fn own(&self) -> Load {
        self.own
    }

    /// The newest load report.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Adds work that was sent.
    pub fn add(&mut self, now: Moment, load: Load) {
        self.sample(now);
        self.own += load;
    }

    /// Removes work that is done or cancelled.
    pub fn remove(&mut self, now: Moment, load: Load) {
        self.sample(now);
        self.own = (self.own - load).clamp_non_negative();
    }

    /// Applies a load report and returns whether it is newer than the last one. Reports may arrive
    /// out of order.
    pub fn apply_report(&mut self, report: Report) -> bool {
        if self.report.is_some_and(|last| last.at >= report.at) {
            return false;
        }
        let others = (report.load - self.own_at(report.at)).clamp_non_negative();
        self.reported = OthersLoad {
            at: report.at,
            load: others,
            known: true,
        };
        self.report = Some(report);
        true
    }

    /// Sets the sum of the work of all peers, as of `at`, the oldest of their frames.
    pub fn set_peer_load(&mut self, at: Moment, load: Load) {
        self.peers = OthersLoad {
            at,
            load,
            known: true,
        };
    }

    /// Work of other entries and the age of that information, if any source is known.
    pub fn others(&self, now: Moment) -> Option<(Load, Duration)> {
        let newest = match (self.peers.known, self.reported.known) {
            (false, false) => return None,
            (true, false) => self.peers,
            (false, true) => self.reported,
            (true, true) if self.peers.at >= self.reported.at => self.peers,
            (true, true) => self.reported,
        };
        Some((newest.load, now.saturating_sub(newest.at)))
    }

    /// Estimated work: the own work plus that of other entries, decayed towards `mean` with the
    /// time constant `decay_time`, but no less than what the upstream must have left at its
    /// `speed`.
    pub fn estimate(&self, now: Moment, mean: Load, decay_time: Duration, speed: &Speed) -> Load {
        let Some((load, age)) = self.others(now) else {
            return self.own + mean;
        };
        if decay_time == NO_DECAY {
            return self.own + load;
        }
        let decayed = load.lerp(mean, decayed_share(age, decay_time));
        self.own + decayed.max(least_remaining(load, age, speed))
    }

    fn sample(&mut self, now: Moment) {
        let due = match self.samples.back() {
            None => true,
            Some(last) => now.saturating_sub(last.at) >= SAMPLE_INTERVAL,
        };
        if !due {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at: now,
            own: self.own,
        });
    }

    fn own_at(&self, at: Moment) -> Load {
        let after = self.samples.iter().find(|sample| sample.at >= at);
        after.map_or(self.own, |sample| sample.own)
    }
}

/// Share by which a load of this age has decayed towards the mean: 0 when fresh, 0.63 after
/// `decay_time`.
fn decayed_share(age: Duration, decay_time: Duration) -> f64 {
    let ratio = age.as_secs_f64() / decay_time.as_secs_f64().max(f64::MIN_POSITIVE);
    1.0 - (-ratio).exp()
}

/// Least that can be left of a load after the upstream worked on nothing else.
fn least_remaining(load: Load, age: Duration, speed: &Speed) -> Load {
    let seconds = age.as_secs_f64();
    let prefill = load.prefill - speed.prefill_rate * seconds;
    let decode = load.decode - f64::from(speed.slots) * speed.decode_rate * seconds;
    let share = if load.decode > 0.0 {
        decode / load.decode
    } else {
        0.0
    };
    Load {
        requests: load.requests * share,
        prefill,
        decode,
    }
}
