//! Error answers to callers as `application/problem+json` (RFC 9457).

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use serde::Serialize;

use crate::front::request_id::{self, RequestId};

/// What is certain about a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing was sent, or the upstream confirmed that it did not run the call.
    No,
    /// The call may have run.
    Unknown,
}

/// Kind of an error. Each kind has a fixed status, title and `type`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or belongs to no owner.
    Unauthenticated,
    /// The key is known but not authorised for this request.
    Forbidden,
    /// No catalogue entry serves the path.
    NotFound,
    /// The caller's owner has no entry with this name or model.
    UnknownModel,
    /// The path is not served with this method.
    MethodNotAllowed,
    /// The entry requires an `Idempotency-Key`.
    KeyRequired,
    /// The call has an `Idempotency-Key` but lacks the `Idempotency-Attempt` that it needs.
    AttemptRequired,
    /// The `Idempotency-Key` was used for a different request.
    KeyReused,
    /// A call with this `Idempotency-Key` was sent before and its answer is not held here.
    Repeated,
    /// A concurrent edit was accepted first.
    Conflict,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive within the idle time-out.
    TooSlow,
    /// The headers are larger than allowed.
    HeadTooLarge,
    /// An edit or settings with findings.
    Invalid,
    /// A limit of the owner is reached.
    Limited,
    /// The pool has no capacity left, or no upstream.
    Overloaded,
    /// The process is stopping, has no catalogue yet, or cannot reach the log that the call needs.
    Unavailable,
    /// The upstream failed, or its answer was invalid.
    BadGateway,
    /// The deadline passed.
    DeadlineExceeded,
    /// The stream of the event id no longer exists.
    StreamGone,
}

impl Kind {
    /// Status, short name (the last part of `type`) and title.
    fn definition(self) -> (StatusCode, &'static str, &'static str) {
        use StatusCode as S;
        match self {
            Self::BadRequest => (
                S::BAD_REQUEST,
                "bad-request",
                "The request cannot be understood",
            ),
            Self::Unauthenticated => (
                S::UNAUTHORIZED,
                "unauthenticated",
                "The key is missing or unknown",
            ),
            Self::Forbidden => (S::FORBIDDEN, "forbidden", "The key may not do this"),
            Self::NotFound => (S::NOT_FOUND, "not-found", "Nothing is served at this path"),
            Self::UnknownModel => (S::NOT_FOUND, "unknown-model", "The model is unknown"),
            Self::MethodNotAllowed => (
                S::METHOD_NOT_ALLOWED,
                "method-not-allowed",
                "The method is not served here",
            ),
            Self::KeyRequired => (
                S::BAD_REQUEST,
                "key-required",
                "An Idempotency-Key is required",
            ),
            Self::AttemptRequired => (
                S::BAD_REQUEST,
                "attempt-required",
                "An Idempotency-Attempt is required",
            ),
            Self::KeyReused => (
                S::UNPROCESSABLE_ENTITY,
                "key-reused",
                "The Idempotency-Key belongs to another request",
            ),
            Self::Repeated => (S::CONFLICT, "repeated", "The call was sent before"),
            Self::Conflict => (S::CONFLICT, "conflict", "Another edit was accepted first"),
            Self::TooLarge => (S::PAYLOAD_TOO_LARGE, "too-large", "The body is too large"),
            Self::TooSlow => (
                S::REQUEST_TIMEOUT,
                "too-slow",
                "The body did not arrive in time",
            ),
            Self::HeadTooLarge => (
                S::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "head-too-large",
                "The headers are too large",
            ),
            Self::Invalid => (
                S::UNPROCESSABLE_ENTITY,
                "invalid",
                "The content has findings",
            ),
            Self::Limited => (
                S::TOO_MANY_REQUESTS,
                "limited",
                "A limit of the owner is reached",
            ),
            Self::Overloaded => (S::SERVICE_UNAVAILABLE, "overloaded", "No capacity is left"),
            Self::Unavailable => (
                S::SERVICE_UNAVAILABLE,
                "unavailable",
                "The call cannot be served now",
            ),
            Self::BadGateway => (S::BAD_GATEWAY, "bad-gateway", "The upstream failed"),
            Self::DeadlineExceeded => (
                S::GATEWAY_TIMEOUT,
                "deadline-exceeded",
                "The deadline passed",
            ),
            Self::StreamGone => (S::GONE, "stream-gone", "The stream cannot be resumed"),
        }
    }

    /// The status of the answer.
    pub fn status(self) -> StatusCode {
        self.definition().0
    }

    /// The short name, for metrics and logs.
    pub fn name(self) -> &'static str {
        self.definition().1
    }
}

/// An error answer without the request id, which is added when the answer is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What kind of error it is.
    pub kind: Kind,
    /// Description for people.
    pub detail: String,
    /// What is certain about the call.
    pub ran: Ran,
    /// Value of `Retry-After`, if a later attempt may succeed.
    pub retry_after: Option<Duration>,
    /// Individual findings with their places.
    pub findings: Vec<String>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    request_id: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    findings: &'a [String],
}

impl Problem {
    /// An error of a call that was certainly not run.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            ran: Ran::No,
            retry_after: None,
            findings: Vec::new(),
        }
    }

    /// An error of a call that may have run.
    pub fn unknown(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Sets `Retry-After`.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Sets the individual findings.
    #[must_use]
    pub fn findings(mut self, findings: Vec<String>) -> Self {
        self.findings = findings;
        self
    }

    /// The body of the answer.
    pub fn body(&self, request: &RequestId) -> Vec<u8> {
        let (status, name, title) = self.kind.definition();
        let document = Document {
            r#type: format!("urn:tarragon:problem:{name}"),
            title,
            status: status.as_u16(),
            detail: &self.detail,
            request_id: request.as_str(),
            ran: self.ran,
            findings: &self.findings,
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// The HTTP response.
    pub fn response(&self, request: &RequestId) -> Response<BoxBody> {
        let mut response =
            Response::new(self.kind.status()).set_body(BoxBody::new(self.body(request)));
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(
            HeaderName::from_static(request_id::HEADER),
            request.header(),
        );
        if self.kind == Kind::Unauthenticated {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(time) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(time)));
        }
        response
    }
}

/// `Retry-After` takes whole seconds; rounding down would make callers retry too early.
fn whole_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1000).max(1) as u64
}
