//! Headers that the entry forwards, in both directions.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::front::request_id;

/// Remaining time of a request in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Priority of a request at an upstream; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Id of a stream at an engine.
pub const STREAM_ID: HeaderName = HeaderName::from_static("x-stream-id");
/// Handle of an imported KV cache.
pub const KV_HANDLE: HeaderName = HeaderName::from_static("x-kv-handle");
/// Key under which a call that may not be repeated can safely be retried.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The caller's number of the attempt under its `Idempotency-Key`, from 1.
pub const IDEMPOTENCY_ATTEMPT: HeaderName = HeaderName::from_static("idempotency-attempt");
/// Id of the last event that the caller received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static(request_id::HEADER);

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Request headers that the entry consumes or sets itself. In particular, the caller's key must not
/// reach an upstream, which could impersonate the caller with it.
const SET_BY_ENTRY: [HeaderName; 10] = [
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::AUTHORIZATION,
    DEADLINE,
    PRIORITY,
    STREAM_ID,
    KV_HANDLE,
    REQUEST_ID,
    LAST_EVENT_ID,
];

/// Headers of a caller's request that are forwarded to the upstream.
pub fn to_upstream(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let options = connection_options(headers);
    headers.iter().filter(move |(name, _)| {
        !HOP_BY_HOP.contains(name)
            && !SET_BY_ENTRY.contains(name)
            && !is_connection_option(&options, name)
    })
}

/// Headers of an upstream's answer that are forwarded to the caller.
pub fn to_caller(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let options = connection_options(headers);
    headers.iter().filter(move |(name, _)| {
        !HOP_BY_HOP.contains(name)
            && **name != header::CONTENT_LENGTH
            && **name != REQUEST_ID
            && !is_connection_option(&options, name)
    })
}

/// Total size of all header names and values in bytes.
pub fn size(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// A header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn connection_options(headers: &HeaderMap) -> Option<String> {
    text(headers, &header::CONNECTION).map(str::to_ascii_lowercase)
}

fn is_connection_option(options: &Option<String>, name: &HeaderName) -> bool {
    options
        .as_deref()
        .is_some_and(|list| list.split(',').any(|option| option.trim() == name.as_str()))
}
