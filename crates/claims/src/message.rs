//! What goes into the batcher and what comes out.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use wire::record::record::Body;

use crate::{Call, Decision, End, Holder, Nonce, Offset, Ticket};

/// How appends are spent. The log takes several hundred a second for all processes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// Most claims, or outcomes, in one append.
    pub max_batch: usize,
    /// Most appends of claims that are not read back.
    pub in_flight: usize,
    /// Least time between two appends of claims.
    pub interval: Duration,
    /// Least time between two appends of outcomes.
    pub outcome_interval: Duration,
    /// Least time from an append that the log rejected to the next one.
    pub retry: Duration,
    /// How long an append may go unread before its calls are claimed again.
    pub patience: Duration,
    /// How long a first attempt waits for its claim if it may run without.
    pub first_attempt_wait: Duration,
    /// Most calls that are held; those beyond are refused.
    pub max_held: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            max_batch: 256,
            in_flight: 2,
            interval: Duration::from_millis(20),
            outcome_interval: Duration::from_millis(200),
            retry: Duration::from_millis(100),
            patience: Duration::from_millis(1_000),
            first_attempt_wait: Duration::from_millis(250),
            max_held: 20_000,
        }
    }
}

/// Whether the log answers, as the client of the log sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reach {
    /// Appends and reads succeed.
    Up,
    /// They do not.
    Out,
}

/// What happens to the batcher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A call arrived.
    Call(Call),
    /// Its caller has gone.
    Gone(Ticket),
    /// A call that was told to run has ended.
    Ended(Ticket, End),
    /// The log answered that an append stands at this offset. It counts once it is read back.
    Appended(Nonce, Offset),
    /// The log has certainly not taken an append, and will not.
    Rejected(Nonce),
    /// The answer to an append is lost.
    Lost(Nonce),
    /// The log came or went.
    Log(Reach),
    /// Time has passed.
    Tick,
}

/// What the batcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append this to the log, once.
    Append {
        /// The nonce of the record.
        nonce: Nonce,
        /// Its body.
        body: Body,
    },
    /// Do this with a call.
    Decide(Ticket, Decision),
    /// A call that ran without a claim met the claim of another call with the same key: both may
    /// have run. Operators must hear of it.
    Contested {
        /// The call here.
        ticket: Ticket,
        /// The process of the other.
        holder: Arc<Holder>,
    },
}

/// A few outputs.
pub type Outputs = SmallVec<[Output; 4]>;
