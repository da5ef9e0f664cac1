//! Events of a stream reach the caller once and in order, with ids that only the owner can use.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

use std::time::Duration;

use assert_matches::assert_matches;
use entry::stream::event_id::{EventIdError, Mint, StreamLocation};
use entry::stream::sse::{EventError, EventRewriter};

fn event(stream: &str, number: u64, data: &str) -> Vec<u8> {
    format!("id: {stream}:{number}\ndata: {data}\n\n").into_bytes()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn events_are_rewritten_for_every_chunk_size() {
    let mut bytes = event("s", 0, "a");
    bytes.extend(event("s", 1, "b"));
    bytes.extend(event("s", 2, "[DONE]"));
    for size in 1..bytes.len() {
        let mut rewriter = EventRewriter::new("s", 0);
        let mut out = Vec::new();
        let mut tokens = 0;
        let mut done = false;
        for chunk in bytes.chunks(size) {
            let relayed = rewriter.push(chunk, "P").unwrap();
            out.extend_from_slice(&relayed.bytes);
            tokens += relayed.tokens;
            done |= relayed.done;
        }
        assert_eq!(
            text(&out),
            "id: P.0\ndata: a\n\nid: P.1\ndata: b\n\nid: P.2\ndata: [DONE]\n\n"
        );
        assert_eq!((tokens, done), (2, true));
    }
}

/// The connection breaks after event 1, and the engine resumes from event 0. An engine may resume
/// earlier than requested; without the check the caller would get tokens twice.
#[test]
fn event_that_the_caller_has_is_skipped() {
    let mut rewriter = EventRewriter::new("s", 0);
    let mut bytes = event("s", 0, "a");
    bytes.extend(event("s", 1, "b"));
    rewriter.push(&bytes, "P").unwrap();
    rewriter.reconnect();
    bytes.extend(event("s", 2, "c"));
    let relayed = rewriter.push(&bytes, "P").unwrap();
    assert_eq!(text(&relayed.bytes), "id: P.2\ndata: c\n\n");
}

/// The engine skips an event after a resumption. Unless event numbers are compared, a token would
/// be missing from the answer unnoticed.
#[test]
fn gap_is_rejected_and_read_again() {
    let mut rewriter = EventRewriter::new("s", 0);
    let mut bytes = event("s", 0, "a");
    bytes.extend(event("s", 2, "c"));
    assert_matches!(rewriter.push(&bytes, "P"), Err(EventError::Gap));
    assert_eq!(rewriter.next(), 0);
}

/// The engine sends the events of another stream. Unless the stream in the event ids is compared, a
/// caller would read another caller's tokens.
#[test]
fn event_of_another_stream_is_rejected() {
    let mut rewriter = EventRewriter::new("s", 0);
    let crossed = rewriter.push(&event("t", 0, "x"), "P");
    assert_matches!(crossed, Err(EventError::Crossed));
    let mut rewriter = EventRewriter::new("s", 0);
    assert_matches!(
        rewriter.push(b"data: x\n\n", "P"),
        Err(EventError::Malformed)
    );
}

#[test]
fn partial_event_is_dropped_when_the_connection_breaks() {
    let mut rewriter = EventRewriter::new("s", 0);
    let whole = event("s", 0, "abc");
    let half = rewriter.push(&whole[..9], "P").unwrap();
    assert!(half.bytes.is_empty());
    rewriter.reconnect();
    let relayed = rewriter.push(&whole, "P").unwrap();
    assert_eq!(text(&relayed.bytes), "id: P.0\ndata: abc\n\n");
}

fn place() -> StreamLocation {
    StreamLocation {
        engine: "engine-1".to_owned(),
        stream: "00ff-1".to_owned(),
        entry: "summaries".to_owned(),
        request: "r-1".to_owned(),
    }
}

const WALL: Duration = Duration::from_secs(1_000_000);

#[test]
fn event_id_is_decoded_by_any_entry_with_the_secret() {
    let id = Mint::new(b"0123456789abcdef", Duration::from_secs(60)).encode(&place(), "lima", WALL);
    let other = Mint::new(b"0123456789abcdef", Duration::from_secs(60));
    assert_eq!(
        other.decode(&format!("{id}.7"), "lima", WALL),
        Ok((place(), 7))
    );
}

/// An owner presents an event id that it has seen elsewhere or made up. Unless ids are
/// authenticated and bound to their owner, it could read another owner's answer.
#[test]
fn event_id_is_rejected_for_other_owners_and_after_its_expiry() {
    let mint = Mint::new(b"0123456789abcdef", Duration::from_secs(60));
    let id = format!("{}.7", mint.encode(&place(), "lima", WALL));
    assert_eq!(mint.decode(&id, "cali", WALL), Err(EventIdError::Forged));
    let foreign = Mint::new(b"another secret!!", Duration::from_secs(60));
    assert_eq!(foreign.decode(&id, "lima", WALL), Err(EventIdError::Forged));
    let late = WALL + Duration::from_secs(61);
    assert_eq!(mint.decode(&id, "lima", late), Err(EventIdError::Expired));
    for (index, _) in id.char_indices().take(id.len() - 2) {
        let mut changed = id.clone().into_bytes();
        changed[index] = if changed[index] == b'A' { b'B' } else { b'A' };
        let changed = text(&changed);
        assert_matches!(
            mint.decode(&changed, "lima", WALL),
            Err(EventIdError::Forged)
        );
    }
    for broken in ["", ".", "x.1", "QUFB.1", &id[..id.len() - 2]] {
        assert_matches!(mint.decode(broken, "lima", WALL), Err(EventIdError::Forged));
    }
}
