//! Fault switches of `standin-platform`.

use serde::{Deserialize, Serialize};

use crate::fault::{FaultCount, Outage};

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Outage of appends.
    pub append: Outage,
    /// Outage of reads of the log.
    pub read: Outage,
    /// Outage of the instance list.
    pub instances: Outage,
    /// Outage of the weight store.
    pub weights: Outage,
    /// Delay of each append before it takes effect, in milliseconds.
    pub append_delay_ms: u64,
    /// Delay of each append's response after it took effect, in milliseconds.
    pub append_answer_delay_ms: u64,
    /// Delay of each read of the log, in milliseconds.
    pub read_delay_ms: u64,
    /// Appends that take effect and whose response is lost.
    pub lose_answers: FaultCount,
    /// Fraction of appends that take effect and whose response is lost.
    pub lose_fraction: f64,
    /// A lost response leaves the caller waiting instead of dropping the connection.
    pub lose_silently: bool,
    /// The instance list stops changing for readers.
    pub freeze_instances: bool,
    /// Lag of the instance list in milliseconds; overrides the option.
    pub instance_lag_ms: Option<u64>,
    /// Slowdown factor of the weight store; 0 and 1 have no effect.
    pub weight_slow: f64,
}
