//! One attempt to send a request to one entry, until the end of its answer.

use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::header::{self, HeaderMap};
use awc::http::{Method, StatusCode};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::de::IgnoredAny;

use crate::answer::{self, AnswerChecker, PieceMatch};
use crate::event::{Event, EventReader};
use crate::plan::Class;
use crate::request::Request;
use crate::verdict::AttemptEnd;

/// Data of the event that ends a stream.
const END_OF_STREAM: &str = "[DONE]";

/// Limit for answers that are read into memory.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// What was received for a request so far, over all its attempts.
#[derive(Debug)]
pub struct Progress {
    /// Checks the text of a completion.
    pub checker: Option<AnswerChecker>,
    /// Id of the latest event.
    pub last_event_id: Option<String>,
    /// When the first token was received.
    pub first_token_at: Option<Instant>,
    /// When the latest token was received.
    pub last_token_at: Option<Instant>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// Tokens received.
    pub tokens: u64,
    /// Status of the latest error answer.
    pub status: Option<u16>,
    /// Cause given by the latest error answer.
    pub detail: Option<String>,
}

impl Progress {
    /// Creates the progress of a request that has not been sent.
    pub fn new(checker: Option<AnswerChecker>) -> Self {
        Self {
            checker,
            last_event_id: None,
            first_token_at: None,
            last_token_at: None,
            token_gaps: Vec::new(),
            tokens: 0,
            status: None,
            detail: None,
        }
    }

    fn record_token(&mut self, now: Instant) {
        self.first_token_at.get_or_insert(now);
        if let Some(last) = self.last_token_at.replace(now) {
            self.token_gaps.push(now - last);
        }
        self.tokens += 1;
    }
}

/// One attempt of a request at one entry.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// URL root of the entry.
    pub url: &'a str,
    /// Class of the request.
    pub class: &'a Class,
    /// The request.
    pub request: &'a Request,
    /// Number of the attempt, from 1; attempts that certainly did not run are not counted.
    pub number: u32,
    /// Time until the caller gives up.
    pub time_left: Duration,
}

impl Attempt<'_> {
    /// Sends the request and reads its answer. Dropping the future closes the connection, as a
    /// caller does that gives up.
    pub async fn run(&self, client: &Client, progress: &mut Progress) -> AttemptEnd {
        let sent = self
            .build_request(client, progress)
            .send_body(self.request.body.clone());
        let time_limit = self.class.attempt_timeout.unwrap_or(self.time_left);
        let mut answer = match timeout(time_limit, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return end_of_send_error(&error),
            // The call may have run, as with a broken connection.
            Err(_) => return AttemptEnd::Broken,
        };
        if has_other_request_id(answer.headers(), &self.request.id) {
            return AttemptEnd::Crossed;
        }
        if !answer.status().is_success() {
            let (status, headers) = (answer.status(), answer.headers().clone());
            progress.status = Some(status.as_u16());
            let body = answer.body().limit(MAX_ANSWER_BYTES).await;
            let body = body.unwrap_or_default();
            progress.detail = answer::problem_detail(&body);
            return end_of_error_answer(status, &headers, &body);
        }
        match &self.request.prompt {
            Some(prompt) if prompt.stream => read_stream(answer, progress).await,
            _ => match answer.body().limit(MAX_ANSWER_BYTES).await {
                Ok(body) => self.check_whole(&body, progress),
                Err(_) => AttemptEnd::Cut,
            },
        }
    }

    fn build_request(&self, client: &Client, progress: &Progress) -> ClientRequest {
        let request = self.request;
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST);
        let mut head = client
            .request(method, format!("{}{}", self.url, request.path))
            .no_decompress()
            .bearer_auth(&self.class.key)
            .insert_header((header::CONTENT_TYPE, "application/json"))
            .insert_header(("x-request-id", request.id.as_str()))
            .insert_header(("x-deadline-ms", self.time_left.as_millis().to_string()));
        if self.class.keyed {
            head = head
                .insert_header(("idempotency-key", request.id.as_str()))
                .insert_header(("idempotency-attempt", self.number.to_string()));
        }
        if let Some(id) = &progress.last_event_id {
            head = head.insert_header(("last-event-id", id.as_str()));
        }
        head
    }

    /// The client library takes the end of a connection for the end of the body, so a body that is
    /// not complete JSON was cut off; judged by content alone it would count as crossed.
    fn check_whole(&self, body: &[u8], progress: &mut Progress) -> AttemptEnd {
        if serde_json::from_slice::<IgnoredAny>(body).is_err() {
            return AttemptEnd::Cut;
        }
        let Some(checker) = &mut progress.checker else {
            let digest = blake3::hash(&self.request.body).to_hex();
            let own = answer::is_echo_of(body, &digest);
            return if own {
                AttemptEnd::Whole
            } else {
                AttemptEnd::Crossed
            };
        };
        let Some(text) = answer::completion_text(body) else {
            return AttemptEnd::Garbled;
        };
        progress.tokens = self
            .request
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.output.into());
        match checker.check_next(&text) {
            PieceMatch::Expected if checker.is_complete() => AttemptEnd::Whole,
            PieceMatch::Expected | PieceMatch::Garbled => AttemptEnd::Garbled,
            PieceMatch::Crossed => AttemptEnd::Crossed,
        }
    }
}

/// Reads events until the end of the stream or the first error.
async fn read_stream<S>(mut body: S, progress: &mut Progress) -> AttemptEnd
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut reader = EventReader::default();
    while let Some(Ok(bytes)) = body.next().await {
        reader.feed(&bytes);
        while let Some(event) = reader.next_event() {
            if let Some(end) = handle_event(event, progress) {
                return end;
            }
        }
        if reader.is_overlong() {
            return AttemptEnd::Garbled;
        }
    }
    AttemptEnd::Cut
}

/// Updates the progress by an event; returns the end of the attempt if the event ends it.
fn handle_event(event: Event, progress: &mut Progress) -> Option<AttemptEnd> {
    let complete = progress
        .checker
        .as_ref()
        .is_none_or(AnswerChecker::is_complete);
    if event.data == END_OF_STREAM {
        return Some(if complete {
            AttemptEnd::Whole
        } else {
            AttemptEnd::Garbled
        });
    }
    let Some(text) = answer::completion_text(event.data.as_bytes()) else {
        // The event reports an error within the stream, so the answer is incomplete.
        return Some(AttemptEnd::Cut);
    };
    if !text.is_empty() {
        progress.record_token(Instant::now());
        match progress
            .checker
            .as_mut()
            .map(|checker| checker.check_next(&text))
        {
            Some(PieceMatch::Garbled) => return Some(AttemptEnd::Garbled),
            Some(PieceMatch::Crossed) => return Some(AttemptEnd::Crossed),
            Some(PieceMatch::Expected) | None => {}
        }
    }
    progress.last_event_id = event.id.or(progress.last_event_id.take());
    None
}

/// The client library also reports `Disconnected` as a connect error when the connection closed
/// after the request was sent; counting that as unreached would send a call twice.
fn end_of_send_error(error: &SendRequestError) -> AttemptEnd {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => AttemptEnd::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => AttemptEnd::Unreached,
        _ => AttemptEnd::Broken,
    }
}

fn has_other_request_id(headers: &HeaderMap, id: &str) -> bool {
    headers
        .get("x-request-id")
        .is_some_and(|value| value.as_bytes() != id.as_bytes())
}

fn end_of_error_answer(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> AttemptEnd {
    let retry_after = headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    AttemptEnd::Refused {
        status: status.as_u16(),
        ran: answer::ran(body),
        retry_after,
    }
}
