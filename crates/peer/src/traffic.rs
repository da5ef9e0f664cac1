//! Traffic counters of the mesh, by kind of message and direction.

use std::collections::BTreeMap;
use std::fmt;

use wire::peer::frame::Body;

use crate::config::Direction;

/// Kind of a frame.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Heartbeat of the membership.
    Heartbeat,
    /// Outstanding work of the sender.
    Load,
    /// Demand per owner.
    Shares,
    /// Confirmation of a closing.
    Confirm,
    /// Query.
    Query,
    /// Reply to a query.
    Reply,
    /// Service-level counters.
    Burn,
    /// A frame of a newer software version.
    Other,
}

impl Kind {
    /// Name in the status and in metrics.
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

/// Number and bytes of messages since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Count {
    /// Counts one message.
    pub(crate) fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// The difference to an earlier reading. Divided by the time between them it is a rate.
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

/// Traffic in both directions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flow {
    /// Sent by this process.
    pub sent: Count,
    /// Received by this process.
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

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Encoded frames by kind, without the overhead of QUIC.
    pub kinds: BTreeMap<Kind, Flow>,
    /// UDP datagrams and their payload: frames, acknowledgements, handshakes and encryption. The
    /// traffic budget of control applies to this plus 28 bytes of UDP and IPv4 headers a datagram.
    pub udp: Flow,
    /// Frames that were not sent, because the send queue was full or there was no connection.
    pub unsent: u64,
    /// Frames that were received and dropped: malformed, too large, or with a sender other than in
    /// the certificate.
    pub refused: u64,
    /// Failed handshakes, dialed or accepted: the peer is unreachable, or one side rejects the
    /// certificate of the other. The log says which.
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
