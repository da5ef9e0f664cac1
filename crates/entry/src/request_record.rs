//! Records the outcome of each request for metrics, the log and the burn report.

use std::sync::Arc;
use std::time::Duration;

use catalogue::Contract;
use clock::{Clock as _, Moment};

use crate::front::problem::{Kind, Problem, Ran};
use crate::front::request_id::RequestId;
use crate::metrics::Metric;
use crate::shared::{Shared, unix_time};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was sent.
    Served,
    /// Refused because of load, the deadline or unavailability.
    Refused,
    /// Refused by a limit of the owner or the entry.
    Limited,
    /// The request was invalid.
    Rejected,
    /// The call failed and was certainly not run.
    NotRun,
    /// The call failed and may have run.
    Unknown,
    /// The stream ended with an error after a part of it was sent.
    Cut,
    /// The caller disconnected.
    CallerGone,
}

impl Outcome {
    /// Name for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Refused => "refused",
            Self::Limited => "limited",
            Self::Rejected => "rejected",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Cut => "cut",
            Self::CallerGone => "caller_gone",
        }
    }

    fn metric(self) -> Metric {
        match self {
            Self::Served => Metric::Served,
            Self::Refused | Self::Limited => Metric::Refused,
            Self::Rejected => Metric::Rejected,
            Self::NotRun => Metric::NotRun,
            Self::Unknown => Metric::Unknown,
            Self::Cut => Metric::Cut,
            Self::CallerGone => Metric::CallerGone,
        }
    }

    /// The outcome for the service level; `None` for invalid requests, owners' limits and
    /// disconnects, which do not count against the service.
    fn burn(self, late: bool) -> Option<report::Outcome> {
        match self {
            Self::Served if late => Some(report::Outcome::Late),
            Self::Served => Some(report::Outcome::Good),
            Self::Refused => Some(report::Outcome::Refused),
            Self::NotRun | Self::Cut => Some(report::Outcome::Failed),
            Self::Unknown => Some(report::Outcome::Unknown),
            Self::Limited | Self::Rejected | Self::CallerGone => None,
        }
    }

    /// The outcome for an error answer.
    pub fn from_problem(problem: &Problem) -> Self {
        match (problem.kind, problem.ran) {
            (Kind::Limited, Ran::No) => Self::Limited,
            (Kind::Overloaded | Kind::Unavailable, Ran::No) => Self::Refused,
            (Kind::BadGateway, Ran::No) => Self::NotRun,
            (Kind::DeadlineExceeded, Ran::No) => Self::Refused,
            (_, Ran::No) => Self::Rejected,
            (_, Ran::Unknown) => Self::Unknown,
        }
    }
}

/// Record of one request. It is written when dropped, so that no code path can omit it; without a
/// call to [`Self::conclude`] the outcome is [`Outcome::CallerGone`].
#[derive(Debug)]
pub struct RequestRecord {
    shared: Arc<Shared>,
    request: RequestId,
    entry: Option<Box<str>>,
    contract: Option<Contract>,
    upstream: Option<Arc<str>>,
    started: Moment,
    first_token: Option<Moment>,
    tokens: u64,
    outcome: Outcome,
}

impl RequestRecord {
    /// Opens the record of a request whose head has arrived.
    pub fn open(shared: Arc<Shared>, request: RequestId) -> Self {
        shared.metrics.add(Metric::Requests, 1);
        shared.metrics.add(Metric::Open, 1);
        let started = shared.clock.now();
        Self {
            shared,
            request,
            entry: None,
            contract: None,
            upstream: None,
            started,
            first_token: None,
            tokens: 0,
            outcome: Outcome::CallerGone,
        }
    }

    /// Id of the request.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Arrival of the head.
    pub fn started(&self) -> Moment {
        self.started
    }

    /// Sets the catalogue entry that serves the request.
    pub fn set_entry(&mut self, entry: &catalogue::Entry) {
        self.entry = Some(entry.name.as_str().into());
        self.contract = Some(entry.contract);
    }

    /// Sets the upstream of the latest attempt.
    pub fn set_upstream(&mut self, id: &Arc<str>) {
        self.upstream = Some(Arc::clone(id));
    }

    /// Adds tokens that were streamed to the caller.
    pub fn add_tokens(&mut self, count: u32) {
        if self.first_token.is_none() && count > 0 {
            self.first_token = Some(self.shared.clock.now());
        }
        self.tokens += u64::from(count);
        self.shared.metrics.add(Metric::Tokens, u64::from(count));
    }

    /// Counts the tokens of an answer that was not streamed, for which token times are not
    /// measured.
    pub fn add_unstreamed_tokens(&mut self, count: u32) {
        self.shared.metrics.add(Metric::Tokens, u64::from(count));
    }

    /// Sets the outcome.
    pub fn conclude(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Whether the request met its contract.
    fn in_time(&self, now: Moment) -> bool {
        let Some(contract) = &self.contract else {
            return true;
        };
        let within =
            |took: Duration, limit: Option<Duration>| limit.is_none_or(|limit| took <= limit);
        let whole = now.saturating_sub(self.started);
        let first = self.first_token.unwrap_or(now).saturating_sub(self.started);
        let gaps = u32::try_from(self.tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        let between = match (self.first_token, gaps) {
            (Some(first), 1..) => now.saturating_sub(first) / gaps,
            _ => Duration::ZERO,
        };
        whole <= contract.deadline
            && within(whole, contract.whole)
            && within(first, contract.first_token)
            && within(between, contract.between_tokens)
    }

    fn write(&self, now: Moment) {
        let level = match self.outcome {
            Outcome::Served | Outcome::CallerGone => log::Level::Debug,
            Outcome::Refused | Outcome::Limited | Outcome::Rejected => log::Level::Info,
            Outcome::NotRun | Outcome::Unknown | Outcome::Cut => log::Level::Warn,
        };
        log::log!(
            level,
            request_id = self.request.as_str(),
            entry = self.entry.as_deref().unwrap_or("-"),
            upstream = self.upstream.as_deref().unwrap_or("-"),
            outcome = self.outcome.as_str(),
            took_ms = now.saturating_sub(self.started).as_millis() as u64,
            tokens = self.tokens;
            "request"
        );
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.metrics.subtract(Metric::Open, 1);
        self.shared.metrics.add(self.outcome.metric(), 1);
        self.write(now);
        if let Some(entry) = &self.entry {
            let late = self.outcome == Outcome::Served && !self.in_time(now);
            if let Some(outcome) = self.outcome.burn(late) {
                let epoch = unix_time(&self.shared.clock).as_secs();
                self.shared.burn().record(epoch, entry, outcome);
            }
        }
    }
}
