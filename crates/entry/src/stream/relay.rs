//! Relays the events of one stream from its engine to one caller.
//!
//! When the connection to the engine breaks, the relay reconnects and requests the rest of the
//! stream by the number of the next event. It never requests the rest from another engine:
//! generation is not deterministic, so the caller would get parts of two different answers.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode};
use actix_rt::time::{Instant, Sleep, sleep, sleep_until};
use bytes::{Bytes, BytesMut};
use clock::{Clock as _, Moment};
use fleet::upstream::Observation;
use futures_util::{Stream, StreamExt as _, stream};

use crate::dispatcher::Attempt;
use crate::front::problem::{Kind, Problem};
use crate::metrics::Metric;
use crate::request_record::{Outcome, RequestRecord};
use crate::shared::Worker;
use crate::stream::event_id::{EventNumber, StreamLocation};
use crate::stream::resumed_streams::OpenStream;
use crate::stream::sse::{EventError, EventRewriter, Relayed};
use crate::token_estimator;
use crate::upstream::client::{Answer, Call};
use crate::upstream::failure::Failure;
use crate::upstream::stream_guard::StreamGuard;

/// Chunks are coalesced until they reach this many bytes.
const MAX_COALESCED_BYTES: usize = 64 << 10;

/// Pause between two attempts to reconnect to the engine.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Largest number of consecutive connections without an event. A request for events after the last
/// one gets an empty answer each time and would otherwise be retried until the deadline.
const MAX_EMPTY_CONNECTIONS: u32 = 4;

/// Why a stream ends before its last event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The deadline passed.
    Deadline,
    /// The engine no longer has the stream.
    Gone,
    /// The engine cannot be reached.
    Unreachable(Failure),
}

/// The stream to relay and where to start.
#[derive(Debug)]
pub struct StreamSource {
    /// Engine, stream, catalogue entry and request.
    pub location: StreamLocation,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Number of the first event to send to the caller.
    pub next_event: EventNumber,
    /// Owner whose caller started the stream.
    pub owner: String,
    /// Id of the request, which the engine must echo.
    pub request: HeaderValue,
    /// Deadline of the answer.
    pub deadline: Moment,
    /// Size of the prompt in bytes; 0 if unknown.
    pub prompt_bytes: usize,
}

/// Relays one stream.
#[derive(Debug)]
pub struct Relay {
    worker: Worker,
    source: StreamSource,
    rewriter: EventRewriter,
    answer: Option<Answer>,
    deadline: Pin<Box<Sleep>>,
    encoded_location: String,
    location_renewal: Moment,
    guard: StreamGuard,
    attempt: Option<Attempt>,
    record: Option<RequestRecord>,
    ended: bool,
    /// Number of consecutive connections that ended without an event.
    empty_connections: u32,
    /// Counts a resumed stream as open at its engine; other streams are counted by their attempt.
    _open_stream: Option<OpenStream>,
}

impl Relay {
    /// Creates a relay that reads from `answer`, or connects to the engine if there is none.
    pub fn new(worker: Worker, source: StreamSource, answer: Option<Answer>) -> Self {
        let now = worker.shared.clock.now();
        let left = source.deadline.saturating_sub(now);
        let guard = StreamGuard::new(
            worker.guard_context(),
            source.address,
            source.location.stream.clone(),
            source.request.clone(),
        );
        let rewriter = EventRewriter::new(&source.location.stream, source.next_event);
        let open = answer.is_none().then(|| {
            let resumed = &worker.shared.resumed;
            resumed.open(&source.location.engine)
        });
        Self {
            rewriter,
            answer,
            deadline: Box::pin(sleep_until(Instant::now() + left)),
            encoded_location: String::new(),
            location_renewal: Moment::ZERO,
            guard,
            attempt: None,
            record: None,
            ended: false,
            empty_connections: 0,
            _open_stream: open,
            worker,
            source,
        }
    }

