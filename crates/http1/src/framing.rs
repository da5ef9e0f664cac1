//! Which responses have a body, and where it ends. Both ends of a connection have to agree on it, or the bytes of a body
//! that the receiver doesn't expect are taken for the next response. See
//! [RFC 9112, section 6.3](https://www.rfc-editor.org/rfc/rfc9112#section-6.3).

use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, StatusCode, Version};

/// Whether the response to a request of this method may have a body, whatever its headers say.
pub(crate) fn allows_body(method: &Method, status: StatusCode) -> bool {
    let is_bodiless_status = status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    *method != Method::HEAD && !is_bodiless_status
}

/// How the end of a response's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// There is no body.
    Head,
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    LastChunk,
    /// With the connection.
    Close,
}

/// Determines the end of the body of a response to a request of this method. The codec has rejected
/// headers that contradict each other, but expects no body where one of them names another protocol.
///
/// # Errors
///
/// If the response names an encoding that its version does not know, so that no end is certain.
pub(crate) fn body_end(method: &Method, head: &ResponseHead) -> Result<BodyEnd, &'static str> {
    if !allows_body(method, head.status) {
        return Ok(BodyEnd::Head);
    }
    if let Some(encoding) = head.headers.get(TRANSFER_ENCODING) {
        if head.version < Version::HTTP_11 {
            return Err("HTTP/1.0 has no transfer encodings");
        }
        if encoding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked")
        {
            return Ok(BodyEnd::LastChunk);
        }
    }
    Ok(match length(&head.headers)? {
        Some(0) => BodyEnd::Head,
        Some(length) => BodyEnd::Length(length),
        None => BodyEnd::Close,
    })
}

/// The length that headers name.
pub(crate) fn length(headers: &HeaderMap) -> Result<Option<u64>, &'static str> {
    let Some(value) = headers.get(CONTENT_LENGTH) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .ok()
        .and_then(|value| value.trim().parse().ok());
    value.map(Some).ok_or("the length is not a number")
}
