//! Whole events out of pieces.

use bytes::Bytes;
use gateway::events::Splitter;

/// All that leaves a splitter for a stream cut into pieces of `size` bytes.
fn pieces(stream: &str, size: usize) -> (String, Splitter) {
    let mut splitter = Splitter::after(None);
    let mut out = String::new();
    for piece in stream.as_bytes().chunks(size) {
        if let Some(events) = splitter.push(&Bytes::copy_from_slice(piece)) {
            assert!(events.ends_with(b"\n\n"));
            out.push_str(std::str::from_utf8(&events).expect("events are text"));
        }
    }
    (out, splitter)
}

/// Symptom: a stream lacks pieces. Sequence: an event arrives in two pieces, the first of them with
/// nothing kept before it. Cause: a piece without the end of an event was dropped instead of kept.
#[test]
fn no_byte_is_lost_however_a_stream_is_cut() {
    let stream = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: ccc\n\n";
    for size in 1..=stream.len() {
        let (out, splitter) = pieces(stream, size);
        assert_eq!(out, stream, "in pieces of {size}");
        assert_eq!(splitter.last(), Some(3));
    }
}

#[test]
fn half_an_event_stays() {
    for size in 1..20 {
        let (out, mut splitter) = pieces("id: 1\ndata: a\n\nid: 2\nda", size);
        assert_eq!(out, "id: 1\ndata: a\n\n");
        assert_eq!(splitter.last(), Some(1));
        assert_eq!(splitter.rest(), "id: 2\nda");
    }
}
