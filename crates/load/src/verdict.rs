//! How a request ended for its caller, and what a caller does next when an attempt failed.
//! Callers are honest here: they wait as long as they were told, they send a call again only if it
//! may be repeated or carries a key, and they resume a stream instead of starting it over.

use std::time::Duration;

use crate::plan::Class;

/// Wait before another entry is tried when one could not be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// First wait after a refusal that names no time; it doubles with each try.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Status of a conflict with an earlier attempt under the same key.
const STATUS_CONFLICT: u16 = 409;

/// What a refusal says of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The call has certainly not run.
    No,
    /// Nobody knows; also assumed where an answer does not say.
    Unknown,
}

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer, and it belongs to this request.
    Whole,
    /// An error answer.
    Refused {
        /// HTTP status.
        status: u16,
        /// What it says of the call.
        ran: Ran,
        /// When it asks the caller to come back.
        retry_after: Option<Duration>,
    },
    /// No connection came about, so nothing was sent.
    Unreached,
    /// The connection broke before an answer began, or none began in the time for an attempt.
    Broken,
    /// The answer began and broke off.
    Cut,
    /// The answer, or a part of it, belongs to another request.
    Crossed,
    /// The answer is the caller's own but has parts twice, out of order or missing.
    Garbled,
    /// The caller went away after its patience.
    TimedOut,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Whole and own.
    Served,
    /// Told that it did not run, or that the request is not acceptable.
    Refused,
    /// Told that it may have run.
    Unknown,
    /// No answer at all.
    Lost,
    /// Only a part of the answer.
    Cut,
    /// Another request's answer.
    Crossed,
    /// Own parts twice, out of order or missing.
    Garbled,
}

impl Verdict {
    /// All verdicts in the order of reports.
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
    /// Tries again at another entry after a wait; a stream that has begun is resumed.
    Retry(Duration),
    /// Gives up or is content.
    Finish(Verdict),
}

/// Where a request stands when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestState<'a> {
    /// Its class, with its contract.
    pub class: &'a Class,
    /// Attempts made so far.
    pub attempts: u32,
    /// Time until the caller goes away.
    pub time_left: Duration,
    /// Whether a part of a stream has arrived that can be resumed.
    pub stream_started: bool,
}

impl RequestState<'_> {
    /// What the caller does after this end of an attempt.
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

    /// What it amounts to if the caller stops here.
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

    /// How long to wait before the next attempt, or nothing if there must be none.
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

/// Statuses that tell that the request was not acceptable, whatever they say of its execution. A
/// conflict is none: it may be about an earlier attempt that ran.
fn rejects_request(status: u16) -> bool {
    (400..500).contains(&status) && status != STATUS_CONFLICT
}
