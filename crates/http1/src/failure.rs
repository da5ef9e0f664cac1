//! Errors of an exchange, distinguished by whether the request can have reached the peer.

use std::fmt;
use std::io;

/// Detail of a body whose peer fell silent.
pub(crate) const SILENT_WITHIN_BODY: &str = "the connection timed out within the body";

/// Why an exchange with a peer returned no complete response.
#[derive(Debug)]
pub enum Failure {
    /// The connection did not open, so no byte of the request reached the peer.
    NotSent(io::Error),
    /// The peer may have read the request, but no response arrived.
    NoResponse(io::Error),
    /// The peer closed the connection before the first byte of a response.
    Closed,
    /// The response is malformed or truncated.
    Broken(&'static str),
}

impl Failure {
    /// Whether no byte of the request can have reached the peer.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// Whether the peer was silent for as long as it might be.
    pub fn is_time_out(&self) -> bool {
        match self {
            Self::NotSent(error) | Self::NoResponse(error) => {
                error.kind() == io::ErrorKind::TimedOut
            }
            Self::Broken(detail) => *detail == SILENT_WITHIN_BODY,
            Self::Closed => false,
        }
    }

    /// Name of the variant for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::NoResponse(_) => "no_answer",
            Self::Closed => "closed",
            Self::Broken(_) => "broken",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(f, "the connection did not open: {error}"),
            Self::NoResponse(error) => write!(f, "no answer arrived: {error}"),
            Self::Closed => write!(f, "the peer closed before its answer"),
            Self::Broken(detail) => write!(f, "the answer is broken: {detail}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Why no request could be read from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The caller closed the connection or exceeded the idle timeout.
    Disconnected,
    /// The head or the body did not arrive in time.
    TimedOut,
    /// The bytes are not a valid request.
    Malformed,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// There is no memory for it now.
    NoMemory,
}
