//! Counts of what goes over the mesh, by kind of message and direction.

use std::collections::BTreeMap;
use std::fmt;

use wire::peer::frame::Body;

use crate::config::Direction;

/// Kind of a frame, as operators see it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Sign of life.
    Heartbeat,
    /// Own outstanding work.
    Load,
    /// Demand per owner.
    Shares,
    /// Confirmation of a closing.
    Confirm,
    /// Question.
    Query,
    /// Answer to a question.
    Reply,
    /// Service-level counters.
    Burn,
    /// A frame of a newer software version.
    Other,
}

impl Kind {
    /// Name in status and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Load => "load",
            Self::Shares => "shares",
            Self::Confirm => "confirm",
            Self::Query => "query",
            Self::Reply => "reply",
            Self::Burn => "burn",
            Self::Other => "other",
        }
    }
}

impl From<Option<&Body>> for Kind {
    fn from(body: Option<&Body>) -> Self {
        match body {
            Some(Body::Heartbeat(_)) => Self::Heartbeat,
            Some(Body::Load(_)) => Self::Load,
            Some(Body::Shares(_)) => Self::Shares,
            Some(Body::Confirm(_)) => Self::Confirm,
            Some(Body::Query(_)) => Self::Query,
            Some(Body::Reply(_)) => Self::Reply,
            Some(Body::Burn(_)) => Self::Burn,
            None => Self::Other,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// Messages and their bytes since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Count {
    /// Adds one message.
    pub(crate) fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// What was added since an earlier reading; over its age that is a rate.
    pub fn since(self, earlier: Count) -> Count {
        Count {
            messages: self.messages.saturating_sub(earlier.messages),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }

    /// Adds another count.
    pub(crate) fn merge(&mut self, other: Count) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// One kind of traffic in both directions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flow {
    /// From this process.
    pub sent: Count,
    /// To this process.
    pub received: Count,
}

impl Flow {
    pub(crate) fn direction(&mut self, direction: Direction) -> &mut Count {
        match direction {
            Direction::Out => &mut self.sent,
            Direction::In => &mut self.received,
        }
    }
}

/// Counts since the start of the process. A rate is the difference of two readings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Encoded frames by kind, without what QUIC adds.
    pub kinds: BTreeMap<Kind, Flow>,
    /// UDP datagrams and their payload: frames, acknowledgements, handshakes, encryption. The
    /// budget of control counts against this, plus 28 bytes a datagram of UDP and IPv4.
    pub udp: Flow,
    /// Frames that were not sent, because the peer was slow or away.
    pub unsent: u64,
    /// Frames that were received and dropped: malformed, too large or under a false name.
    pub refused: u64,
    /// Handshakes, dialed or accepted, that failed: the peer is away, or one side does not accept
    /// the other's certificate. The log says which.
    pub failed_handshakes: u64,
}

impl Traffic {
    pub(crate) fn count(&mut self, kind: Kind, direction: Direction, bytes: usize) {
        self.kinds
            .entry(kind)
            .or_default()
            .direction(direction)
            .add(bytes);
    }
}
