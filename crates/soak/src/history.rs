//! What callers and back ends saw in a run.

use std::time::Duration;

use bytes::Bytes;
use platform_standin::cloud;
use platform_standin::engine::Order;

use crate::plan::Fault;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A plain call that may be repeated.
    Safe,
    /// A plain call that may run once.
    Once,
    /// A stream that may run once.
    Stream,
    /// A stream that may go on elsewhere.
    Resume,
    /// A stream that ends each engine which runs it.
    Fatal,
    /// A plain call with a key that nobody was given.
    Keyless,
    /// A plain call on the route that a version of the configuration brought.
    Added(u64),
}

impl RequestKind {
    /// Engines on which it may run.
    pub fn max_attempts(self) -> usize {
        match self {
            Self::Keyless => 0,
            Self::Once | Self::Stream | Self::Fatal => 1,
            Self::Safe | Self::Resume | Self::Added(_) => 2,
        }
    }

    /// Whether it is answered in events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resume | Self::Fatal)
    }

    /// The service that may run it.
    pub fn service(self) -> &'static str {
        if self.is_stream() { "pool" } else { "app" }
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// An answer came, at least its head.
    Answer {
        /// Its status.
        status: u16,
        /// Whether it bears an engine's signature.
        signed: bool,
        /// Whether it says when to come back.
        says_when: bool,
        /// Its body, unless it ended early.
        body: Option<Bytes>,
    },
    /// No connection opened.
    NotConnected,
    /// The connection ended without an answer.
    Closed,
    /// The caller left.
    Left,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// What it asked for.
    pub kind: RequestKind,
    /// Whose key it bore.
    pub organisation: &'static str,
    /// The gateway, by its number.
    pub gateway: usize,
    /// Which start of the gateway it was sent to.
    pub gateway_start: u32,
    /// When it was sent, since callers began.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How.
    pub outcome: CallOutcome,
}

impl Call {
    /// Whether it got a whole success.
    pub fn is_success(&self) -> bool {
        matches!(
            self.outcome,
            CallOutcome::Answer {
                status: 200,
                body: Some(_),
                ..
            }
        )
    }
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// The engine.
    pub engine: String,
    /// Its service.
    pub service: &'static str,
    /// The request's id.
    pub id: String,
    /// When it came, since callers began.
    pub received_at: Duration,
    /// Whether the engine began to work on it.
    pub executed: bool,
    /// Whether it bore a header that the caller had forged, or its key.
    pub forged: bool,
    /// The organisation that the engine was told.
    pub organisation: String,
}

/// A rate limit that an engine announced.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// The engine.
    pub engine: String,
    /// The limit, in requests per ten seconds.
    pub per_ten_seconds: u32,
    /// When it began to announce it, since callers began.
    pub from: Duration,
    /// When it ceased to.
    pub until: Duration,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Calls, in the order in which they ended.
    pub calls: Vec<Call>,
    /// Requests at engines; those of one engine in order of arrival.
    pub engine_requests: Vec<EngineRequest>,
    /// Orders by engine, in order of arrival.
    pub orders: Vec<(String, Order)>,
    /// Calls to the platform's interface for duties, in order of arrival.
    pub usage_reports: Vec<cloud::Call>,
    /// Processes that ended by themselves.
    pub unexpected_exits: Vec<String>,
    /// States that did not come after the last fault.
    pub failed_probes: Vec<String>,
    /// When engines ended under the call that ends them, since callers began.
    pub engine_ends: Vec<Duration>,
    /// Rate limits that engines announced.
    pub rate_limits: Vec<RateLimit>,
    /// What was done.
    pub faults: Vec<Fault>,
}
