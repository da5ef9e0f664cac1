//! Fault switches of `standin-engine`.

use serde::{Deserialize, Serialize};

use crate::fault::{FaultCount, Outage};

/// Faults of the engine. A count applies to that many of the next requests of its kind.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Outage of completions and resumes.
    pub out: Outage,
    /// Slowdown factor of iterations; 0 and 1 have no effect.
    pub slow: f64,
    /// Completions that run and are never answered.
    pub never_answer: FaultCount,
    /// Completions whose response is delayed by `late_ms`.
    pub late: FaultCount,
    /// Delay of a late response, in real milliseconds.
    pub late_ms: u64,
    /// Completions answered with the id and text of the previous request.
    pub crossed: FaultCount,
    /// Streams whose connection drops partway; generation continues and they can be resumed.
    pub drop_streams: FaultCount,
    /// Streams that are lost partway and cannot be resumed, while the engine runs on.
    pub cut_streams: FaultCount,
    /// Streams at which the process exits partway.
    pub exit_streams: FaultCount,
    /// Events that a dropped, cut or exiting stream sends first.
    pub after_events: u32,
    /// Completions without streaming that run and whose connection then drops.
    pub drop_after: FaultCount,
    /// Orders that fail at the end and leave the engine unchanged.
    pub fail_orders: FaultCount,
    /// Orders that never end.
    pub stuck_orders: FaultCount,
    /// Orders partway through which the process exits.
    pub exit_orders: FaultCount,
    /// Orders whose response is lost after they began.
    pub lose_order_answers: FaultCount,
    /// Delay of orders before they are processed, in real milliseconds.
    pub order_delay_ms: u64,
    /// Outage of the load report.
    pub report: Outage,
    /// The load report stops changing.
    pub freeze_report: bool,
    /// Lag of load reports in milliseconds; overrides the option.
    pub report_lag_ms: Option<u64>,
    /// Outage of cache events.
    pub events: Outage,
    /// Fraction of cache events that are lost; the larger of this and the option applies.
    pub event_gap: f64,
    /// Outage of KV exports, transfers and imports.
    pub kv: Outage,
}
