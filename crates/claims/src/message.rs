//! What goes into the batcher and what comes out.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use wire::record::record::Body;

use crate::{Call, CallEnd, CallId, Decision, Holder, Nonce, Offset};

/// How appends are spent. The log takes several hundred a second for all processes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Most claims, or outcomes, in one append.
    pub max_batch: usize,
    /// Most appends of claims that are not read back.
    pub max_in_flight: usize,
    /// Least time between two appends of claims.
    pub claim_interval: Duration,
    /// Least time between two appends of outcomes.
    pub outcome_interval: Duration,
    /// Least time from an append that the log rejected to the next one.
    pub retry_delay: Duration,
    /// How long an append may go unread before its calls are claimed again.
    pub read_back_timeout: Duration,
    /// How long a first attempt waits for its claim if it may run without.
    pub first_attempt_wait: Duration,
    /// Most calls that are held; those beyond are refused.
    pub max_calls: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_batch: 256,
            max_in_flight: 2,
            claim_interval: Duration::from_millis(20),
            outcome_interval: Duration::from_millis(200),
            retry_delay: Duration::from_millis(100),
            read_back_timeout: Duration::from_millis(1_000),
            first_attempt_wait: Duration::from_millis(250),
            max_calls: 20_000,
        }
    }
}

/// Whether the log answers, as the client of the log sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LogStatus {
    /// Appends and reads succeed.
    Up,
    /// They do not.
    Down,
}

/// What happens to the batcher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A call arrived.
    Call(Call),
    /// Its caller has gone.
    CallerGone(CallId),
    /// A call that was told to run has ended.
    Ended(CallId, CallEnd),
    /// The log answered that an append stands at this offset. It counts once it is read back.
    Appended(Nonce, Offset),
    /// The log has certainly not taken an append, and will not.
    Rejected(Nonce),
    /// The answer to an append is lost.
    AnswerLost(Nonce),
    /// The log came or went.
    Log(LogStatus),
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
    Decide(CallId, Decision),
    /// A call that ran without a claim met the claim of another call with the same key: both may
    /// have run. Operators must hear of it.
    Contested {
        /// The call here.
        call: CallId,
        /// The process of the other.
        holder: Arc<Holder>,
    },
}

/// A few outputs.
pub type Outputs = SmallVec<[Output; 4]>;