    /// Waits for the first events. Nothing has been sent to the caller yet, so a failure can still
    /// be reported as an error or retried at another engine.
    ///
    /// # Errors
    ///
    /// The stream failed before its first event.
    pub async fn first_events(&mut self) -> Result<Relayed, Error> {
        self.next_events().await
    }

    /// Turns the relay into the body of the caller's answer, starting with the first events.
    pub fn into_body(
        mut self,
        first: Relayed,
        attempt: Option<Attempt>,
        record: RequestRecord,
    ) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        self.attempt = attempt;
        self.record = Some(record);
        let opening = self.record_events(first);
        let rest = stream::unfold(Box::new(self), |mut relay| async move {
            let bytes = relay.next().await?;
            Some((Ok(bytes), relay))
        });
        stream::once(std::future::ready(Ok(opening))).chain(rest)
    }

    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        match self.next_events().await {
            Ok(relayed) => Some(self.record_events(relayed)),
            Err(end) => Some(self.fail(&end)),
        }
    }

    /// Records events that are about to be sent to the caller.
    fn record_events(&mut self, relayed: Relayed) -> Bytes {
        if let Some(attempt) = &self.attempt {
            attempt.tokens_received(relayed.tokens);
        }
        if let Some(record) = &mut self.record {
            record.add_tokens(relayed.tokens);
        }
        if relayed.done {
            self.record_prompt_tokens(&relayed.bytes);
            self.finish(Outcome::Served);
        }
        relayed.bytes
    }

    /// Passes the engine's count of prompt tokens to the estimator.
    fn record_prompt_tokens(&self, events: &[u8]) {
        if let Some(tokens) = token_estimator::prompt_token_count(events) {
            let estimator = &self.worker.shared.token_estimator;
            estimator.record(
                &self.source.location.entry,
                self.source.prompt_bytes,
                tokens,
            );
        }
    }

    /// Ends a stream of which the caller has received a part with an error event. Without `[DONE]`
    /// and without an id, the part cannot be mistaken for the whole answer.
    fn fail(&mut self, end: &Error) -> Bytes {
        if matches!(end, Error::Gone | Error::Unreachable(_)) {
            let engine = Arc::from(self.source.location.engine.as_str());
            let control = &self.worker.shared.control;
            control.observe(&engine, Observation::Failed);
        }
        let problem = end.problem();
        let body = self
            .record
            .as_ref()
            .map(|record| problem.body(record.request()))
            .unwrap_or_default();
        self.finish(Outcome::Cut);
        let mut event = BytesMut::from(&b"event: error\ndata: {\"error\":"[..]);
        event.extend_from_slice(&body);
        event.extend_from_slice(b"}\n\n");
        event.freeze()
    }

    fn finish(&mut self, outcome: Outcome) {
        self.ended = true;
        self.answer = None;
        if outcome == Outcome::Served {
            self.guard.disarm();
        }
        self.attempt = None;
        if let Some(mut record) = self.record.take() {
            record.conclude(outcome);
        }
    }

    /// Waits for the next events, reconnecting as needed.
    async fn next_events(&mut self) -> Result<Relayed, Error> {
        loop {
            let Some(answer) = &mut self.answer else {
                self.reconnect().await?;
                continue;
            };
            let chunk = tokio::select! {
                biased;
                chunk = answer.chunk() => chunk,
                () = self.deadline.as_mut() => return Err(Error::Deadline),
            };
            let Ok(Some(chunk)) = chunk else {
                self.connection_lost();
                continue;
            };
            let (chunk, ended) = coalesce(answer, chunk);
            if ended {
                self.answer = None;
            }
            self.renew_location();
            match self.rewriter.push(&chunk, &self.encoded_location) {
                Ok(relayed) if relayed.bytes.is_empty() && !relayed.done => {}
                Ok(relayed) => {
                    self.empty_connections = 0;
                    return Ok(relayed);
                }
                Err(broken) => self.reject_events(broken),
            }
        }
    }

    /// Handles a connection that ended before the stream did.
    fn connection_lost(&mut self) {
        self.answer = None;
        self.empty_connections += 1;
        self.rewriter.reconnect();
    }

    /// Drops a connection that sent invalid events; the relay reconnects at the next event.
    fn reject_events(&mut self, broken: EventError) {
        if broken == EventError::Crossed {
            self.worker.shared.metrics.add(Metric::Crossed, 1);
        }
        log::warn!(
            stream = self.source.location.stream.as_str(),
            upstream = self.source.location.engine.as_str(),
            broken:? = broken;
            "an engine's events were dropped"
        );
        self.connection_lost();
    }

    /// Requests the rest of the stream from the engine, retrying until `upstream.resume` has
    /// passed.
    ///
    /// There is no retry before the first event: restarting the request at another engine is then
    /// faster than waiting for this one.
    async fn reconnect(&mut self) -> Result<(), Error> {
        if self.empty_connections > MAX_EMPTY_CONNECTIONS {
            return Err(Error::Gone);
        }
        self.worker.shared.metrics.add(Metric::Reconnects, 1);
        let reconnect_time = match self.rewriter.next() {
            0 => Duration::ZERO,
            _ => self.worker.shared.settings.upstream.resume,
        };
        let until = Instant::now() + reconnect_time;
        loop {
            let failure = match self.resume().await {
                Ok(answer) if answer.status() == StatusCode::OK => {
                    self.answer = Some(answer);
                    return Ok(());
                }
                Ok(answer) if answer.status() == StatusCode::NOT_FOUND => return Err(Error::Gone),
                Ok(answer) => Failure::Declined(answer.status().as_u16()),
                Err(failure) => failure,
            };
            if self.deadline.is_elapsed() {
                return Err(Error::Deadline);
            }
            if Instant::now() >= until {
                return Err(Error::Unreachable(failure));
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn resume(&self) -> Result<Answer, Failure> {
        let location = &self.source.location;
        let target = format!(
            "/engine/streams/{}?from={}",
            location.stream,
            self.rewriter.next()
        );
        let call = Call {
            address: self.source.address,
            method: Method::GET,
            target: &target,
            headers: HeaderMap::new(),
            request: self.source.request.clone(),
            timeout: self.worker.shared.settings.upstream.resume,
        };
        self.worker.client.send(call, Bytes::new()).await
    }

    /// Renews the encoded location: event ids expire, and a stream may last longer than their
    /// validity.
    fn renew_location(&mut self) {
        let shared = &self.worker.shared;
        let now = shared.clock.now();
        if now < self.location_renewal {
            return;
        }
        self.location_renewal = now + shared.event_ids.validity() / 2;
        let unix_time = crate::shared::unix_time(&shared.clock);
        self.encoded_location =
            shared
                .event_ids
                .encode(&self.source.location, &self.source.owner, unix_time);
    }
}

impl Error {
    /// The error for the caller.
    pub fn problem(&self) -> Problem {
        match self {
            Self::Deadline => Problem::unknown(Kind::DeadlineExceeded, "the deadline passed"),
            Self::Gone => Problem::unknown(
                Kind::BadGateway,
                "the engine does not know the stream any more",
            ),
            Self::Unreachable(failure) => Problem::unknown(Kind::BadGateway, failure.to_string()),
        }
    }
}

/// Coalesces the chunks that have already arrived into one write. Also returns whether the answer
/// has ended; an answer must not be polled after its end.
fn coalesce(answer: &mut Answer, first: Bytes) -> (Bytes, bool) {
    let second = match answer.ready_chunk() {
        None => return (first, false),
        Some(Ok(Some(second))) => second,
        Some(_) => return (first, true),
    };
    let mut all = BytesMut::with_capacity(first.len() + second.len());
    all.extend_from_slice(&first);
    all.extend_from_slice(&second);
    while all.len() < MAX_COALESCED_BYTES {
        match answer.ready_chunk() {
            None => break,
            Some(Ok(Some(chunk))) => all.extend_from_slice(&chunk),
            Some(_) => return (all.freeze(), true),
        }
    }
    (all.freeze(), false)
}
