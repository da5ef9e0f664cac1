//! Parser for server-sent events in a body that arrives in chunks of any size.

use bytes::{Buf, BytesMut};

/// Limit for one line; no stand-in sends longer ones, so the stream counts as garbled.
const MAX_LINE_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value for `Last-Event-ID` to resume after this event.
    pub id: Option<String>,
    /// Its data; several data lines are joined by line feeds.
    pub data: String,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    event: Event,
    has_data: bool,
}

impl EventReader {
    /// Appends bytes; [`EventReader::next_event`] returns the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffered line exceeds the limit.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_LINE_BYTES
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end);
            self.buffer.advance(1);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if line.is_empty() {
                if let Some(event) = self.take_event() {
                    return Some(event);
                }
            } else {
                self.parse_line(&String::from_utf8_lossy(line));
            }
        }
        None
    }

    fn take_event(&mut self) -> Option<Event> {
        let event = std::mem::take(&mut self.event);
        std::mem::take(&mut self.has_data).then_some(event)
    }

    fn parse_line(&mut self, line: &str) {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_owned()),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            _ => {}
        }
    }
}
