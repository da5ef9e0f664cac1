//! Fault switches of `standin-platform`.

use serde::{Deserialize, Serialize};

use crate::fault::{FaultCount, Outage};

/// What can go wrong with the platform.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Appends are out.
    pub append: Outage,
    /// Reads of the log are out.
    pub read: Outage,
    /// The instance list is out.
    pub instances: Outage,
    /// The weight store is out.
    pub weights: Outage,
    /// Milliseconds by which each append is late, before its effect.
    pub append_delay_ms: u64,
    /// Milliseconds by which the answer to each append is late, after its effect.
    pub append_answer_delay_ms: u64,
    /// Milliseconds by which each read of the log is late.
    pub read_delay_ms: u64,
    /// The answers of the next so many appends are lost after the effect.
    pub lose_answers: FaultCount,
    /// Fraction of appends whose answers are lost after the effect.
    pub lose_fraction: f64,
    /// A lost answer leaves the caller waiting instead of dropping the connection.
    pub lose_silently: bool,
    /// The instance list stays as it is seen now.
    pub freeze_instances: bool,
    /// Milliseconds by which the instance list lags, in place of the option.
    pub instance_lag_ms: Option<u64>,
    /// The weight store sends so many times slower; 0 and 1 leave it as it is.
    pub weight_slow: f64,
}
