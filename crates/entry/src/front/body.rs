//! Bodies of requests, within bounds of size and silence.

use std::time::Duration;

use actix_http::{Payload, header::HeaderMap};
use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::StreamExt as _;

use crate::body_buffer::{BodyBuffer, TooLarge};
use crate::front::problem::{Kind, Problem};

/// Bounds of a body.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most bytes.
    pub max_bytes: usize,
    /// Longest silence between two parts. Without it a caller that sends a byte a minute would
    /// hold a connection and its memory for as long as it likes.
    pub idle_timeout: Duration,
}

/// Reads a body into memory.
///
/// # Errors
///
/// It is too large, too slow, or broke off; it was not run in any case.
pub async fn read(
    headers: &HeaderMap,
    payload: &mut Payload,
    bounds: Bounds,
) -> Result<Bytes, Problem> {
    if content_length(headers).is_some_and(|length| length > bounds.max_bytes as u64) {
        return Err(too_large(bounds));
    }
    let mut body = BodyBuffer::new(bounds.max_bytes);
    while let Some(chunk) = next(payload, bounds).await? {
        body.push(chunk).map_err(|TooLarge| too_large(bounds))?;
    }
    Ok(body.finish())
}

async fn next(payload: &mut Payload, bounds: Bounds) -> Result<Option<Bytes>, Problem> {
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

/// The length that the caller states, if it does.
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
