//! Fault switches of `standin-engine`.

use serde::{Deserialize, Serialize};

use crate::fault::{FaultCount, Outage};

/// What can go wrong with the engine. A countdown meets the next so many requests of its kind.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Completions and resumes are out.
    pub out: Outage,
    /// Iterations take so many times as long; 0 and 1 leave them as they are.
    pub slow: f64,
    /// Completions are run and never answered.
    pub never_answer: FaultCount,
    /// Completions are answered late, after they ran.
    pub late: FaultCount,
    /// Milliseconds by which a late answer is late, in real time.
    pub late_ms: u64,
    /// Completions are answered with the id and the text of the request before.
    pub crossed: FaultCount,
    /// Streams whose connection drops partway; the engine generates on and they can be resumed.
    pub drop_streams: FaultCount,
    /// Streams that are lost partway, as in a crash that only they see: no resume finds them.
    pub cut_streams: FaultCount,
    /// Streams at which the process exits partway.
    pub exit_streams: FaultCount,
    /// How many events of such a stream are sent before.
    pub after_events: u32,
    /// Whole completions that are run, and then the connection drops.
    pub drop_after: FaultCount,
    /// Orders that fail in the end and leave the engine as it was.
    pub fail_orders: FaultCount,
    /// Orders that never end.
    pub stuck_orders: FaultCount,
    /// Orders partway through which the process exits.
    pub exit_orders: FaultCount,
    /// Orders whose answer is lost after they began.
    pub lose_order_answers: FaultCount,
    /// Real milliseconds by which orders are late, before they are judged.
    pub order_delay_ms: u64,
    /// The load report is out.
    pub report: Outage,
    /// The load report stays as it is seen now.
    pub freeze_report: bool,
    /// Milliseconds by which load reports lag, in place of the option.
    pub report_lag_ms: Option<u64>,
    /// Cache events are out.
    pub events: Outage,
    /// Fraction of cache events that are lost, beside that of the option.
    pub event_gap: f64,
    /// KV exports, their transfer and imports are out.
    pub kv: Outage,
}
