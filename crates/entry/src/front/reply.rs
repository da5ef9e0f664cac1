//! Successful results of requests and their HTTP responses.

use std::io;

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::time::{Instant, timeout_at};

use crate::dispatcher::Attempt;
use crate::front::headers;
use crate::request_record::{Outcome, RequestRecord};
use crate::stream::relay::Relay;
use crate::stream::sse::Relayed;
use crate::upstream::client::Answer;
use crate::upstream::failure::Failure;

/// A successful result.
#[derive(Debug)]
pub enum Reply {
    /// A buffered answer.
    Whole {
        /// Status.
        status: StatusCode,
        /// Headers for the caller.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// Server-sent events.
    Events {
        /// Relays the events of the stream.
        relay: Box<Relay>,
        /// The events received so far.
        first: Relayed,
        /// The attempt at the engine; `None` for a resumed stream.
        attempt: Option<Attempt>,
    },
    /// An answer that is forwarded while it arrives.
    Body {
        /// The upstream's answer.
        answer: Box<Answer>,
        /// The upstream's `Content-Length`, if present.
        length: Option<u64>,
        /// The attempt at the upstream.
        attempt: Attempt,
        /// Deadline of the answer.
        deadline: Instant,
    },
}

impl Reply {
    /// The HTTP response for the caller.
    pub fn into_response(self, mut record: RequestRecord) -> Response<BoxBody> {
        let request = record.request().header();
        let mut response = match self {
            Self::Whole {
                status,
                headers: map,
                body,
            } => {
                record.conclude(Outcome::Served);
                with_head(Response::new(status).set_body(BoxBody::new(body)), map)
            }
            Self::Events {
                relay,
                first,
                attempt,
            } => {
                let events = relay.into_body(first, attempt, record);
                let body = BoxBody::new(BodyStream::new(Box::pin(events)));
                with_head(
                    Response::new(StatusCode::OK).set_body(body),
                    event_headers(),
                )
            }
            Self::Body {
                answer,
                length,
                attempt,
                deadline,
            } => {
                let body = BodyRelay {
                    answer: *answer,
                    attempt,
                    record,
                    deadline,
                };
                body_response(body, length)
            }
        };
        response.headers_mut().insert(headers::REQUEST_ID, request);
        response
    }
}

/// The headers of an upstream's answer that are forwarded to the caller.
pub fn caller_headers(map: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(map.len());
    for (name, value) in headers::to_caller(map) {
        kept.append(name.clone(), value.clone());
    }
    kept
}

fn body_response(relay: BodyRelay, length: Option<u64>) -> Response<BoxBody> {
    let status = relay.answer.status();
    let map = caller_headers(relay.answer.headers());
    let body = relay_body(relay);
    let body = match length {
        Some(length) => BoxBody::new(SizedStream::new(length, Box::pin(body))),
        None => BoxBody::new(BodyStream::new(Box::pin(body))),
    };
    with_head(Response::new(status).set_body(body), map)
}

/// A body that is being forwarded.
struct BodyRelay {
    answer: Answer,
    attempt: Attempt,
    record: RequestRecord,
    deadline: Instant,
}

/// Forwards a body. If the upstream's answer is truncated, the caller's connection is aborted: a
/// regular end would make the truncated body look complete.
fn relay_body(body: BodyRelay) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(body), |body| async move {
        let mut body = body?;
        let chunk = timeout_at(body.deadline, body.answer.chunk()).await;
        match chunk.unwrap_or(Err(Failure::TimedOut)) {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(body))),
            Ok(None) => {
                body.record.conclude(Outcome::Served);
                drop(body.attempt);
                None
            }
            Err(failure) => {
                body.record.conclude(Outcome::Cut);
                Some((Err(io::Error::other(failure.to_string())), None))
            }
        }
    })
}

fn with_head(mut response: Response<BoxBody>, map: HeaderMap) -> Response<BoxBody> {
    *response.headers_mut() = map;
    response
}

fn event_headers() -> HeaderMap {
    let mut map = HeaderMap::with_capacity(4);
    map.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    map.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    map
}
