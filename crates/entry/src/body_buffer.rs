//! Collects the chunks of a body, without a copy if there is only one.

use bytes::{Bytes, BytesMut};

/// The chunks received so far, up to a size limit.
#[derive(Debug)]
pub struct BodyBuffer {
    limit: usize,
    first: Bytes,
    joined: BytesMut,
}

/// The body exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl BodyBuffer {
    /// An empty buffer for at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            first: Bytes::new(),
            joined: BytesMut::new(),
        }
    }

    /// Number of bytes received so far.
    pub fn size(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Appends a chunk.
    ///
    /// # Errors
    ///
    /// [`TooLarge`] if the body would exceed the limit.
    pub fn push(&mut self, piece: Bytes) -> Result<(), TooLarge> {
        if self.size() + piece.len() > self.limit {
            return Err(TooLarge);
        }
        if self.first.is_empty() && self.joined.is_empty() {
            self.first = piece;
            return Ok(());
        }
        if self.joined.is_empty() {
            self.joined
                .extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.joined.extend_from_slice(&piece);
        Ok(())
    }

    /// The whole body.
    pub fn finish(self) -> Bytes {
        if self.joined.is_empty() {
            return self.first;
        }
        self.joined.freeze()
    }
}
