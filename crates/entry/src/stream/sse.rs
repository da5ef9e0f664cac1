//! Rewrites server-sent events: splits an engine's bytes into events, checks their numbers and
//! replaces their ids by those for the caller. The data is not parsed as JSON, so that relaying a
//! token costs two searches and one copy.

use std::io::Write as _;

use bytes::{Buf as _, Bytes, BytesMut};
use memchr::memchr;

use crate::stream::event_id::EventNumber;

/// Largest event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Why the events of a connection are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event belongs to another stream.
    Crossed,
    /// An event is missing.
    Gap,
    /// An event has no valid id or is too large.
    Malformed,
}

/// The events of one chunk.
#[derive(Debug, Default)]
pub struct Relayed {
    /// Complete events for the caller.
    pub bytes: Bytes,
    /// Number of these events that carry a token.
    pub tokens: u32,
    /// Whether the last event of the stream is among them.
    pub done: bool,
}

/// Rewrites the events of one stream, across any number of connections.
#[derive(Debug)]
pub struct EventRewriter {
    stream: String,
    next: EventNumber,
    buffer: BytesMut,
    /// Bytes of the buffer in which no event ends.
    searched: usize,
}

impl EventRewriter {
    /// A rewriter for an engine's stream, starting at event number `next`.
    pub fn new(stream: &str, next: EventNumber) -> Self {
        Self {
            stream: stream.to_owned(),
            next,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// Number of the next event for the caller.
    pub fn next(&self) -> EventNumber {
        self.next
    }

    /// Drops a partial event; a new connection starts at the beginning of an event.
    pub fn reconnect(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Takes a chunk from the engine and returns the complete events. Events that the caller has
    /// already received are skipped: an engine may resend them after a resumption, and the caller
    /// would then show their tokens twice.
    ///
    /// # Errors
    ///
    /// An event is invalid. Valid events before it in the same chunk are dropped too and have to be
    /// requested again from [`Self::next`].
    pub fn push(&mut self, chunk: &[u8], location: &str) -> Result<Relayed, EventError> {
        let before = self.next;
        self.buffer.extend_from_slice(chunk);
        let mut out = Vec::with_capacity(self.buffer.len() + location.len());
        let mut relayed = Relayed::default();
        while let Some(end) = event_end(&self.buffer, self.searched) {
            self.searched = 0;
            if let Err(error) = self.rewrite_event(end, location, &mut out, &mut relayed) {
                self.next = before;
                return Err(error);
            }
            self.buffer.advance(end);
        }
        self.searched = self.buffer.len();
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::Malformed);
        }
        relayed.bytes = out.into();
        Ok(relayed)
    }

    fn rewrite_event(
        &mut self,
        end: usize,
        location: &str,
        out: &mut Vec<u8>,
        relayed: &mut Relayed,
    ) -> Result<(), EventError> {
        let event = &self.buffer[..end];
        let Some((id, after)) = leading_id(event) else {
            // Comments serve as keep-alives and have no id.
            return if event.starts_with(b":") || event == b"\n" {
                Ok(())
            } else {
                Err(EventError::Malformed)
            };
        };
        let (stream, number) = split_id(id).ok_or(EventError::Malformed)?;
        if stream != self.stream.as_bytes() {
            return Err(EventError::Crossed);
        }
        if number < self.next {
            return Ok(());
        }
        if number > self.next {
            return Err(EventError::Gap);
        }
        let body = &event[after..];
        write_event(out, location, number, body);
        if is_done(body) {
            relayed.done = true;
        } else {
            relayed.tokens += 1;
        }
        self.next = number + 1;
        Ok(())
    }
}

fn write_event(out: &mut Vec<u8>, location: &str, number: EventNumber, body: &[u8]) {
    out.extend_from_slice(b"id: ");
    out.extend_from_slice(location.as_bytes());
    // Writing to a vector cannot fail.
    let _ = writeln!(out, ".{number}");
    out.extend_from_slice(body);
}

/// Length of the first event, including the empty line that ends it. None ends in the first `searched`
/// bytes.
fn event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let mut from = searched;
    loop {
        let newline = from + memchr(b'\n', &bytes[from..])?;
        let line_is_empty = newline == 0 || bytes[newline - 1] == b'\n';
        if line_is_empty {
            return Some(newline + 1);
        }
        from = newline + 1;
    }
}

/// The value of the leading `id` line and the offset of the next line.
fn leading_id(event: &[u8]) -> Option<(&[u8], usize)> {
    let value = event.strip_prefix(b"id:")?;
    let newline = memchr(b'\n', value)?;
    Some((value[..newline].trim_ascii(), "id:".len() + newline + 1))
}

fn split_id(id: &[u8]) -> Option<(&[u8], EventNumber)> {
    let colon = id.iter().rposition(|byte| *byte == b':')?;
    let number = std::str::from_utf8(&id[colon + 1..]).ok()?;
    Some((&id[..colon], number.parse().ok()?))
}

fn is_done(body: &[u8]) -> bool {
    body.strip_prefix(b"data:")
        .is_some_and(|data| data.trim_ascii() == DONE)
}
