//! Results that the router returns to the entry.

use std::time::Duration;

use crate::{class::Class, upstream};

/// Id of one attempt to run a request, unique within a process.
pub type Attempt = u64;

/// Id of a waiting request, unique within a process.
pub type Ticket = u64;

/// Decision about a new request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it now.
    Send(Assignment),
    /// Queue it; an [`Output`] tells when it is sent or refused.
    Wait(Ticket),
    /// Refuse it at once, as not run.
    Refuse(Refusal),
}

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Id for all later calls about this attempt.
    pub attempt: Attempt,
    /// Upstream that produces the answer.
    pub upstream: upstream::Id,
    /// Engine that first runs the prefill and exports the KV cache to `upstream`; none if
    /// `upstream` runs both.
    pub prefill: Option<upstream::Id>,
    /// Priority passed to the engine, 0 highest.
    pub priority: u8,
}

/// A final refusal: this entry has not run the request and will not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Time after which the caller may retry, randomised so that callers do not return all at
    /// once.
    pub retry_after: Duration,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The limit on requests per second.
    RequestLimit,
    /// The limit on tokens per second.
    TokenLimit,
    /// The limit on concurrent requests.
    ConcurrencyLimit,
    /// The pool is overloaded and the class was shed.
    Overload(Class),
    /// The deadline can no longer be met.
    Deadline,
    /// No upstream of the pool accepts new work.
    NoUpstream,
    /// The pool does not exist.
    NoPool,
}

/// Action for the entry, due to the passage of time or freed capacity.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send the waiting request.
    Send {
        /// Ticket from [`Decision::Wait`].
        ticket: Ticket,
        /// Where to send it.
        assignment: Assignment,
    },
    /// Refuse the waiting request, which was not run.
    Refuse {
        /// Ticket from [`Decision::Wait`].
        ticket: Ticket,
        /// Reason and retry time.
        refusal: Refusal,
    },
}

/// Decision about a request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry it; an [`Output`] tells when, or that it is refused after all.
    Wait(Ticket),
    /// Do not retry; the entry answers according to how the attempt failed.
    Final,
}

/// Whether a failed attempt ran, as far as the entry can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Certainly not run: no byte was sent, or the upstream said so.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The prefill is done: the first token arrived, or the KV export was answered.
    Prefilled,
    /// This many answer tokens arrived.
    Tokens(u32),
}
