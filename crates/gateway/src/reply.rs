//! Answers of the system's own.

use std::io;
use std::time::Duration;

use actix_http::StatusCode;
use adapter::ingress;
use bytes::Bytes;
use http1::Writer;

/// An answer that is not an engine's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal<'a> {
    pub status: StatusCode,
    pub id: Option<&'a str>,
    /// When the caller may come back.
    pub after: Option<Duration>,
    /// For people.
    pub detail: &'a str,
    /// Whether the request may have run.
    pub ran: bool,
}

/// Writes an answer of the system's own.
pub(crate) async fn refuse(
    writer: &mut Writer,
    refusal: Refusal<'_>,
    close: bool,
) -> io::Result<()> {
    let head = ingress::refusal(refusal.status, refusal.id, refusal.after, close);
    writer.whole(head, body(&refusal)).await
}

fn body(refusal: &Refusal) -> Bytes {
    let title = refusal.status.canonical_reason().unwrap_or("Error");
    let ran = if refusal.ran { "unknown" } else { "no" };
    let detail = refusal.detail;
    let body =
        format!(r#"{{"type":"about:blank","title":"{title}","detail":"{detail}","ran":"{ran}"}}"#);
    Bytes::from(body)
}
