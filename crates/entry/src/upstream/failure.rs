//! How a call to an upstream failed, and what is certain about it.

use std::fmt;

use awc::error::{ConnectError, SendRequestError};
use fleet::upstream::Observation;
use routing::decision::Execution;

/// Why there is no answer that may be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about; no byte of the call left.
    NotSent(String),
    /// The upstream says that it did nothing, with its status.
    Declined(u16),
    /// The connection broke after a byte may have left.
    Lost(String),
    /// No answer came in time.
    TimedOut,
    /// The answer belongs to another request, or says of none that it belongs to this one.
    Crossed,
    /// The answer is larger than allowed.
    TooLarge,
    /// The caller's own body broke off, so that the call cannot be completed.
    CallerGone(String),
}

impl Failure {
    /// What is certain about the call.
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

    /// What it says of the upstream's health; nothing if the upstream is not to blame.
    pub fn observation(&self) -> Option<Observation> {
        match self {
            Self::NotSent(_) | Self::Lost(_) | Self::Crossed => Some(Observation::Failed),
            Self::TimedOut => Some(Observation::TimedOut),
            Self::Declined(_) | Self::TooLarge | Self::CallerGone(_) => None,
        }
    }

    /// A short word for metrics and logs.
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

    /// Reads the client's error.
    ///
    /// `ConnectError::Disconnected` looks like a failure to connect and is none: the client gives
    /// it as well when the peer closes after the whole request was written. Called "not run" it
    /// would lead to a second execution; a service that dies after executing shows it.
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
