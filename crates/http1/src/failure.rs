//! What can become of an exchange, in terms of what is certain about it.

use std::fmt;
use std::io;

/// Why an exchange with a peer gave no whole answer.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request can have reached the peer: the connection never opened.
    NotSent(io::Error),
    /// The request may have been read, and nothing of an answer arrived.
    NoResponse(io::Error),
    /// The peer closed before the first byte of an answer.
    Closed,
    /// What arrived is no answer in the protocol, or breaks off before its end.
    Broken(&'static str),
}

impl Failure {
    /// Whether the peer certainly never saw the request.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// A word for logs.
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
            Self::Broken(what) => write!(f, "the answer is broken: {what}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Why a caller's bytes are not taken as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The caller closed, or was silent for as long as an idle connection may be.
    Disconnected,
    /// The head or the body took longer than it may.
    TimedOut,
    /// The bytes are no request.
    Malformed,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
}
