//! Errors that end the program without a result.

use std::fmt;

/// Reason for which there is no result. Details are attached to the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A file could not be read or written.
    File(String),
    /// A stand-in did not return its list of executions.
    Service(String),
    /// The administration API refused the request or did not answer.
    Admin(String),
    /// A worker thread panicked.
    Worker,
    /// The process to measure cannot be read.
    Process(u32),
    /// Invalid command line, plan or comparison.
    Usage(String),
    /// A plot could not be drawn.
    Plot,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path) => write!(f, "cannot use the file {path}"),
            Self::Service(url) => write!(f, "cannot read the list of executions from {url}"),
            Self::Admin(url) => write!(f, "request to the administration API at {url} failed"),
            Self::Worker => f.write_str("a worker thread panicked"),
            Self::Process(pid) => write!(f, "cannot read process {pid}"),
            Self::Usage(detail) => f.write_str(detail),
            Self::Plot => f.write_str("cannot draw the plot"),
        }
    }
}

impl std::error::Error for Error {}
