//! Request ids: the caller's `x-request-id` if it is usable, otherwise a generated one.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use actix_http::header::{HeaderMap, HeaderValue};

/// Name of the header.
pub const HEADER: &str = "x-request-id";

/// Longest id of a caller that is accepted, in bytes.
const MAX_LENGTH: usize = 128;

/// Id of one request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(HeaderValue);

impl RequestId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        self.0.to_str().unwrap_or_default()
    }

    /// The id as the value of its header.
    pub fn header(&self) -> HeaderValue {
        self.0.clone()
    }

    /// The caller's id, if it is present, short enough and visible ASCII.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(HEADER)?;
        let usable = !value.is_empty()
            && value.len() <= MAX_LENGTH
            && value.as_bytes().iter().all(u8::is_ascii_graphic);
        usable.then(|| Self(value.clone()))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Generates ids that are unique across processes and restarts.
#[derive(Debug)]
pub struct IdGenerator {
    prefix: String,
    next: AtomicU64,
}

impl IdGenerator {
    /// A generator of ids that start with `prefix`, which must be random for each start.
    pub fn new(prefix: u64) -> Self {
        Self {
            prefix: format!("{prefix:016x}"),
            next: AtomicU64::new(1),
        }
    }

    /// A new id as text.
    pub fn next_id(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.prefix)
    }

    /// A new id of a request.
    pub fn next_request_id(&self) -> RequestId {
        let value = HeaderValue::try_from(self.next_id());
        RequestId(value.unwrap_or_else(|_| HeaderValue::from_static("none")))
    }
}
