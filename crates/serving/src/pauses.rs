//! What reading a prompt does to the streams beside it. The load that this answers: long prompts in peaks
//! beside streams of thousands of tokens, whose events hold many tokens each, so that a pause between two of
//! them grows with every prompt that is read meanwhile. See `docs/design/placement.md`, "Streams".

use std::time::Duration;

use clock::Moment;

use crate::linear_fit::LinearFit;

/// When an engine has had prompts to read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadActivity {
    is_reading: bool,
    total: Duration,
    at: Moment,
}

impl ReadActivity {
    /// Takes in whether the engine has a prompt to read from now on.
    pub(crate) fn set(&mut self, is_reading: bool, now: Moment) {
        self.total = self.total(now);
        self.at = self.at.max(now);
        self.is_reading = is_reading;
    }

    /// Time in which it has had some.
    pub(crate) fn total(&self, now: Moment) -> Duration {
        if self.is_reading {
            self.total + now.saturating_sub(self.at)
        } else {
            self.total
        }
    }
}

/// Where a stream was when its last event came.
#[derive(Clone, Copy, Debug)]
pub struct StreamMark {
    pub(crate) at: Moment,
    pub(crate) read: Duration,
}

/// Pauses between events of one service's streams, against the time in which their engine had prompts to read.
///
/// All times are shares of the longest pause that the stream may have. A straight line through the pauses
/// gives the pause of a stream beside which nothing is read, and how much reading adds to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PauseModel {
    observations: LinearFit,
}

/// What is left of earlier pauses with each new one: some hundred count, a second or two of an instance's
/// streams under load.
const RETAINED: f64 = 1.0 - 1.0 / 400.0;
/// Pauses that must have been seen before anything is said of them.
const MIN_WEIGHT: f64 = 40.0;
/// Least spread of the reading times through which a line is laid, as a variance.
const MIN_VARIANCE: f64 = 1e-4;
/// A pause that is longer than this tells of an engine that stands still, and not of reading.
const MAX_PAUSE: f64 = 4.0;
/// Share of a pause by which reading holds a stream up at the most. An engine makes a token after each chunk of a prompt,
/// so that it never stands still.
const MAX_ADDED_SHARE: f64 = 0.95;

impl PauseModel {
    /// Takes in one pause and the reading time in it.
    pub(crate) fn observe(&mut self, read: f64, pause: f64) {
        if pause <= MAX_PAUSE {
            self.observations.observe(read, pause, RETAINED);
        }
    }

    /// The pause of a stream at an engine that never ceases to read, as a share of what it may have.
    pub(crate) fn pause_while_reading(&self) -> Option<f64> {
        if self.observations.weight() < MIN_WEIGHT {
            return None;
        }
        let (read, pause) = self.observations.mean()?;
        let added = self.observations.slope(MIN_VARIANCE)?;
        let added = added.clamp(0.0, MAX_ADDED_SHARE);
        let alone = (pause - added * read).max(0.0);
        // Reading goes on through the whole pause: pause = alone + added * pause.
        Some(alone / (1.0 - added))
    }
}

/// Share of their longest pause up to which streams lose nothing by reading: events come a little later than
/// usual now and then, which takes the rest.
const FREE_SHARE: f64 = 0.5;

/// How much a stream loses by reading, from nothing to a millisecond for each millisecond read, where its
/// pauses beside reading are this share of what they may be.
pub(crate) fn stream_delay(beside_reading: f64) -> f64 {
    ((beside_reading - FREE_SHARE) / (1.0 - FREE_SHARE)).clamp(0.0, 1.0)
}
