//! What ends the program before it has a result.

use std::fmt;

/// Why there is no result. Details hang on the report as attachments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A file could not be read or written.
    File(String),
    /// A stand-in did not tell what it executed.
    Service(String),
    /// The administration API refused or did not answer.
    Admin(String),
    /// A worker thread did not come to its end.
    Worker,
    /// The process to be measured cannot be read.
    Process(u32),
    /// The command line asks for what cannot be done.
    Usage(String),
    /// A plot could not be drawn.
    Plot,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path) => write!(f, "cannot use the file {path}"),
            Self::Service(url) => write!(f, "no list of executions from {url}"),
            Self::Admin(url) => write!(f, "the administration API at {url} refused"),
            Self::Worker => f.write_str("a worker ended early"),
            Self::Process(pid) => write!(f, "cannot read process {pid}"),
            Self::Usage(detail) => f.write_str(detail),
            Self::Plot => f.write_str("cannot draw the plot"),
        }
    }
}

impl std::error::Error for Error {}
