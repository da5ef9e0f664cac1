//! Record of what callers and back ends saw in a run.

use std::time::Duration;

use bytes::Bytes;
use platform_standin::cloud;
use platform_standin::engine::Order;

use crate::plan::Fault;

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A plain call that may be repeated.
    Safe,
    /// A plain call that may run at most once.
    Once,
    /// A stream that may run at most once.
    Stream,
    /// A stream that may resume on another engine.
    Resume,
    /// A stream that crashes each engine that runs it.
    Fatal,
    /// A stream after a prompt with a part that crashes each engine which begins it. No two are alike.
    FatalPart,
    /// A stream of the same caller and first part that harms no engine.
    FirstPart,
    /// A plain call with a key that no organisation has.
    Keyless,
    /// A plain call on the route that this version of the configuration added.
    Added(u64),
}

impl RequestKind {
    /// Largest number of engines on which it may run.
    pub fn max_attempts(self) -> usize {
        match self {
            Self::Keyless => 0,
            Self::Once | Self::Stream | Self::Fatal | Self::FatalPart | Self::FirstPart => 1,
            Self::Safe | Self::Resume | Self::Added(_) => 2,
        }
    }

    /// Whether its answer is a stream of events.
    pub fn is_stream(self) -> bool {
        match self {
            Self::Stream | Self::Resume | Self::Fatal | Self::FatalPart | Self::FirstPart => true,
            Self::Safe | Self::Once | Self::Keyless | Self::Added(_) => false,
        }
    }

    /// The service that its route leads to.
    pub fn service(self) -> &'static str {
        if self.is_stream() { "pool" } else { "app" }
    }
}

/// Outcome of a call for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// At least the head of an answer arrived.
    Answer {
        /// Status code.
        status: u16,
        /// Whether it has an engine's signature.
        signed: bool,
        /// Whether it has a `Retry-After` header.
        says_when: bool,
        /// The body, unless it was cut short.
        body: Option<Bytes>,
    },
    /// The connection could not be opened.
    NotConnected,
    /// The connection closed without an answer.
    Closed,
    /// The caller stopped waiting.
    Left,
}

/// A call as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id.
    pub id: String,
    /// What it requested.
    pub kind: RequestKind,
    /// The organisation whose key it carried.
    pub organisation: &'static str,
    /// Index of the gateway.
    pub gateway: usize,
    /// Number of starts of the gateway when the connection was opened.
    pub gateway_start: u32,
    /// When it was sent, since the callers started.
    pub sent_at: Duration,
    /// When it ended, since the callers started.
    pub ended_at: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
    /// What arrived of its body, whole or not.
    pub received: Bytes,
    /// The stream that it resumes.
    pub resumes: Option<Resumption>,
}

/// The stream that a call resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the call that brought its first event.
    pub first: String,
    /// The last event that arrived.
    pub after: usize,
}

impl Call {
    /// Whether it got a complete answer with status 200.
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

/// A request as an engine received it.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// The engine.
    pub engine: String,
    /// The engine's service.
    pub service: &'static str,
    /// Request id.
    pub id: String,
    /// When it arrived, since the callers started.
    pub received_at: Duration,
    /// Whether the engine began to execute it.
    pub executed: bool,
    /// Whether it still carried a header forged by the caller, or the caller's key.
    pub forged: bool,
    /// The organisation that the gateway named to the engine.
    pub organisation: String,
}

/// A rate limit that an engine announced.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// The engine.
    pub engine: String,
    /// The limit, in requests per ten seconds.
    pub per_ten_seconds: u32,
    /// When the engine began to announce it, since the callers started.
    pub from: Duration,
    /// When the engine stopped announcing it.
    pub until: Duration,
}

/// An engine's announcement that it leaves.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The engine.
    pub engine: String,
    /// When it announced that, since the callers started.
    pub at: Duration,
}

/// A time in which an engine turned all requests away and asked each sender for a pause.
#[derive(Clone, Debug)]
pub struct Pauses {
    /// The engine.
    pub engine: String,
    /// When it began, since the callers started.
    pub from: Duration,
    /// When it ended.
    pub until: Duration,
    /// For how long it asked each sender to send nothing.
    pub length: Duration,
}

/// Everything observed in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Calls, in the order in which they ended.
    pub calls: Vec<Call>,
    /// Requests at engines; those of one engine are in order of arrival.
    pub engine_requests: Vec<EngineRequest>,
    /// Orders by engine, in order of arrival.
    pub orders: Vec<(String, Order)>,
    /// Calls to the platform's interface for usage reports, in order of arrival.
    pub usage_reports: Vec<cloud::Call>,
    /// Processes that exited without being asked to.
    pub unexpected_exits: Vec<String>,
    /// Probes that got no success in time, before the first fault or after the last one.
    pub failed_probes: Vec<String>,
    /// When engines crashed under [`RequestKind::Fatal`] or [`RequestKind::FatalPart`], since the callers started.
    pub engine_ends: Vec<Duration>,
    /// Rate limits that engines announced.
    pub rate_limits: Vec<RateLimit>,
    /// Engines that announced that they leave.
    pub leavings: Vec<Leaving>,
    /// Engines that asked for pauses.
    pub pauses: Vec<Pauses>,
    /// Log lines by which gateways concluded that they had lost their paths to engines.
    pub lost_paths: Vec<String>,
    /// The faults that were injected.
    pub faults: Vec<Fault>,
}
