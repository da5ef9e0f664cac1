//! One attempt of a request at one entry, from its head to the end of its answer.

use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::header::{self, HeaderMap};
use awc::http::{Method, StatusCode};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::de::IgnoredAny;

use crate::answer::{self, Fit, Judge};
use crate::event::{Event, Reader};
use crate::plan::Class;
use crate::request::Request;
use crate::verdict::End;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Most bytes of an answer that is read whole.
const LONGEST_ANSWER: usize = 64 << 20;

/// What has come of a request so far, through all its attempts.
#[derive(Debug)]
pub struct Progress {
    /// Judge of a completion's text.
    pub judge: Option<Judge>,
    /// Id of the newest event.
    pub last_id: Option<String>,
    /// When the first token came.
    pub first: Option<Instant>,
    /// When the newest token came.
    pub last: Option<Instant>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Tokens that came in events.
    pub tokens: u64,
    /// Status of the newest error answer.
    pub status: Option<u16>,
    /// Cause that the newest error answer gave.
    pub detail: Option<String>,
}

impl Progress {
    /// Nothing has come yet.
    pub fn new(judge: Option<Judge>) -> Self {
        Self {
            judge,
            last_id: None,
            first: None,
            last: None,
            gaps: Vec::new(),
            tokens: 0,
            status: None,
            detail: None,
        }
    }

    fn token(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.gaps.push(now - last);
        }
        self.tokens += 1;
    }
}

/// What stays the same over the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Root of the entry's URLs.
    pub url: &'a str,
    /// Class of the request.
    pub class: &'a Class,
    /// The request.
    pub request: &'a Request,
    /// Which attempt of the request this is, from 1, without those that certainly did not run.
    pub number: u32,
    /// Time until the caller goes away.
    pub left: Duration,
}

impl Attempt<'_> {
    /// Sends the request and reads its answer; dropping the future closes the connection, which is
    /// how a caller goes away.
    pub async fn run(&self, client: &Client, progress: &mut Progress) -> End {
        let sent = self
            .head(client, progress)
            .send_body(self.request.body.clone());
        let patience = self.class.attempt_timeout.unwrap_or(self.left);
        let mut answer = match timeout(patience, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return unanswered(&error),
            // Nobody knows what became of it, as with a connection that broke.
            Err(_) => return End::Broken,
        };
        if is_foreign(answer.headers(), &self.request.id) {
            return End::Crossed;
        }
        if !answer.status().is_success() {
            let (status, headers) = (answer.status(), answer.headers().clone());
            progress.status = Some(status.as_u16());
            let body = answer.body().limit(LONGEST_ANSWER).await;
            let body = body.unwrap_or_default();
            progress.detail = answer::detail(&body);
            return refused(status, &headers, &body);
        }
        match &self.request.prompt {
            Some(prompt) if prompt.stream => read_stream(answer, progress).await,
            _ => match answer.body().limit(LONGEST_ANSWER).await {
                Ok(body) => self.judge_whole(&body, progress),
                Err(_) => End::Cut,
            },
        }
    }

    fn head(&self, client: &Client, progress: &Progress) -> ClientRequest {
        let request = self.request;
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST);
        let mut head = client
            .request(method, format!("{}{}", self.url, request.path))
            .no_decompress()
            .bearer_auth(&self.class.key)
            .insert_header((header::CONTENT_TYPE, "application/json"))
            .insert_header(("x-request-id", request.id.as_str()))
            .insert_header(("x-deadline-ms", self.left.as_millis().to_string()));
        if self.class.keyed {
            head = head
                .insert_header(("idempotency-key", request.id.as_str()))
                .insert_header(("idempotency-attempt", self.number.to_string()));
        }
        if let Some(id) = &progress.last_id {
            head = head.insert_header(("last-event-id", id.as_str()));
        }
        head
    }

    /// The client library takes the end of a connection for the end of the body, so a body that is
    /// no complete JSON was cut; judged by its content alone it would count as another's.
    fn judge_whole(&self, body: &[u8], progress: &mut Progress) -> End {
        if serde_json::from_slice::<IgnoredAny>(body).is_err() {
            return End::Cut;
        }
        let Some(judge) = &mut progress.judge else {
            let digest = blake3::hash(&self.request.body).to_hex();
            let own = answer::echoes(body, &digest);
            return if own { End::Whole } else { End::Crossed };
        };
        let Some(text) = answer::text(body) else {
            return End::Garbled;
        };
        progress.tokens = self
            .request
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.output.into());
        match judge.take(&text) {
            Fit::Due if judge.is_complete() => End::Whole,
            Fit::Due | Fit::Garbled => End::Garbled,
            Fit::Crossed => End::Crossed,
        }
    }
}

/// Reads events until the one that ends the stream.
async fn read_stream<S>(mut body: S, progress: &mut Progress) -> End
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut reader = Reader::default();
    while let Some(Ok(bytes)) = body.next().await {
        reader.feed(&bytes);
        while let Some(event) = reader.next_event() {
            if let Some(end) = take_event(event, progress) {
                return end;
            }
        }
        if reader.is_overlong() {
            return End::Garbled;
        }
    }
    End::Cut
}

/// Takes an event into the progress; gives the end if it ends the stream.
fn take_event(event: Event, progress: &mut Progress) -> Option<End> {
    let complete = progress.judge.as_ref().is_none_or(Judge::is_complete);
    if event.data == DONE {
        return Some(if complete { End::Whole } else { End::Garbled });
    }
    let Some(text) = answer::text(event.data.as_bytes()) else {
        // An error told within the stream: the answer is not whole.
        return Some(End::Cut);
    };
    if !text.is_empty() {
        progress.token(Instant::now());
        match progress.judge.as_mut().map(|judge| judge.take(&text)) {
            Some(Fit::Garbled) => return Some(End::Garbled),
            Some(Fit::Crossed) => return Some(End::Crossed),
            Some(Fit::Due) | None => {}
        }
    }
    progress.last_id = event.id.or(progress.last_id.take());
    None
}

/// The client library also tells `Disconnected` as an error of connecting when the connection
/// closed after the request was sent; counting that as unreached would send a call twice.
fn unanswered(error: &SendRequestError) -> End {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => End::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => End::Unreached,
        _ => End::Broken,
    }
}

fn is_foreign(headers: &HeaderMap, id: &str) -> bool {
    headers
        .get("x-request-id")
        .is_some_and(|value| value.as_bytes() != id.as_bytes())
}

fn refused(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> End {
    let retry_after = headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    End::Refused {
        status: status.as_u16(),
        ran: answer::ran(body),
        retry_after,
    }
}
