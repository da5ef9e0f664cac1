//! What is believed to stand before one upstream.
//!
//! The belief has two parts. What this entry sent is known exactly. What the others sent is known
//! from the younger of two stale sources: the peers' own counts, or the engine's report less what this
//! entry had there at the report's moment. The second part fades towards the pool's mean with its
//! age; see docs/design/choice.md.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;

use crate::{load::Load, pool::Speed, upstream::Report};

/// Spacing of the remembered own loads.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Remembered own loads; with the spacing they reach back over six seconds, further than which a
/// report is worth nothing.
const MAX_SAMPLES: usize = 32;

/// The staleness with which views are taken as they are, however old; what the baselines do.
pub const NO_DECAY: Duration = Duration::MAX;

/// Own load at a moment, to be taken out of a report of that moment.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Moment,
    own: Load,
}

/// Work of others before the upstream, and how old that view is.
#[derive(Clone, Copy, Debug, Default)]
struct OthersLoad {
    at: Moment,
    load: Load,
    known: bool,
}

/// Belief about one upstream.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: Load,
    samples: VecDeque<Sample>,
    peers: OthersLoad,
    reported: OthersLoad,
    report: Option<Report>,
}

impl Ledger {
    /// What this entry has there now.
    pub fn own(&self) -> Load {
        self.own
    }

    /// The newest report.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Takes in work that was sent.
    pub fn add(&mut self, now: Moment, load: Load) {
        self.sample(now);
        self.own += load;
    }

    /// Takes out work that is done or gone.
    pub fn remove(&mut self, now: Moment, load: Load) {
        self.sample(now);
        self.own = (self.own - load).clamp_non_negative();
    }

    /// Takes in a report; older ones than the last are dropped because reports may overtake each
    /// other. Says whether it was taken.
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

    /// Takes in the sum of what all peers have there, true at `at` (the oldest of their frames).
    pub fn set_peer_load(&mut self, at: Moment, load: Load) {
        self.peers = OthersLoad {
            at,
            load,
            known: true,
        };
    }

    /// What others have there, and its age; nothing if no source is known.
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

    /// The belief: own work, and that of others faded towards `mean` over `staleness`, but never
    /// less than what the upstream cannot have worked off since at its `speed`.
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

/// Share of a view's meaning that is lost at an age: 0 when fresh, 0.63 after `staleness`.
fn decayed_share(age: Duration, decay_time: Duration) -> f64 {
    let ratio = age.as_secs_f64() / decay_time.as_secs_f64().max(f64::MIN_POSITIVE);
    1.0 - (-ratio).exp()
}

/// What is left of a load at least after some time of full work on nothing else.
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
