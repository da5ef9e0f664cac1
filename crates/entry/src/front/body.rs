//! Reads request bodies with a size limit and an idle time-out.

use std::time::Duration;

use actix_http::{Payload, header::HeaderMap};
use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::StreamExt as _;

use crate::body_buffer::{BodyBuffer, TooLarge};
use crate::front::problem::{Kind, Problem};

/// Limits for reading a body.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest size in bytes.
    pub max_bytes: usize,
    /// Longest wait for the next chunk. Without it a caller that sends one byte a minute could hold
    /// a connection and its memory indefinitely.
    pub idle_timeout: Duration,
}

/// Reads a body into memory.
///
/// # Errors
///
/// The body is too large, too slow or truncated. The call was not run.
pub async fn read(
    headers: &HeaderMap,
    payload: &mut Payload,
    bounds: Bounds,
) -> Result<Bytes, Problem> {
    if content_length(headers).is_some_and(|length| length > bounds.max_bytes as u64) {
        return Err(too_large(bounds));
    }
    let mut body = BodyBuffer::new(bounds.max_bytes);
    while let Some(chunk) = next_chunk(payload, bounds).await? {
        body.push(chunk).map_err(|TooLarge| too_large(bounds))?;
    }
    Ok(body.finish())
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

fn too_large(bounds: Bounds) -> Problem {
    Problem::not_run(
        Kind::TooLarge,
        format!("at most {} bytes are taken", bounds.max_bytes),
    )
}
