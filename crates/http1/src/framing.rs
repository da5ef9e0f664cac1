//! Which responses have a body. Both ends of a connection have to agree on it, or the bytes of a body
//! that the receiver doesn't expect are taken for the next response. See
//! [RFC 9112, section 6.3](https://www.rfc-editor.org/rfc/rfc9112#section-6.3).

use actix_http::{Method, StatusCode};

/// Whether the response to a request of this method may have a body, whatever its headers say.
pub(crate) fn allows_body(method: &Method, status: StatusCode) -> bool {
    let is_bodiless_status = status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    *method != Method::HEAD && !is_bodiless_status
}
