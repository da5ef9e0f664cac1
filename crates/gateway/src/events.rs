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
    search: Search,
    last: Option<EventId>,
    /// Version of the weights that wrote the last whole event, if an event has named one.
    weights: Option<u64>,
    /// Whether an event with data has been returned.
    has_data: bool,
    /// Whether lines are no fields of events.
    is_plain: bool,
}

/// The ids of events do not increase: some come twice, or those of another run follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfOrder;

/// Largest event that is passed on, in bytes. Events carry a few tokens; an engine that sends more
/// without the end of an event has broken off or is spoilt, and an instance has many streams.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Prefix of the line with an event's id.
const ID: &[u8] = b"id:";
/// Prefix of the line with the version of the weights, in an event at which it changes.
const WEIGHTS: &[u8] = b"weight-versions:";
/// Prefix of the lines with its data.
const DATA: &[u8] = b"data";

impl Splitter {
    /// A splitter for a stream that begins after this event.
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Begins the answer of another engine, which sends the partial event of the one before again. A plain one
    /// has no events, and is split at empty lines all the same.
    pub fn begin(&mut self, is_plain: bool) {
        drop(self.rest());
        self.is_plain = is_plain;
    }

    /// Id of the last whole event.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Version of the model weights that the last event to name one names.
    pub fn weights(&self) -> Option<u64> {
        self.weights
    }

    /// Whether a stream that broke off can go on after the last whole event: it has an id, or there was none.
    pub fn is_resumable(&self) -> bool {
        self.last.is_some() || !self.has_data
    }

    /// Number of bytes after the last whole event, which are kept. They have no limit here.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Takes bytes and returns the whole events that they complete.
    ///
    /// # Errors
    ///
    /// If their ids do not increase, over all engines of the stream. A caller that had some of them would
    /// have to tell which ones to drop.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, OutOfOrder> {
        let Some(whole) = self.split(bytes) else {
            return Ok(None);
        };
        self.note(&whole)?;
        Ok(Some(whole))
    }

    fn split(&mut self, bytes: &Bytes) -> Option<Bytes> {
        if self.partial.is_empty() {
            let end = self.search.last_event_end(bytes);
            self.partial
                .extend_from_slice(&bytes[end.unwrap_or_default()..]);
            Some(bytes.slice(..end?))
        } else {
            self.partial.extend_from_slice(bytes);
            let end = self.search.last_event_end(&self.partial)?;
            Some(self.partial.split_to(end).freeze())
        }
    }

    /// Removes and returns the bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.search = Search::default();
        self.partial.split().freeze()
    }

    fn note(&mut self, events: &[u8]) -> Result<(), OutOfOrder> {
        if self.is_plain {
            return Ok(());
        }
        let mut last = self.last;
        for line in events.split(|byte| matches!(byte, b'\n' | b'\r')) {
            self.has_data |= line.starts_with(DATA);
            self.weights = number(line, WEIGHTS).or(self.weights);
            let Some(id) = number(line, ID) else { continue };
            if last.is_some_and(|last| id <= last) {
                return Err(OutOfOrder);
            }
            last = Some(id);
        }
        self.last = last;
        Ok(())
    }
}

/// Search for the ends of events in bytes that arrive in pieces. Each byte is looked at once, so that an
/// event in many pieces costs no more than one in few.
#[derive(Clone, Copy, Debug, Default)]
struct Search {
    /// Start of the line that has not ended.
    line: usize,
    /// Where to go on; there is no line terminator between `line` and this.
    next: usize,
}

impl Search {
    /// Where the last whole event ends in bytes that begin with an event: after an empty line. The bytes
    /// up to there are to be removed before the next search. Lines end with LF, CR LF or CR, as
    /// [the format](https://html.spec.whatwg.org/multipage/server-sent-events.html) allows.
    ///
    /// A CR at the end may be half of a CR LF. After an empty line its LF then arrives as an empty line of
    /// its own, which ends no event.
    fn last_event_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        while let Some(length) = memchr2(b'\r', b'\n', &bytes[self.next..]) {
            let terminator = self.next + length;
            let is_empty = terminator == self.line;
            let after = match &bytes[terminator..] {
                [b'\r'] if !is_empty => {
                    self.next = terminator;
                    return self.rebase(end);
                }
                [b'\r', b'\n', ..] => terminator + 2,
                _ => terminator + 1,
            };
            if is_empty {
                end = Some(after);
            }
            self.line = after;
            self.next = after;
        }
        self.next = bytes.len();
        self.rebase(end)
    }

    /// Counts from the end of the last event, up to which the bytes are removed.
    fn rebase(&mut self, end: Option<usize>) -> Option<usize> {
        let removed = end.unwrap_or_default();
        self.line -= removed;
        self.next -= removed;
        end
    }
}

/// Whether bytes after the last whole event hold a part of another one. A reader drops whole lines of
/// comments, which keep idle connections open.
pub fn is_partial_event(rest: &[u8]) -> bool {
    let is_terminator = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let ends_within_line = rest.last().is_some_and(|byte| !is_terminator(byte));
    let mut lines = rest.split(is_terminator).filter(|line| !line.is_empty());
    ends_within_line || lines.any(|line| !line.starts_with(b":"))
}

fn number(line: &[u8], prefix: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(prefix)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
