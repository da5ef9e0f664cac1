//! Reads request bodies with a size limit and an idle time-out.

use std::sync::Arc;
use std::time::Duration;

use actix_http::{Payload, header::HeaderMap};
use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::StreamExt as _;

use crate::body_buffer::{BodyBuffer, TooLarge};
use crate::front::caller_stream::MAX_READ_BYTES;
use crate::front::problem::{Kind, Problem};
use crate::memory_budget::{MemoryBudget, Shortage};

/// Limits for reading a body.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest size in bytes.
    pub max_bytes: usize,
    /// Longest wait for the next chunk. Without it a caller that sends one byte a minute could hold
    /// a connection and its memory indefinitely.
    pub idle_timeout: Duration,
    /// Copies of the body that are held while the call is served, this one included.
    pub copies: usize,
}

/// What the HTTP library holds of a body that is being received: its read buffer, which doubles as it grows,
/// and a queue of pieces, which takes several times their size if they are small.
const RECEIVE_BYTES: usize = 12 * MAX_READ_BYTES;

/// `Retry-After` of a call for whose body there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reads a body into memory.
///
/// # Errors
///
/// The body is too large, too slow or truncated, or there is no memory for it. The call was not run.
pub async fn read(
    headers: &HeaderMap,
    payload: &mut Payload,
    bounds: Bounds,
    memory: &Arc<MemoryBudget>,
) -> Result<Bytes, Problem> {
    let length = content_length(headers);
    if length.is_some_and(|length| length > bounds.max_bytes as u64) {
        return Err(too_large(bounds));
    }
    let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    let mut receiving = memory.open(1);
    let received = length.map_or(RECEIVE_BYTES, |length| length.min(RECEIVE_BYTES));
    receiving.grow(received).map_err(|Shortage| no_memory())?;
    // Of many that arrive at once, some are read to their end, and the others are refused before.
    let mut memory = memory.open(bounds.copies);
    let announced = length.unwrap_or_default();
    memory.grow(announced).map_err(|Shortage| no_memory())?;
    let mut body = BodyBuffer::new(bounds.max_bytes);
    while let Some(chunk) = next_chunk(payload, bounds).await? {
        let size = body.size() + chunk.len();
        memory.grow(size).map_err(|Shortage| no_memory())?;
        body.push(chunk).map_err(|TooLarge| too_large(bounds))?;
    }
    Ok(memory.attach(body.finish()))
}

async fn next_chunk(payload: &mut Payload, bounds: Bounds) -> Result<Option<Bytes>, Problem> {
    match timeout(bounds.idle_timeout, payload.next()).await {
        Err(_) => Err(Problem::not_run(
            Kind::TooSlow,
            format!("nothing of the body came for {:?}", bounds.idle_timeout),
        )),
        Ok(None) => Ok(None),
        Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
        Ok(Some(Err(error))) => Err(Problem::not_run(Kind::BadRequest, error.to_string())),
    }
}

/// The value of `Content-Length`, if present and valid.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(actix_http::header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn no_memory() -> Problem {
    let detail = "there is no memory for the body now";
    Problem::not_run(Kind::Unavailable, detail).retry_after(MEMORY_RETRY_AFTER)
}

fn too_large(bounds: Bounds) -> Problem {
    Problem::not_run(
        Kind::TooLarge,
        format!("at most {} bytes are taken", bounds.max_bytes),
    )
}
