//! The answers that a stand-in gives, including those that are none: a connection that drops and
//! one that stays silent.

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

/// How long a request that is never answered is held before its connection drops. Longer than any
/// timeout of a client, yet it bounds the memory of a long trial.
const SILENCE: Duration = Duration::from_secs(600);

/// A JSON answer.
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

/// A JSON answer with status 200.
pub fn ok(value: &impl Serialize) -> HttpResponse {
    json(StatusCode::OK, value)
}

/// An error with a text.
pub fn error(status: StatusCode, text: &str) -> HttpResponse {
    json(status, &json!({ "error": text }))
}

/// The request makes no sense, for the given reason.
pub fn bad_request(text: &str) -> HttpResponse {
    error(StatusCode::BAD_REQUEST, text)
}

/// The path is unknown.
pub fn not_found() -> HttpResponse {
    error(StatusCode::NOT_FOUND, "not found")
}

/// The service is out.
pub fn unavailable() -> HttpResponse {
    error(StatusCode::SERVICE_UNAVAILABLE, "out")
}

/// Too many requests; the caller may come back after a second.
pub fn too_many_requests() -> HttpResponse {
    let answer = error(StatusCode::TOO_MANY_REQUESTS, "too many");
    with_header(answer, "retry-after", "1")
}

/// An answer with a body of a given type.
pub fn with_content_type<B>(status: StatusCode, kind: &'static str, body: B) -> HttpResponse
where
    B: MessageBody + 'static,
{
    let mut answer = Response::with_body(status, BoxBody::new(body));
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Adds a header; a value that HTTP cannot carry is left out.
pub fn with_header(mut answer: HttpResponse, name: &'static str, value: &str) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    answer
}

/// Drops the connection without a byte of an answer. A body that fails at its first poll makes
/// the server close the connection before the head of the answer was flushed.
pub fn drop_connection() -> HttpResponse {
    let failure = stream::once(async { Err::<Bytes, _>(io::Error::other("fault: dropped")) });
    Response::with_body(
        StatusCode::OK,
        BoxBody::new(BodyStream::new(Box::pin(failure))),
    )
}

/// Never answers; the connection drops in the end.
pub async fn never_respond() -> HttpResponse {
    actix_rt::time::sleep(SILENCE).await;
    drop_connection()
}
