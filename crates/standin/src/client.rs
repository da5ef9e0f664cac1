//! HTTP client for requests between stand-ins.

use std::fmt;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::CONTENT_LENGTH;
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt, bail};
use futures_util::StreamExt;

/// Time limit for the response head.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a resource could not be fetched completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FetchError {
    /// No response arrived.
    Unreachable,
    /// The response status was not 200.
    Refused(StatusCode),
    /// The body ended early or was malformed.
    Truncated,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::Unreachable => write!(f, "no answer came"),
            FetchError::Refused(status) => write!(f, "the answer was {status}"),
            FetchError::Truncated => write!(f, "the answer broke off"),
        }
    }
}

impl std::error::Error for FetchError {}

/// Fetches a resource and returns its complete body.
///
/// # Errors
/// See [`FetchError`].
pub(crate) async fn get(url: &str) -> Result<Bytes, Report<FetchError>> {
    let client = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let reply = client.get(url).send().await;
    // The client's errors are not `Send`, so their text is attached instead.
    let mut reply =
        reply.map_err(|error| Report::new(FetchError::Unreachable).attach(error.to_string()))?;
    if reply.status() != StatusCode::OK {
        bail!(FetchError::Refused(reply.status()));
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = reply.next().await {
        body.extend_from_slice(&chunk.change_context(FetchError::Truncated)?);
    }
    // The client treats the end of the connection as the end of the body, so only the length
    // reveals a truncated transfer.
    let length = reply.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    if length.is_some_and(|length: usize| length != body.len()) {
        bail!(FetchError::Truncated);
    }
    Ok(body.freeze())
}
