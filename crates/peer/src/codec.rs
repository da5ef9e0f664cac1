//! Encoding and decoding of frames.

use bytes::Bytes;
use wire::Message;
use wire::peer::Frame;
use wire::peer::frame::Body;
use wire::record::Author;

use crate::traffic::Kind;

/// An encoded frame.
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

/// Decodes a frame from the peer with this name.
///
/// The sender in the frame must match: otherwise an entry with a valid certificate could confirm a
/// closing for another entry that still sends, and an order would cut the streams of that entry.
pub(crate) fn decode(bytes: &[u8], peer: &str) -> Option<(Author, Frame)> {
    let frame = Frame::decode(bytes).ok()?;
    let author = frame.from.clone()?;
    (author.instance == peer).then_some((author, frame))
}

/// Whether a newer frame of the kind replaces older ones, so that a lost one need not be
/// retransmitted.
pub(crate) fn is_lossy(kind: Kind) -> bool {
    matches!(kind, Kind::Heartbeat | Kind::Load | Kind::Shares)
}
