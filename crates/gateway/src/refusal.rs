//! Refusals that the gateway itself sends.

use std::io;
use std::time::Duration;

use actix_http::StatusCode;
use adapter::ingress;
use bytes::Bytes;
use http1::Writer;

/// A response that is not an engine's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal<'a> {
    pub status: StatusCode,
    pub id: Option<&'a str>,
    /// Retry-after for the caller.
    pub retry_after: Option<Duration>,
    /// Human-readable explanation.
    pub detail: &'a str,
    pub may_have_run: bool,
}

/// Writes a refusal.
pub(crate) async fn refuse(
    writer: &mut Writer,
    refusal: Refusal<'_>,
    close: bool,
) -> io::Result<()> {
    let head = ingress::refusal(refusal.status, refusal.id, refusal.retry_after, close);
    writer.write_response(head, body(&refusal)).await
}

fn body(refusal: &Refusal) -> Bytes {
    let title = refusal.status.canonical_reason().unwrap_or("Error");
    let ran = if refusal.may_have_run {
        "unknown"
    } else {
        "no"
    };
    let detail = refusal.detail;
    let body =
        format!(r#"{{"type":"about:blank","title":"{title}","detail":"{detail}","ran":"{ran}"}}"#);
    Bytes::from(body)
}
