//! HTTP responses shared by the stand-ins, including the faults that send none: a dropped
//! connection and one that stays silent.

use std::io;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use serde::Serialize;
use serde_json::json;

use crate::http::HttpResponse;

/// How long an unanswered request is held before its connection is dropped. Longer than any client
/// timeout, and bounds the memory that a long test run holds.
const SILENT_CONNECTION_TIMEOUT: Duration = Duration::from_secs(600);

/// A JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => with_content_type(status, "application/json", body),
        Err(error) => with_content_type(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            error.to_string(),
        ),
    }
}

/// A JSON response with status 200.
pub fn ok(value: &impl Serialize) -> HttpResponse {
    json(StatusCode::OK, value)
}

/// A JSON error response with a message.
pub fn error(status: StatusCode, message: &str) -> HttpResponse {
    json(status, &json!({ "error": message }))
}

/// 400 with the reason.
pub fn bad_request(message: &str) -> HttpResponse {
    error(StatusCode::BAD_REQUEST, message)
}

/// 404 for an unknown path or resource.
pub fn not_found() -> HttpResponse {
    error(StatusCode::NOT_FOUND, "not found")
}

/// 503 during an outage.
pub fn unavailable() -> HttpResponse {
    error(StatusCode::SERVICE_UNAVAILABLE, "out")
}

/// 429 that asks the client to retry after one second.
pub fn too_many_requests() -> HttpResponse {
    let response = error(StatusCode::TOO_MANY_REQUESTS, "too many");
    with_header(response, "retry-after", "1")
}

/// A response with a body of the given content type.
pub fn with_content_type<B>(status: StatusCode, content_type: &'static str, body: B) -> HttpResponse
where
    B: MessageBody + 'static,
{
    let mut response = Response::with_body(status, BoxBody::new(body));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Adds a header, unless the value is not a valid header value.
pub fn with_header(mut response: HttpResponse, name: &'static str, value: &str) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    response
}

/// Drops the connection without sending any byte. A body that fails at its first poll makes the
/// server close the connection before the response head is flushed.
pub fn drop_connection() -> HttpResponse {
    let failure = stream::once(async { Err::<Bytes, _>(io::Error::other("fault: dropped")) });
    Response::with_body(
        StatusCode::OK,
        BoxBody::new(BodyStream::new(Box::pin(failure))),
    )
}

/// Sends no response; the connection is dropped after [`SILENT_CONNECTION_TIMEOUT`].
pub async fn never_respond() -> HttpResponse {
    actix_rt::time::sleep(SILENT_CONNECTION_TIMEOUT).await;
    drop_connection()
}
