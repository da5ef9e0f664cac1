//! Frames as bytes.

use bytes::Bytes;
use wire::Message;
use wire::peer::Frame;
use wire::peer::frame::Body;
use wire::record::Author;

use crate::traffic::Kind;

/// A frame ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Encoded {
    pub(crate) kind: Kind,
    pub(crate) bytes: Bytes,
}

pub(crate) fn encode(from: &Author, sequence: u64, body: Body) -> Encoded {
    let kind = Kind::from(Some(&body));
    let frame = Frame {
        from: Some(from.clone()),
        sequence,
        body: Some(body),
    };
    Encoded {
        kind,
        bytes: frame.encode_to_vec().into(),
    }
}

/// Reads a frame that a peer with this name sent.
///
/// Symptom without the comparison: an entry with a valid certificate confirms a closing in the
/// name of another one that still sends, and an order cuts that one's streams.
pub(crate) fn decode(bytes: &[u8], peer: &str) -> Option<(Author, Frame)> {
    let frame = Frame::decode(bytes).ok()?;
    let author = frame.from.clone()?;
    (author.instance == peer).then_some((author, frame))
}

/// Whether the newest frame of the kind makes the older ones worthless, so that a lost one need
/// not be sent again.
pub(crate) fn is_lossy(kind: Kind) -> bool {
    matches!(kind, Kind::Heartbeat | Kind::Load | Kind::Shares)
}
