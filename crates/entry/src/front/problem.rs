//! Errors towards callers as RFC 9457 `application/problem+json`.

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
    /// No byte of it left this process, or the upstream said that it did nothing.
    No,
    /// It may have run.
    Unknown,
}

/// What kind of error it is. Every kind has one status, one title and one `type`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request cannot be understood.
    BadRequest,
    /// No key, or one that no owner has.
    Unauthenticated,
    /// The key is known and may not do this.
    Forbidden,
    /// No entry of the catalogue serves this path.
    NotFound,
    /// No entry of the caller's owner has this name or model.
    UnknownModel,
    /// The entry does not serve this method.
    MethodNotAllowed,
    /// The entry needs an `Idempotency-Key`.
    KeyRequired,
    /// An idempotency key came without the number of the attempt.
    AttemptRequired,
    /// The `Idempotency-Key` belongs to another request.
    KeyReused,
    /// A call with this `Idempotency-Key` was sent before and its answer is not held here.
    Repeated,
    /// A racing edit won.
    Conflict,
    /// The body is larger than allowed.
    TooLarge,
    /// The caller stopped sending in the middle of its body.
    TooSlow,
    /// The headers are larger than allowed.
    HeadTooLarge,
    /// Several findings of an edit or of settings.
    Invalid,
    /// A limit of the owner.
    Limited,
    /// More work than the pool can do, or nothing is there to do it.
    Overloaded,
    /// The process stops, has no catalogue yet, or the log that the call needs is out.
    Unavailable,
    /// The upstream failed or its answer was not to be trusted.
    BadGateway,
    /// The deadline passed.
    DeadlineExceeded,
    /// The stream that the event id names is gone.
    StreamGone,
}

impl Kind {
    /// Status, short name for `type`, and title.
    fn row(self) -> (StatusCode, &'static str, &'static str) {
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
        self.row().0
    }

    /// The short name, for metrics and logs.
    pub fn name(self) -> &'static str {
        self.row().1
    }
}

/// One error, complete but for the request id, which the front door adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What kind of error it is.
    pub kind: Kind,
    /// What happened, for people.
    pub detail: String,
    /// What is certain about the call.
    pub ran: Ran,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
    /// Single findings with their places, if there are several.
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

    /// The same with the time to come back.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// The same with single findings.
    #[must_use]
    pub fn findings(mut self, findings: Vec<String>) -> Self {
        self.findings = findings;
        self
    }

    /// The body of the answer.
    pub fn body(&self, request: &RequestId) -> Vec<u8> {
        let (status, name, title) = self.kind.row();
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

    /// The whole answer.
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

/// `Retry-After` knows whole seconds only; rounding down would call callers back too early.
fn whole_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1000).max(1) as u64
}
