//! Which headers cross the entry, in both directions.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::front::request_id;

/// Time that is left for a request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Priority of a request at an upstream, 0 highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Id of a stream at an engine.
pub const STREAM_ID: HeaderName = HeaderName::from_static("x-stream-id");
/// Handle of an imported KV cache.
pub const KV_HANDLE: HeaderName = HeaderName::from_static("x-kv-handle");
/// Key that makes a call that may not be repeated safe to ask for again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Which attempt under its `Idempotency-Key` a call is, from 1, as far as its caller knows.
pub const IDEMPOTENCY_ATTEMPT: HeaderName = HeaderName::from_static("idempotency-attempt");
/// Last event that a caller saw.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static(request_id::HEADER);

/// Headers of one connection, RFC 9110 section 7.6.1.
const OF_CONNECTION: [HeaderName; 9] = [
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

/// Headers of a caller that the entry answers for itself or states anew. The caller's key in
/// particular must not reach an upstream, which could use it in the caller's name.
const OF_ENTRY: [HeaderName; 10] = [
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

/// Headers of a caller's request that go on to the upstream.
pub fn to_upstream(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named = named_by_connection(headers);
    headers.iter().filter(move |(name, _)| {
        !OF_CONNECTION.contains(name) && !OF_ENTRY.contains(name) && !is_named(&named, name)
    })
}

/// Headers of an upstream's answer that go on to the caller.
pub fn to_caller(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named = named_by_connection(headers);
    headers.iter().filter(move |(name, _)| {
        !OF_CONNECTION.contains(name)
            && **name != header::CONTENT_LENGTH
            && **name != REQUEST_ID
            && !is_named(&named, name)
    })
}

/// Sum of the names and values of all headers, in bytes.
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

fn named_by_connection(headers: &HeaderMap) -> Option<String> {
    text(headers, &header::CONNECTION).map(str::to_ascii_lowercase)
}

fn is_named(named: &Option<String>, name: &HeaderName) -> bool {
    named
        .as_deref()
        .is_some_and(|list| list.split(',').any(|one| one.trim() == name.as_str()))
}
