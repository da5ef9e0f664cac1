//! Limits, inputs and outputs of the batcher.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use wire::record::record::Body;

use crate::{Call, CallEnd, CallId, Decision, Holder, Nonce, Offset};

/// Limits of the batcher. They bound its appends because the log accepts only several hundred
/// appends per second from all processes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Largest number of claims, or of outcomes, in one append.
    pub max_batch: usize,
    /// Largest number of appends of claims that are not read back.
    pub max_in_flight: usize,
    /// Minimum time between two appends of claims.
    pub claim_interval: Duration,
    /// Minimum time between two appends of outcomes.
    pub outcome_interval: Duration,
    /// Minimum time between an append that the log rejected and the next append of claims.
    pub retry_delay: Duration,
    /// Time within which an append must be read back before its claims or outcomes are appended
    /// again.
    pub read_back_timeout: Duration,
    /// How long a first attempt that may run without a claim waits for its claim.
    pub first_attempt_wait: Duration,
    /// Largest number of open calls. Further calls are refused.
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

/// Availability of the log as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LogStatus {
    /// Appends and reads succeed.
    Up,
    /// Appends or reads fail.
    Down,
}

/// An input of the batcher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A call arrived.
    Call(Call),
    /// The caller of a call has disconnected.
    CallerGone(CallId),
    /// A call that was told to run has ended.
    Ended(CallId, CallEnd),
    /// The log acknowledged an append at this offset. Its claims count once they are read back.
    Appended(Nonce, Offset),
    /// The log has not accepted an append and will not.
    Rejected(Nonce),
    /// The answer to an append is lost.
    AnswerLost(Nonce),
    /// The availability of the log changed.
    Log(LogStatus),
    /// Time has passed.
    Tick,
}

/// An action for the owner of the batcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append a record to the log once.
    Append {
        /// Nonce of the record.
        nonce: Nonce,
        /// Body of the record.
        body: Body,
    },
    /// A decision on a call.
    Decide(CallId, Decision),
    /// A call ran without a claim, and another call holds the claim of its key. Both may have run,
    /// so operators must be told.
    Contested {
        /// The call at this process.
        call: CallId,
        /// The holder of the other call.
        holder: Arc<Holder>,
    },
}

/// The outputs of one step.
pub type Outputs = SmallVec<[Output; 4]>;
