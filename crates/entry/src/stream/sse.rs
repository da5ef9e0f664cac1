//! Server-sent events as bytes: finds whole events in what an engine sends, checks their numbers
//! and writes them with the caller's ids. No JSON is read here; a relayed token costs two searches
//! and one copy.

use std::io::Write as _;

use bytes::{Buf as _, Bytes, BytesMut};
use memchr::memchr;

use crate::stream::event_id::EventNumber;

/// Largest event that is taken in, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Why a stream of events cannot be relayed further from this connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event of another stream: the answer was crossed.
    Crossed,
    /// An event is missing.
    Gap,
    /// An event without an id, or one that is too large.
    Malformed,
}

/// What a chunk of bytes gave.
#[derive(Debug, Default)]
pub struct Relayed {
    /// Whole events for the caller.
    pub bytes: Bytes,
    /// How many of them carry tokens.
    pub tokens: u32,
    /// The last event of the stream was among them.
    pub done: bool,
}

/// Follows the events of one stream over as many connections as it takes.
#[derive(Debug)]
pub struct EventRewriter {
    stream: String,
    next: EventNumber,
    rest: BytesMut,
}

impl EventRewriter {
    /// A follower of the engine's stream whose next event is number `next`.
    pub fn new(stream: &str, next: EventNumber) -> Self {
        Self {
            stream: stream.to_owned(),
            next,
            rest: BytesMut::new(),
        }
    }

    /// Number of the event that the caller gets next.
    pub fn next(&self) -> EventNumber {
        self.next
    }

    /// Forgets half an event, since a new connection begins with a whole one.
    pub fn reconnect(&mut self) {
        self.rest.clear();
    }

    /// Takes what the engine sent and gives the events that are whole. Events that the caller has
    /// already are left out: an engine may send them again after a resumption, and a caller that
    /// got one twice would show its token twice.
    ///
    /// # Errors
    ///
    /// Something that must not reach the caller. What was whole before it in the same chunk is
    /// dropped with it, and is read again from [`Self::next`].
    pub fn push(&mut self, chunk: &[u8], place: &str) -> Result<Relayed, EventError> {
        let before = self.next;
        self.rest.extend_from_slice(chunk);
        let mut out = Vec::with_capacity(self.rest.len() + place.len());
        let mut relayed = Relayed::default();
        while let Some(end) = event_end(&self.rest) {
            if let Err(broken) = self.event(end, place, &mut out, &mut relayed) {
                self.next = before;
                return Err(broken);
            }
            self.rest.advance(end);
        }
        if self.rest.len() > MAX_EVENT {
            return Err(EventError::Malformed);
        }
        relayed.bytes = out.into();
        Ok(relayed)
    }

    fn event(
        &mut self,
        end: usize,
        place: &str,
        out: &mut Vec<u8>,
        relayed: &mut Relayed,
    ) -> Result<(), EventError> {
        let event = &self.rest[..end];
        let Some((id, after)) = leading_id(event) else {
            // Comments keep a connection alive and belong to no event.
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
        write_event(out, place, number, body);
        if is_done(body) {
            relayed.done = true;
        } else {
            relayed.tokens += 1;
        }
        self.next = number + 1;
        Ok(())
    }
}

fn write_event(out: &mut Vec<u8>, place: &str, number: EventNumber, body: &[u8]) {
    out.extend_from_slice(b"id: ");
    out.extend_from_slice(place.as_bytes());
    // Writing to a vector cannot fail.
    let _ = writeln!(out, ".{number}");
    out.extend_from_slice(body);
}

/// Length of the first event with its empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    loop {
        let newline = from + memchr(b'\n', &bytes[from..])?;
        let line_is_empty = newline == 0 || bytes[newline - 1] == b'\n';
        if line_is_empty {
            return Some(newline + 1);
        }
        from = newline + 1;
    }
}

/// The value of the leading `id` line and the position behind that line.
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
