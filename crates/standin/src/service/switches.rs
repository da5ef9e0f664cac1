//! Fault switches of `standin-service`.

use serde::{Deserialize, Serialize};

use crate::fault::{FaultCount, Outage};

/// Faults of the service. A count applies to that many of the next requests.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Outage; nothing is executed.
    pub out: Outage,
    /// The connection drops after the execution and before the response.
    pub drop_after: FaultCount,
    /// Fraction of requests that are executed and whose connection then drops.
    pub drop_fraction: f64,
    /// The process exits after the execution and before the response.
    pub exit_after: FaultCount,
    /// The request is executed and never answered.
    pub never_answer: FaultCount,
    /// The connection drops before the execution.
    pub drop_before: FaultCount,
    /// The response carries the id of another request.
    pub crossed: FaultCount,
    /// Delay of each response after the execution, in milliseconds.
    pub delay_ms: u64,
}
