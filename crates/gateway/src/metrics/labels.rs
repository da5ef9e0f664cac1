//! Values of the metrics' labels, one type for each label name.

use std::fmt;

use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};
use serving::intake::Reason;

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum End {
    /// With a complete response of an engine.
    Served,
    /// Refused; it has not run and will not.
    Refused,
    /// Without a response; it may have run.
    Failed,
    /// The caller's time ended.
    Late,
    /// Incomplete, or its caller disconnected.
    Cut,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum OrderAnswer {
    Taken,
    Refused,
    Unanswered,
}

/// Answer of a placer to a placement request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum PlacementAnswer {
    Placed,
    Declined,
    Silent,
}

/// Whether the software version is known that began a stream which a caller resumes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Origin {
    /// An instance remembers the stream.
    Known,
    /// No instance does, but the service has and had one version only.
    OnlyVersion,
    Unknown,
}

/// Effect of an engine's rate limit on a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Throttled {
    Waited,
    Refused,
}

/// Whether an engine that turns a call away names a time for which it wants no more.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Pause {
    Requested,
    None,
}

/// Where an instance knows from which software version began a stream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Remembered {
    /// It began the stream.
    Own,
    /// It keeps a copy for the instance that did.
    Backup,
    /// It was told as a holder.
    Noted,
}

/// Treatment of a call that crashed engines.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Suspect {
    Held,
    Alone,
}

/// Where an instance learned of a changed engine record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum EngineSource {
    /// The store's log.
    Log,
    /// A read of all records.
    Snapshot,
    /// Another instance.
    Instance,
}

/// Result of opening a connection to an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Connect {
    Opened,
    Refused,
    TimedOut,
    Failed,
}

/// What became of a call that another instance was asked to send.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum ForwardAnswer {
    Sent,
    Declined,
    Silent,
    Lost,
}

/// Why a connection was closed unread.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum ClosedUnread {
    Link,
    Delay,
    EventLoop,
    Descriptors,
    Memory,
}

impl From<Reason> for ClosedUnread {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Link => Self::Link,
            Reason::Delay => Self::Delay,
            Reason::EventLoop => Self::EventLoop,
            Reason::Descriptors => Self::Descriptors,
            Reason::Memory => Self::Memory,
        }
    }
}

/// What a suspected loss of paths turned out to be.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Suspicion {
    Isolated,
    Engines,
    /// No other instance could tell, so the engines are taken for the cause.
    Unknown,
    /// A connection opened before others had answered.
    Settled,
}

macro_rules! labels {
    ($type:ident: $($value:ident = $text:literal),*) => {
        impl EncodeLabelValue for $type {
            fn encode(&self, encoder: &mut LabelValueEncoder) -> fmt::Result {
                match self {
                    $(Self::$value => $text.encode(encoder),)*
                }
            }
        }
    };
}

labels!(End: Served = "served", Refused = "refused", Failed = "failed", Late = "late", Cut = "cut");
labels!(PlacementAnswer: Placed = "placed", Declined = "declined", Silent = "silent");
labels!(Origin: Known = "known", OnlyVersion = "only_version", Unknown = "unknown");
labels!(Remembered: Own = "own", Backup = "backup", Noted = "noted");
labels!(Suspect: Held = "held", Alone = "alone");
labels!(Throttled: Waited = "waited", Refused = "refused");
labels!(EngineSource: Log = "log", Snapshot = "snapshot", Instance = "instance");
labels!(Pause: Requested = "requested", None = "none");
labels!(Connect: Opened = "opened", Refused = "refused", TimedOut = "timed_out", Failed = "failed");
labels!(ForwardAnswer: Sent = "sent", Declined = "declined", Silent = "silent", Lost = "lost");
labels!(ClosedUnread: Link = "link", Delay = "delay", EventLoop = "event_loop", Descriptors = "descriptors", Memory = "memory");
labels!(Suspicion: Isolated = "isolated", Engines = "engines", Unknown = "unknown", Settled = "settled");
labels!(OrderAnswer: Taken = "taken", Refused = "refused", Unanswered = "unanswered");
