//! Reassembly of whole events from chunks.

use bytes::Bytes;
use gateway::events::{self, OutOfOrder, Splitter};

/// The whole events that bytes in order complete.
fn push(splitter: &mut Splitter, bytes: &[u8]) -> Option<Bytes> {
    let events = splitter.push(&Bytes::copy_from_slice(bytes));
    events.expect("the ids increase")
}

/// Everything that a splitter returns for a stream cut into chunks of `size` bytes, and the
/// splitter.
fn split(stream: &str, size: usize) -> (String, Splitter) {
    let mut splitter = Splitter::after(None);
    let mut out = String::new();
    for chunk in stream.as_bytes().chunks(size) {
        if let Some(events) = push(&mut splitter, chunk) {
            assert!(events.ends_with(b"\n\n"));
            out.push_str(std::str::from_utf8(&events).expect("events are text"));
        }
    }
    (out, splitter)
}

/// An event arrives in two chunks, with nothing buffered before the first. When a chunk without the
/// end of an event was dropped instead of buffered, the stream lacked data.
#[test]
fn no_byte_is_lost_for_any_chunk_size() {
    let stream = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: ccc\n\n";
    for size in 1..=stream.len() {
        let (out, splitter) = split(stream, size);
        assert_eq!(out, stream, "in pieces of {size}");
        assert_eq!(splitter.last(), Some(3));
    }
}

#[test]
fn a_partial_event_stays_buffered() {
    for size in 1..20 {
        let (out, mut splitter) = split("id: 1\ndata: a\n\nid: 2\nda", size);
        assert_eq!(out, "id: 1\ndata: a\n\n");
        assert_eq!(splitter.last(), Some(1));
        assert_eq!(splitter.rest(), "id: 2\nda");
    }
}

/// Guards against holding a stream back to its end because its lines end with CR LF or CR.
#[test]
fn events_are_split_at_any_line_terminator() {
    for line_end in ["\r\n", "\r"] {
        let event = |id| format!("id: {id}{line_end}data: {id}{line_end}{line_end}");
        let mut splitter = Splitter::after(None);
        for id in 1..=3 {
            let events = push(&mut splitter, event(id).as_bytes());
            assert_eq!(events.as_deref(), Some(event(id).as_bytes()));
            assert_eq!(splitter.last(), Some(id));
        }
    }
}

/// Guards against dropping or delaying bytes where a chunk ends within a line terminator.
#[test]
fn no_byte_is_lost_for_any_chunk_size_and_line_terminator() {
    for line_end in ["\n", "\r\n", "\r"] {
        let stream = "weight-versions: 2|id: 1|data: a||: comment||data: b||id: 3|data: c||";
        let stream = stream.replace('|', line_end);
        for size in 1..=stream.len() {
            let mut splitter = Splitter::after(None);
            let mut out = String::new();
            for chunk in stream.as_bytes().chunks(size) {
                if let Some(events) = push(&mut splitter, chunk) {
                    out.push_str(std::str::from_utf8(&events).expect("events are text"));
                }
            }
            assert_eq!(out, stream, "in pieces of {size}");
            assert_eq!(splitter.last(), Some(3));
            assert_eq!(splitter.rest(), "");
        }
    }
}

/// Guards against taking comments after the last event for a stream that was broken off.
#[test]
fn only_a_part_of_an_event_makes_a_stream_incomplete() {
    for partial in ["id: 3", "id: 3\n", "data: c\r\n", ": commen", "\u{feff}"] {
        assert!(events::is_partial_event(partial.as_bytes()), "{partial:?}");
    }
    for complete in ["", "\n", ": comment\n", ":\r\n: comment\r\n"] {
        assert!(
            !events::is_partial_event(complete.as_bytes()),
            "{complete:?}"
        );
    }
}

/// Guards against passing events on that the caller has, or those of another run.
#[test]
fn ids_that_do_not_increase_are_an_error() {
    let events = |ids: &[u64]| {
        let events = ids.iter().map(|id| format!("id: {id}\ndata: {id}\n\n"));
        Bytes::from(events.collect::<String>())
    };
    for (after, ids) in [
        (Some(4), [4, 5]),
        (Some(4), [1, 2]),
        (None, [2, 2]),
        (None, [2, 1]),
    ] {
        let mut splitter = Splitter::after(after);
        assert_eq!(splitter.push(&events(&ids)), Err(OutOfOrder), "{ids:?}");
        assert_eq!(splitter.last(), after);
    }
    let mut splitter = Splitter::after(Some(4));
    assert_eq!(splitter.push(&events(&[5, 9])), Ok(Some(events(&[5, 9]))));
}

/// Guards against repeating events whose engine gave them no ids.
#[test]
fn only_streams_without_data_or_with_ids_can_be_resumed() {
    for (text, is_resumable) in [
        (": comment\n\n", true),
        ("data: a\n\n", false),
        ("data: a\n\nid: 2\ndata: b\n\n", true),
    ] {
        let mut splitter = Splitter::after(None);
        assert!(push(&mut splitter, text.as_bytes()).is_some());
        assert_eq!(splitter.is_resumable(), is_resumable, "{text:?}");
    }
}

/// Guards against reading ids into a body that has no events.
#[test]
fn a_plain_body_has_no_ids() {
    let mut splitter = Splitter::after(None);
    splitter.begin(true);
    assert!(push(&mut splitter, b"id: 2\n\nid: 1\n\n").is_some());
    assert_eq!(splitter.last(), None);
}
