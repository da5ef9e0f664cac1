//! Models how reading a prompt delays the streams at the same engine. In peaks, long prompts are
//! read beside streams of thousands of tokens whose events hold many tokens each, so that the pause
//! between two events grows with every prompt read meanwhile. See `docs/design/placement.md`,
//! "Streams".

use std::time::Duration;

use clock::Moment;

use crate::linear_fit::LinearFit;

/// Tracks the time in which an engine has had prompts to read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadActivity {
    is_reading: bool,
    total: Duration,
    /// Number of times that the last prompt was read.
    ended_periods: u32,
    /// When that last happened.
    ended_at: Option<Moment>,
    at: Moment,
}

impl ReadActivity {
    /// Sets whether the engine has a prompt to read from now on.
    pub(crate) fn set(&mut self, is_reading: bool, now: Moment) {
        self.total = self.total(now);
        self.at = self.at.max(now);
        if self.is_reading && !is_reading {
            self.ended_periods = self.ended_periods.wrapping_add(1);
            self.ended_at = Some(now);
        } else if is_reading && !self.is_reading && self.ended_at == Some(now) {
            // All work of another instance was replaced by what it announces.
            self.ended_periods = self.ended_periods.wrapping_sub(1);
        }
        self.is_reading = is_reading;
    }

    /// Number of periods with prompts to read that have ended.
    pub(crate) fn ended_periods(&self) -> u32 {
        self.ended_periods
    }

    /// Total time with prompts to read.
    pub(crate) fn total(&self, now: Moment) -> Duration {
        if self.is_reading {
            self.total + now.saturating_sub(self.at)
        } else {
            self.total
        }
    }
}

/// State of a stream at its last event.
#[derive(Clone, Copy, Debug)]
pub struct StreamMark {
    pub(crate) at: Moment,
    pub(crate) read: Duration,
}

/// Linear model of the pauses between events of one service's streams, by the time in which their
/// engine had prompts to read.
///
/// All times are shares of the longest pause that the stream may have. The line gives the pause
/// without reading, and how much reading adds to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PauseModel {
    observations: LinearFit,
}

/// Decay of earlier pauses with each new one: the last few hundred count, which is a second or two
/// of an instance's streams under load.
const RETAINED: f64 = 1.0 - 1.0 / 400.0;
/// Sum of weights below which no estimate is made.
const MIN_WEIGHT: f64 = 40.0;
/// Least variance of the reading times for which a slope is computed.
const MIN_VARIANCE: f64 = 1e-4;
/// A longer pause comes from an engine that stalls, and not from reading.
const MAX_PAUSE: f64 = 4.0;
/// Largest share of a pause that reading may add. An engine makes a token after each chunk of a
/// prompt, so that streams never stop.
const MAX_ADDED_SHARE: f64 = 0.95;

impl PauseModel {
    /// Records one pause and the reading time within it.
    pub(crate) fn observe(&mut self, read: f64, pause: f64) {
        if pause <= MAX_PAUSE {
            self.observations.observe(read, pause, RETAINED);
        }
    }

    /// The expected pause of a stream at an engine that reads all the time, as a share of the
    /// longest allowed.
    pub(crate) fn pause_while_reading(&self) -> Option<f64> {
        if self.observations.weight() < MIN_WEIGHT {
            return None;
        }
        let (read, pause) = self.observations.mean()?;
        let added = self.observations.slope(MIN_VARIANCE)?;
        let added = added.clamp(0.0, MAX_ADDED_SHARE);
        let alone = (pause - added * read).max(0.0);
        // Reading continues through the whole pause: pause = alone + added * pause.
        Some(alone / (1.0 - added))
    }
}

/// Share of the longest pause up to which reading does streams no harm. The rest covers events that
/// come a little later than usual now and then.
const FREE_SHARE: f64 = 0.5;

/// Delay of a stream per unit of reading time, from 0 to 1, given the share of its longest pause
/// that it reaches while the engine reads.
pub(crate) fn stream_delay(beside_reading: f64) -> f64 {
    ((beside_reading - FREE_SHARE) / (1.0 - FREE_SHARE)).clamp(0.0, 1.0)
}
