//! The response to one read of the log.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;

use crate::Offset;

/// A record as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Position in the log.
    pub offset: Offset,
    /// Encoded record; this crate doesn't decode it.
    pub data: Bytes,
}

/// Consecutive records, and the bounds of the log at the time of the read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// First retained offset.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Records in offset order without gaps.
    pub records: Vec<LogEntry>,
}

#[derive(Deserialize)]
pub(crate) struct RawLogEntry {
    offset: Offset,
    data: String,
}

#[derive(Deserialize)]
pub(crate) struct RawChunk {
    first: Offset,
    next: Offset,
    #[serde(default)]
    records: Vec<RawLogEntry>,
}

#[derive(Deserialize)]
pub(crate) struct RawGone {
    pub(crate) first: Offset,
    pub(crate) next: Offset,
}

/// Why a chunk is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkError {
    Bounds,
    Gap,
    Base64,
}

impl RawChunk {
    /// Validates the response to a read from `from`. A gap would let this process silently fold a
    /// different state from the others, so the whole response is rejected.
    pub(crate) fn validate(self, from: Offset) -> Result<Chunk, ChunkError> {
        if self.first == 0 || self.next < self.first {
            return Err(ChunkError::Bounds);
        }
        let mut records = Vec::with_capacity(self.records.len());
        for (expected, raw) in (from..).zip(self.records) {
            if raw.offset != expected || raw.offset >= self.next {
                return Err(ChunkError::Gap);
            }
            let data = STANDARD.decode(raw.data).map_err(|_| ChunkError::Base64)?;
            records.push(LogEntry {
                offset: raw.offset,
                data: Bytes::from(data),
            });
        }
        Ok(Chunk {
            first: self.first,
            next: self.next,
            records,
        })
    }
}
