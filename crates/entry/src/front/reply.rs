//! What a request leads to, as the body and head of an answer.

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

/// A successful end of the entry's part.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer.
    Whole {
        /// Status.
        status: StatusCode,
        /// Headers that go to the caller.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// Server-sent events.
    Events {
        /// What carries them.
        relay: Box<Relay>,
        /// The events that are there already.
        first: Relayed,
        /// The attempt at the engine; none for a resumption.
        attempt: Option<Attempt>,
    },
    /// An answer that is too large to wait for its end.
    Body {
        /// The upstream's answer.
        answer: Box<Answer>,
        /// Its length, if the upstream stated it.
        length: Option<u64>,
        /// The attempt.
        attempt: Attempt,
        /// When the answer is of no use any more.
        deadline: Instant,
    },
}

impl Reply {
    /// The answer towards the caller.
    pub fn into_response(self, mut account: RequestRecord) -> Response<BoxBody> {
        let request = account.request().header();
        let mut response = match self {
            Self::Whole {
                status,
                headers: map,
                body,
            } => {
                account.conclude(Outcome::Served);
                with_head(Response::new(status).set_body(BoxBody::new(body)), map)
            }
            Self::Events {
                relay,
                first,
                attempt,
            } => {
                let events = relay.into_body(first, attempt, account);
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
                let passing = Passing {
                    answer: *answer,
                    attempt,
                    account,
                    deadline,
                };
                body_response(passing, length)
            }
        };
        response.headers_mut().insert(headers::REQUEST_ID, request);
        response
    }
}

/// The headers of an upstream's answer that the caller gets.
pub fn caller_headers(map: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(map.len());
    for (name, value) in headers::to_caller(map) {
        kept.append(name.clone(), value.clone());
    }
    kept
}

fn body_response(passing: Passing, length: Option<u64>) -> Response<BoxBody> {
    let status = passing.answer.status();
    let map = caller_headers(passing.answer.headers());
    let body = pass(passing);
    let body = match length {
        Some(length) => BoxBody::new(SizedStream::new(length, Box::pin(body))),
        None => BoxBody::new(BodyStream::new(Box::pin(body))),
    };
    with_head(Response::new(status).set_body(body), map)
}

/// A body on its way through.
struct Passing {
    answer: Answer,
    attempt: Attempt,
    account: RequestRecord,
    deadline: Instant,
}

/// Passes a body through. If the upstream breaks off, the caller's connection is broken off too: an
/// orderly end would tell it that the part is the whole.
fn pass(passing: Passing) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(passing), |passing| async move {
        let mut passing = passing?;
        let chunk = timeout_at(passing.deadline, passing.answer.chunk()).await;
        match chunk.unwrap_or(Err(Failure::TimedOut)) {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(passing))),
            Ok(None) => {
                passing.account.conclude(Outcome::Served);
                drop(passing.attempt);
                None
            }
            Err(failure) => {
                passing.account.conclude(Outcome::Cut);
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
