//! What one read of the log brings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;

use crate::Offset;

/// One record as the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Where it stands.
    pub offset: Offset,
    /// Its bytes, not interpreted.
    pub data: Bytes,
}

/// Consecutive records and the bounds of the log when they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// First retained offset.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Records in offset order, without gaps.
    pub records: Vec<LogEntry>,
}

#[derive(Deserialize)]
pub(crate) struct RawEntry {
    offset: Offset,
    data: String,
}

#[derive(Deserialize)]
pub(crate) struct RawChunk {
    first: Offset,
    next: Offset,
    #[serde(default)]
    records: Vec<RawEntry>,
}

#[derive(Deserialize)]
pub(crate) struct RawGone {
    pub(crate) first: Offset,
    pub(crate) next: Offset,
}

/// What is wrong with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    Bounds,
    Gap,
    Base64,
}

impl RawChunk {
    /// Checks the answer to a read from `from`. A gap would make this process fold another state
    /// than the others without anyone noticing, so that the whole answer is thrown away instead.
    pub(crate) fn check(self, from: Offset) -> Result<Chunk, Flaw> {
        if self.first == 0 || self.next < self.first {
            return Err(Flaw::Bounds);
        }
        let mut records = Vec::with_capacity(self.records.len());
        for (expected, raw) in (from..).zip(self.records) {
            if raw.offset != expected || raw.offset >= self.next {
                return Err(Flaw::Gap);
            }
            let data = STANDARD.decode(raw.data).map_err(|_| Flaw::Base64)?;
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
