//! All metrics, counted in memory and sent to statsd once a second.
//!
//! A request only updates counters in memory: sending a line to the collector for each request
//! would cost more than relaying it. The section "Metrics" of `docs/OPERATORS.md` is generated from
//! [`TABLE`].

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted as _, Gauged as _, NopMetricSink, StatsdClient};

/// Interval at which metrics are sent.
pub const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only grows; the increase since the last time is sent.
    Counter,
    /// The current value is sent.
    Gauge,
}

/// A metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Metric {
    /// Requests whose head arrived.
    Requests,
    /// Answers of upstreams that were sent to the caller completely.
    Served,
    /// Refusals for load or limits.
    Refused,
    /// Requests that are invalid.
    Rejected,
    /// Failed calls that were certainly not run.
    NotRun,
    /// Failed calls that may have run.
    Unknown,
    /// Callers that disconnected before their answer was complete.
    CallerGone,
    /// Answers that carried another request's id.
    Crossed,
    /// Attempts after a failed one.
    Retries,
    /// Reconnections to an engine for the rest of a stream.
    Reconnects,
    /// Streams resumed for a caller with an event id.
    Resumptions,
    /// Streams that ended with an error after a part was sent.
    Cut,
    /// Tokens relayed.
    Tokens,
    /// Failed KV transfers, after which one engine did both stages.
    KvFallbacks,
    /// Repeated calls answered from a held answer.
    Repeats,
    /// Requests in progress.
    Open,
    /// Bytes of held answers.
    HeldBytes,
    /// Detected pauses of the process.
    Pauses,
}

/// Name, type and help text of each metric, in the order of [`Metric`].
pub const TABLE: [(Metric, &str, Kind, &str); 18] = [
    (
        Metric::Requests,
        "requests",
        Kind::Counter,
        "Requests whose head arrived.",
    ),
    (
        Metric::Served,
        "served",
        Kind::Counter,
        "Answers of upstreams that went to the caller whole.",
    ),
    (
        Metric::Refused,
        "refused",
        Kind::Counter,
        "Refusals for load, limits or deadlines; none of them was run.",
    ),
    (
        Metric::Rejected,
        "rejected",
        Kind::Counter,
        "Requests with an error of the caller's (4xx but 429).",
    ),
    (
        Metric::NotRun,
        "failed.not_run",
        Kind::Counter,
        "Calls that failed and were certainly not run.",
    ),
    (
        Metric::Unknown,
        "failed.unknown",
        Kind::Counter,
        "Calls that failed and may have run.",
    ),
    (
        Metric::CallerGone,
        "caller_gone",
        Kind::Counter,
        "Callers that went away before their answer was whole.",
    ),
    (
        Metric::Crossed,
        "crossed",
        Kind::Counter,
        "Answers that belonged to another request and were dropped with their connection.",
    ),
    (
        Metric::Retries,
        "retries",
        Kind::Counter,
        "Attempts after a failed one.",
    ),
    (
        Metric::Reconnects,
        "streams.reconnects",
        Kind::Counter,
        "Streams resumed at their engine after a connection broke.",
    ),
    (
        Metric::Resumptions,
        "streams.resumptions",
        Kind::Counter,
        "Streams resumed for a caller that came with an event id.",
    ),
    (
        Metric::Cut,
        "streams.cut",
        Kind::Counter,
        "Streams that ended with an error after the caller had a part.",
    ),
    (Metric::Tokens, "tokens", Kind::Counter, "Tokens relayed."),
    (
        Metric::KvFallbacks,
        "kv.fallbacks",
        Kind::Counter,
        "Transfers of a KV cache that fell back to one engine.",
    ),
    (
        Metric::Repeats,
        "repeats",
        Kind::Counter,
        "Calls answered from a held answer.",
    ),
    (Metric::Open, "open", Kind::Gauge, "Calls in hand."),
    (
        Metric::HeldBytes,
        "held_bytes",
        Kind::Gauge,
        "Bytes of held answers.",
    ),
    (
        Metric::Pauses,
        "pauses",
        Kind::Counter,
        "Times at which the process found that it had been paused.",
    ),
];

/// All metrics of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    values: [AtomicU64; TABLE.len()],
    sent: [AtomicU64; TABLE.len()],
}

impl Metrics {
    /// Creates all metrics with value zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds to a metric.
    pub fn add(&self, metric: Metric, amount: u64) {
        self.values[metric as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Subtracts from a gauge.
    pub fn subtract(&self, metric: Metric, amount: u64) {
        self.values[metric as usize].fetch_sub(amount, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set(&self, metric: Metric, value: u64) {
        self.values[metric as usize].store(value, Ordering::Relaxed);
    }

    /// The current value.
    pub fn get(&self, metric: Metric) -> u64 {
        self.values[metric as usize].load(Ordering::Relaxed)
    }

    /// Sends gauges and the increases of counters. Errors are ignored: metrics must never affect
    /// serving.
    pub fn send(&self, client: &StatsdClient) {
        for (metric, name, kind, _) in TABLE {
            let value = self.get(metric);
            match kind {
                Kind::Gauge => {
                    let _ = client.gauge(name, value);
                }
                Kind::Counter => {
                    let before = self.sent[metric as usize].swap(value, Ordering::Relaxed);
                    if value > before {
                        let _ = client.count(name, value - before);
                    }
                }
            }
        }
        let _ = client.flush();
    }
}

/// Creates a statsd client; without a collector or a socket, it discards everything.
pub fn client(prefix: &str, collector: Option<SocketAddr>) -> StatsdClient {
    let sink = collector.and_then(|address| {
        let socket = UdpSocket::bind(("0.0.0.0", 0)).ok()?;
        socket.set_nonblocking(true).ok()?;
        BufferedUdpMetricSink::from(address, socket).ok()
    });
    match sink {
        Some(sink) => StatsdClient::from_sink(prefix, sink),
        None => StatsdClient::from_sink(prefix, NopMetricSink),
    }
}

/// The rows of the table in `docs/OPERATORS.md`.
pub fn markdown_table(prefix: &str) -> String {
    let mut text = String::from("| name | kind | meaning |\n| --- | --- | --- |\n");
    for (_, name, kind, meaning) in TABLE {
        let kind = match kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
        };
        text.push_str(&format!("| `{prefix}.{name}` | {kind} | {meaning} |\n"));
    }
    text
}
