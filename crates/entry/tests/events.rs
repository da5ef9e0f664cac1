//! Events of a stream reach the caller once and in order, with ids that only its owner can use.

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
fn events_pass_whole_with_the_callers_ids_however_they_are_cut() {
    let mut bytes = event("s", 0, "a");
    bytes.extend(event("s", 1, "b"));
    bytes.extend(event("s", 2, "[DONE]"));
    for size in 1..bytes.len() {
        let mut follower = EventRewriter::new("s", 0);
        let mut out = Vec::new();
        let mut tokens = 0;
        let mut done = false;
        for chunk in bytes.chunks(size) {
            let relayed = follower.push(chunk, "P").unwrap();
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

// Symptom: a caller sees a token twice after its stream was resumed.
// Sequence: the connection breaks after event 1 was relayed; the engine sends from event 0 on.
// Cause: an engine may resume earlier than asked, and the relay passed on what came.
#[test]
fn an_event_that_the_caller_has_is_left_out() {
    let mut follower = EventRewriter::new("s", 0);
    let mut bytes = event("s", 0, "a");
    bytes.extend(event("s", 1, "b"));
    follower.push(&bytes, "P").unwrap();
    follower.reconnect();
    bytes.extend(event("s", 2, "c"));
    let relayed = follower.push(&bytes, "P").unwrap();
    assert_eq!(text(&relayed.bytes), "id: P.2\ndata: c\n\n");
}

// Symptom: a caller's answer lacks a token, and nobody notices.
// Sequence: the engine skips an event after a resumption.
// Cause: the numbers of the events were not compared.
#[test]
fn a_gap_is_read_again_and_not_passed_on() {
    let mut follower = EventRewriter::new("s", 0);
    let mut bytes = event("s", 0, "a");
    bytes.extend(event("s", 2, "c"));
    assert_matches!(follower.push(&bytes, "P"), Err(EventError::Gap));
    assert_eq!(follower.next(), 0);
}

// Symptom: a caller reads another caller's tokens.
// Sequence: the engine answers with the events of another stream.
// Cause: the stream in the event ids was not compared.
#[test]
fn an_event_of_another_stream_is_not_passed_on() {
    let mut follower = EventRewriter::new("s", 0);
    let crossed = follower.push(&event("t", 0, "x"), "P");
    assert_matches!(crossed, Err(EventError::Crossed));
    let mut follower = EventRewriter::new("s", 0);
    assert_matches!(
        follower.push(b"data: x\n\n", "P"),
        Err(EventError::Malformed)
    );
}

#[test]
fn half_an_event_is_forgotten_when_the_connection_breaks() {
    let mut follower = EventRewriter::new("s", 0);
    let whole = event("s", 0, "abc");
    let half = follower.push(&whole[..9], "P").unwrap();
    assert!(half.bytes.is_empty());
    follower.reconnect();
    let relayed = follower.push(&whole, "P").unwrap();
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
fn an_event_id_leads_back_to_its_place_at_any_entry_with_the_secret() {
    let id = Mint::new(b"0123456789abcdef", Duration::from_secs(60)).encode(&place(), "lima", WALL);
    let other = Mint::new(b"0123456789abcdef", Duration::from_secs(60));
    assert_eq!(
        other.decode(&format!("{id}.7"), "lima", WALL),
        Ok((place(), 7))
    );
}

// Symptom: one owner reads the answer of another.
// Sequence: an owner presents an event id that it saw elsewhere, or made itself.
// Cause: the id was not bound to its owner, or not authenticated.
#[test]
fn an_event_id_is_of_no_use_to_others_or_later() {
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
