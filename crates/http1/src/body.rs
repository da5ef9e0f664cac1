//! The body of a request while it is being received.

use bytes::Bytes;

use crate::RequestError;
use crate::account::Held;

/// First allocation for a body of unknown length.
const MIN_BODY_BYTES: usize = 16 * 1024;

/// A body that is being received.
pub(crate) struct Body<'a> {
    bytes: Vec<u8>,
    max_bytes: usize,
    held: &'a Held,
}

impl<'a> Body<'a> {
    /// A body of a known length has all its memory from the start: of many that arrive at once, some are
    /// read to their end, and the others are refused before they are sent.
    pub(crate) fn new(
        held: &'a Held,
        length: Option<usize>,
        max_bytes: usize,
    ) -> Result<Self, RequestError> {
        let mut body = Self {
            bytes: Vec::new(),
            max_bytes,
            held,
        };
        body.reserve(length.unwrap_or_default())?;
        Ok(body)
    }

    pub(crate) fn push(&mut self, piece: &[u8]) -> Result<(), RequestError> {
        let length = self.bytes.len() + piece.len();
        if length > self.max_bytes {
            return Err(RequestError::BodyTooLarge);
        }
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(MIN_BODY_BYTES);
            self.reserve(doubled.clamp(length, self.max_bytes))?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes.into()
    }

    fn reserve(&mut self, capacity: usize) -> Result<(), RequestError> {
        if !self.held.set_body(capacity) {
            return Err(RequestError::NoMemory);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}
