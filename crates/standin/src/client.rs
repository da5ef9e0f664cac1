//! What a stand-in asks of another one.

use std::fmt;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::CONTENT_LENGTH;
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt, bail};
use futures_util::StreamExt;

/// Longest wait for the head of an answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Why nothing whole came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// No answer came.
    Unreachable,
    /// The answer was not 200.
    Refused(StatusCode),
    /// The answer broke off.
    Broken,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unreachable => write!(f, "no answer came"),
            Failure::Refused(status) => write!(f, "the answer was {status}"),
            Failure::Broken => write!(f, "the answer broke off"),
        }
    }
}

impl std::error::Error for Failure {}

/// Gets the whole body of a resource.
///
/// # Errors
/// Each of [`Failure`].
pub(crate) async fn get(url: &str) -> Result<Bytes, Report<Failure>> {
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let reply = client.get(url).send().await;
    // The errors of the client cannot be sent between threads, so their text goes along instead.
    let mut reply =
        reply.map_err(|error| Report::new(Failure::Unreachable).attach(error.to_string()))?;
    if reply.status() != StatusCode::OK {
        bail!(Failure::Refused(reply.status()));
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = reply.next().await {
        body.extend_from_slice(&chunk.change_context(Failure::Broken)?);
    }
    // The client takes the end of the connection for the end of the body. Half of a transfer
    // would pass for all of it, but for its length.
    let length = reply.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    if length.is_some_and(|length: usize| length != body.len()) {
        bail!(Failure::Broken);
    }
    Ok(body.freeze())
}
