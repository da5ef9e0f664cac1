//! Answers of the decisions to the entry.

use std::time::Duration;

use crate::{class::Class, upstream};

/// Number of one attempt to run a request, unique within a process.
pub type Attempt = u64;

/// Number of a waiting request, unique within a process.
pub type Ticket = u64;

/// What becomes of a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it now.
    Send(Assignment),
    /// Hold it; [`Output`] tells when it goes or is refused.
    Wait(Ticket),
    /// Answer "not run" at once.
    Refuse(Refusal),
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Number to be used in all later calls about this attempt.
    pub attempt: Attempt,
    /// Upstream that gives the answer.
    pub upstream: upstream::Id,
    /// Engine that runs the prefill and exports the KV cache to `upstream` first; none if
    /// `upstream` does both.
    pub prefill: Option<upstream::Id>,
    /// Priority to state to the engine, 0 highest.
    pub priority: u8,
}

/// A final refusal: the request was not run by this entry and will not be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller may come back; spread at random so that callers do not return in step.
    pub retry_after: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The owner's requests a second.
    RequestLimit,
    /// The owner's tokens a second.
    TokenLimit,
    /// The owner's requests at once.
    ConcurrencyLimit,
    /// More work than the pool can do; the class was shed.
    Overload(Class),
    /// The deadline cannot be met any more.
    Deadline,
    /// No upstream of the pool takes new work.
    NoUpstream,
    /// The pool is unknown.
    NoPool,
}

/// Something that the entry must do because time passed or capacity came free.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The waiting request goes now.
    Send {
        /// Number given by [`Decision::Wait`].
        ticket: Ticket,
        /// Where it goes.
        assignment: Assignment,
    },
    /// The waiting request is refused; it was not run.
    Refuse {
        /// Number given by [`Decision::Wait`].
        ticket: Ticket,
        /// Reason and time to come back.
        refusal: Refusal,
    },
}

/// What becomes of a request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It is tried again; [`Output`] tells when, or that it is refused after all.
    Wait(Ticket),
    /// It is not tried again; the entry answers by what it knows of the attempt.
    Final,
}

/// How an attempt went, as far as the entry can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Certainly not run: no byte left this process, or the upstream said so.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A sign of life of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The prefill is done (the first token came, or the KV export answered).
    Prefilled,
    /// So many answer tokens came.
    Tokens(u32),
}
