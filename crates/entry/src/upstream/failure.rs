//! How a call to an upstream failed, and whether it may have run.

use std::fmt;

use awc::error::{ConnectError, SendRequestError};
use fleet::upstream::Observation;
use routing::decision::Execution;

/// Why a call has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was established; nothing was sent.
    NotSent(String),
    /// The upstream confirmed with this status that it did not run the call.
    Declined(u16),
    /// The connection broke after something may have been sent.
    Lost(String),
    /// The upstream did not answer in time.
    TimedOut,
    /// The answer carries another request's id, or lacks the id where it is required.
    Crossed,
    /// The answer exceeds the size limit.
    TooLarge,
    /// The caller's body was truncated, so that the call cannot be completed.
    CallerGone(String),
}

impl Failure {
    /// Whether the call may have run.
    pub fn ran(&self) -> Execution {
        match self {
            Self::NotSent(_) | Self::Declined(_) => Execution::NotRun,
            Self::Lost(_)
            | Self::TimedOut
            | Self::Crossed
            | Self::TooLarge
            | Self::CallerGone(_) => Execution::Unknown,
        }
    }

    /// The observation for the upstream's health; `None` if the upstream is not at fault.
    pub fn observation(&self) -> Option<Observation> {
        match self {
            Self::NotSent(_) | Self::Lost(_) | Self::Crossed => Some(Observation::Failed),
            Self::TimedOut => Some(Observation::TimedOut),
            Self::Declined(_) | Self::TooLarge | Self::CallerGone(_) => None,
        }
    }

    /// Short name for metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::Declined(_) => "declined",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed_out",
            Self::Crossed => "crossed",
            Self::TooLarge => "too_large",
            Self::CallerGone(_) => "caller_gone",
        }
    }

    /// Classifies an error of the HTTP client.
    ///
    /// `ConnectError::Disconnected` is not a failure to connect: the client also returns it when
    /// the peer closes the connection after the whole request was written, for example a service
    /// that crashes after executing the call. Classified as not run, such a call would run twice.
    pub fn from_client_error(error: &SendRequestError) -> Self {
        match error {
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Lost("the connection was closed before the answer".to_owned())
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) => {
                Self::NotSent(error.to_string())
            }
            SendRequestError::Timeout => Self::TimedOut,
            SendRequestError::Body(_) => Self::CallerGone(error.to_string()),
            other => Self::Lost(format!("{other:?}")),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "no connection to the upstream: {why}"),
            Self::Declined(status) => write!(f, "the upstream declined with status {status}"),
            Self::Lost(why) => write!(f, "the connection to the upstream broke: {why}"),
            Self::TimedOut => f.write_str("the upstream did not answer in time"),
            Self::Crossed => f.write_str("the answer did not belong to the request"),
            Self::TooLarge => f.write_str("the answer was too large"),
            Self::CallerGone(why) => write!(f, "the request's body broke off: {why}"),
        }
    }
}

impl std::error::Error for Failure {}
