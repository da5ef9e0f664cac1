//! Classifies how a request ended for its caller and decides on retries. Callers behave correctly
//! here: they honour `Retry-After`, send a call again only if it may be repeated or has a key, and
//! resume a stream instead of restarting it.

use std::time::Duration;

use crate::plan::Class;

/// Delay before the next attempt when an entry could not be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Delay after the first refusal without `Retry-After`; doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Status of a conflict with an earlier attempt under the same key.
const STATUS_CONFLICT: u16 = 409;

/// Whether a refused call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The call certainly did not run.
    No,
    /// The call may have run; also assumed if the answer does not say.
    Unknown,
}

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer that belongs to this request.
    Whole,
    /// An error answer.
    Refused {
        /// HTTP status.
        status: u16,
        /// Whether the call ran.
        ran: Ran,
        /// The `Retry-After` of the answer.
        retry_after: Option<Duration>,
    },
    /// No connection was established, so nothing was sent.
    Unreached,
    /// The connection broke or the attempt timed out before an answer began.
    Broken,
    /// The answer began but is incomplete.
    Cut,
    /// The answer, or a part of it, belongs to another request.
    Crossed,
    /// The answer belongs to this request but has repeated, reordered or missing parts.
    Garbled,
    /// The caller gave up after its time limit.
    TimedOut,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Received a complete answer of its own.
    Served,
    /// Told that the call did not run or that the request is invalid.
    Refused,
    /// Told that the call may have run.
    Unknown,
    /// Received no answer.
    Lost,
    /// Received only a part of the answer.
    Cut,
    /// Received another request's answer.
    Crossed,
    /// Received repeated, reordered or missing parts of its answer.
    Garbled,
}

impl Verdict {
    /// All verdicts, in the order of reports.
    pub const ALL: [Self; 7] = [
        Self::Served,
        Self::Refused,
        Self::Unknown,
        Self::Lost,
        Self::Cut,
        Self::Crossed,
        Self::Garbled,
    ];

    /// The name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Lost => "lost",
            Self::Cut => "cut",
            Self::Crossed => "crossed",
            Self::Garbled => "garbled",
        }
    }
}

/// What a caller does after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Tries another entry after this delay; a started stream is resumed.
    Retry(Duration),
    /// Makes no further attempt.
    Finish(Verdict),
}

/// State of a request at the end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct RequestState<'a> {
    /// Class of the request.
    pub class: &'a Class,
    /// Attempts made so far.
    pub attempts: u32,
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Whether a part of a stream was received, so that it can be resumed.
    pub stream_started: bool,
}

impl RequestState<'_> {
    /// Decides what the caller does after an attempt that ended like this.
    pub fn next_step(&self, end: &AttemptEnd) -> NextStep {
        let verdict = self.verdict(end);
        let Some(wait) = self.retry_delay(end) else {
            return NextStep::Finish(verdict);
        };
        if self.attempts > self.class.retries || wait >= self.time_left {
            return NextStep::Finish(verdict);
        }
        NextStep::Retry(wait)
    }

    /// The verdict if the caller makes no further attempt.
    fn verdict(&self, end: &AttemptEnd) -> Verdict {
        match end {
            AttemptEnd::Whole => Verdict::Served,
            AttemptEnd::Crossed => Verdict::Crossed,
            AttemptEnd::Garbled => Verdict::Garbled,
            AttemptEnd::Cut => Verdict::Cut,
            _ if self.stream_started => Verdict::Cut,
            AttemptEnd::Refused { ran: Ran::No, .. } => Verdict::Refused,
            AttemptEnd::Refused { status, .. } if rejects_request(*status) => Verdict::Refused,
            AttemptEnd::Refused { .. } => Verdict::Unknown,
            AttemptEnd::Unreached | AttemptEnd::Broken | AttemptEnd::TimedOut => Verdict::Lost,
        }
    }

    /// Delay before the next attempt, or `None` if there must be none.
    fn retry_delay(&self, end: &AttemptEnd) -> Option<Duration> {
        match *end {
            AttemptEnd::Whole
            | AttemptEnd::Crossed
            | AttemptEnd::Garbled
            | AttemptEnd::TimedOut => None,
            AttemptEnd::Unreached => Some(RECONNECT_DELAY),
            AttemptEnd::Broken | AttemptEnd::Cut => self.may_retry().then_some(RECONNECT_DELAY),
            AttemptEnd::Refused {
                status,
                ran,
                retry_after,
            } => {
                let temporary = matches!(status, STATUS_CONFLICT | 429 | 500 | 502 | 503);
                let safe = ran == Ran::No || self.may_retry();
                (temporary && safe).then(|| retry_after.unwrap_or_else(|| self.backoff()))
            }
        }
    }

    fn may_retry(&self) -> bool {
        self.stream_started || self.class.repeatable || self.class.keyed
    }

    fn backoff(&self) -> Duration {
        INITIAL_BACKOFF * 2_u32.saturating_pow(self.attempts.saturating_sub(1).min(6))
    }
}

/// Whether the status rejects the request itself, whatever it says of its execution. A conflict
/// does not: it may be about an earlier attempt that ran.
fn rejects_request(status: u16) -> bool {
    (400..500).contains(&status) && status != STATUS_CONFLICT
}
