//! A body that is gathered piece by piece, without a copy where it comes in one.

use bytes::{Bytes, BytesMut};

/// The pieces so far, up to a size.
#[derive(Debug)]
pub struct BodyBuffer {
    limit: usize,
    first: Bytes,
    whole: BytesMut,
}

/// The body is larger than its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl BodyBuffer {
    /// Nothing yet, of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            first: Bytes::new(),
            whole: BytesMut::new(),
        }
    }

    /// Adds a piece.
    ///
    /// # Errors
    ///
    /// [`TooLarge`] if the body would be larger than the limit.
    pub fn push(&mut self, piece: Bytes) -> Result<(), TooLarge> {
        if self.first.len() + self.whole.len() + piece.len() > self.limit {
            return Err(TooLarge);
        }
        if self.first.is_empty() && self.whole.is_empty() {
            self.first = piece;
            return Ok(());
        }
        if self.whole.is_empty() {
            self.whole
                .extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.whole.extend_from_slice(&piece);
        Ok(())
    }

    /// The whole body.
    pub fn finish(self) -> Bytes {
        if self.whole.is_empty() {
            return self.first;
        }
        self.whole.freeze()
    }
}
