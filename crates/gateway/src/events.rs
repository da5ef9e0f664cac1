//! Splits a stream that may break off anywhere into whole events.

use bytes::{Bytes, BytesMut};
use memchr::memchr2;

/// Id of an event.
pub type EventId = u64;

/// Splits a stream of server-sent events.
///
/// An engine may stop in the middle of an event. A partial event that was passed on could not be
/// taken back when another engine resumes the stream, and the caller would see half an event joined
/// to the next; so only whole events are returned.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last: Option<EventId>,
}

/// Prefix of the line with an event's id.
const ID: &[u8] = b"id:";

impl Splitter {
    /// A splitter for a stream that begins after this event.
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            partial: BytesMut::new(),
            last,
        }
    }

    /// Id of the last whole event.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Takes bytes and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        if self.partial.is_empty() {
            return self.split(bytes);
        }
        self.partial.extend_from_slice(bytes);
        let joined = self.partial.split().freeze();
        self.split(&joined)
    }

    fn split(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let Some(end) = last_event_end(bytes) else {
            self.partial.extend_from_slice(bytes);
            return None;
        };
        self.partial.extend_from_slice(&bytes[end..]);
        let whole = bytes.slice(..end);
        self.note(&whole);
        Some(whole)
    }

    /// Removes and returns the bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn note(&mut self, events: &[u8]) {
        for line in events.split(|byte| matches!(byte, b'\n' | b'\r')).rev() {
            if let Some(id) = id(line) {
                self.last = Some(id);
                return;
            }
        }
    }
}

/// Where the last whole event ends in bytes that begin with an event: after an empty line. Lines end
/// with LF, CR LF or CR, as [the format](https://html.spec.whatwg.org/multipage/server-sent-events.html)
/// allows.
///
/// A CR at the end may be half of a CR LF. Its LF then arrives as an empty line of its own, which ends
/// no event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    let mut end = None;
    while let Some(length) = memchr2(b'\r', b'\n', &bytes[line..]) {
        let terminator = &bytes[line + length..];
        let next = line
            + length
            + if terminator.starts_with(b"\r\n") {
                2
            } else {
                1
            };
        if length == 0 {
            end = Some(next);
        }
        line = next;
    }
    end
}

/// Whether bytes after the last whole event hold a part of another one. A reader drops whole lines of
/// comments, which keep idle connections open.
pub fn is_partial_event(rest: &[u8]) -> bool {
    let is_terminator = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let ends_within_line = rest.last().is_some_and(|byte| !is_terminator(byte));
    let mut lines = rest.split(is_terminator).filter(|line| !line.is_empty());
    ends_within_line || lines.any(|line| !line.starts_with(b":"))
}

fn id(line: &[u8]) -> Option<EventId> {
    let value = line.strip_prefix(ID)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
