//! Errors, distinguished by whether the request can have taken effect.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};

use crate::Offset;

/// Why an append returned no offset. The variant decides whether the caller may append again at
/// once or must first read the log for its nonce; see "Lost answers" in
/// [`docs/DESIGN.md`](../../../docs/DESIGN.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The record is certainly not in the log: no byte was sent, or the log refused the append
    /// before it took effect.
    Refused {
        /// Delay that the log requests before the next attempt.
        retry_after: Option<Duration>,
    },
    /// The record may be in the log, or may still be appended.
    Unknown,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { .. } => f.write_str("the log did not append the record"),
            Self::Unknown => f.write_str("the log may have appended the record"),
        }
    }
}

impl Error for AppendError {}

/// Why a read returned no records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The requested records are past retention; reading has to restart from a snapshot.
    Gone {
        /// First retained offset.
        first: Offset,
        /// Offset of the next append.
        next: Offset,
    },
    /// The log could not be reached or returned an error.
    Unavailable {
        /// Delay that the log requests before the next attempt.
        retry_after: Option<Duration>,
    },
    /// The response violates the protocol, for instance by a gap in the offsets.
    Malformed,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gone { first, .. } => {
                write!(f, "the log only retains records from offset {first}")
            }
            Self::Unavailable { .. } => f.write_str("the log is unavailable"),
            Self::Malformed => f.write_str("the log's response violates the protocol"),
        }
    }
}

impl Error for ReadError {}

/// Why the instance list could not be read or changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListError {
    /// The list could not be reached or returned an error.
    Unavailable,
    /// The response violates the protocol.
    Malformed,
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("the instance list is unavailable"),
            Self::Malformed => f.write_str("the instance list's response violates the protocol"),
        }
    }
}

impl Error for ListError {}

/// Why an engine's state or report could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The engine could not be reached or returned an error.
    Unreachable,
    /// The response violates the protocol.
    Malformed,
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.write_str("the engine is unreachable"),
            Self::Malformed => f.write_str("the engine's response violates the protocol"),
        }
    }
}

impl Error for EngineError {}

/// Whether no byte of a failed request was sent.
///
/// `ConnectError::Disconnected` is excluded on purpose: awc also returns it when the connection
/// closes after the request was written and before a response arrived. Treating it as "not sent"
/// would append a second record with the same nonce after each response lost that way.
pub(crate) fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(connect) => matches!(
            connect,
            ConnectError::Io(_)
                | ConnectError::Timeout
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
                | ConnectError::SslIsNotSupported
        ),
        _ => false,
    }
}
