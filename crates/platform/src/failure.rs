//! Failures, told apart by what is certain about their effect.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};

use crate::Offset;

/// Why an append brought no offset. The difference decides whether the caller may append anew at
/// once or must first read on for its nonce; see "Lost answers" in
/// [`docs/DESIGN.md`](../../../docs/DESIGN.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The record certainly does not stand: no byte was sent, or the log refused before any effect.
    Refused {
        /// How long the log asks to wait before the next try.
        retry_after: Option<Duration>,
    },
    /// The record may stand or may yet come to stand.
    Unknown,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { .. } => f.write_str("the log did not take the record"),
            Self::Unknown => f.write_str("the log may have taken the record"),
        }
    }
}

impl Error for AppendError {}

/// Why a read brought no records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The records asked for are past retention; reading has to start from a snapshot.
    Gone {
        /// First retained offset.
        first: Offset,
        /// Offset of the next append.
        next: Offset,
    },
    /// The log could not be asked or had no answer to give.
    Unavailable {
        /// How long the log asks to wait before the next try.
        retry_after: Option<Duration>,
    },
    /// The answer broke the interface, for instance by a gap in the offsets.
    Malformed,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gone { first, .. } => write!(f, "the log retains records from {first} on only"),
            Self::Unavailable { .. } => f.write_str("the log is unavailable"),
            Self::Malformed => f.write_str("the log's answer breaks its interface"),
        }
    }
}

impl Error for ReadError {}

/// Why the instance list could not be read or changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListError {
    /// The list could not be asked or had no answer to give.
    Unavailable,
    /// The answer broke the interface.
    Malformed,
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("the instance list is unavailable"),
            Self::Malformed => f.write_str("the instance list's answer breaks its interface"),
        }
    }
}

impl Error for ListError {}

/// Why an engine told nothing that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// It could not be asked or had no answer to give.
    Unreachable,
    /// The answer broke the interface.
    Malformed,
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.write_str("the engine can't be asked"),
            Self::Malformed => f.write_str("the engine's answer breaks its interface"),
        }
    }
}

impl Error for EngineError {}

/// Whether a failed request certainly sent no byte.
///
/// `ConnectError::Disconnected` is left out on purpose: awc also gives it when the connection
/// closes after the request was written and before an answer came. Taking it for "not sent" would
/// append twice, seen as two records with one nonce, after every answer that is lost that way.
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
