//! Fault switches of `standin-service`.

use serde::{Deserialize, Serialize};

use crate::fault::{FaultCount, Outage};

/// What can go wrong with the service. A countdown meets the next so many requests.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// It is out and executes nothing.
    pub out: Outage,
    /// It drops the connection after executing and before answering.
    pub drop_after: FaultCount,
    /// Fraction of requests that it executes and then drops the connection.
    pub drop_fraction: f64,
    /// The process exits after executing and before answering.
    pub exit_after: FaultCount,
    /// It executes and never answers.
    pub never_answer: FaultCount,
    /// It drops the connection before executing.
    pub drop_before: FaultCount,
    /// It answers with the id of another request.
    pub crossed: FaultCount,
    /// Milliseconds by which each answer is late, after the execution.
    pub delay_ms: u64,
}
