//! The HTTP front end for callers.

pub mod body;
pub mod caller;
pub mod caller_stream;
pub mod deadline;
pub mod handler;
pub mod headers;
pub mod models;
pub mod path;
pub mod problem;
pub mod prompt;
pub mod refusal;
pub mod reply;
pub mod request_id;
pub mod server;
