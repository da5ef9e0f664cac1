//! Carries the events of one stream from its engine to one caller.
//!
//! The relay survives broken connections to the engine: it asks the engine for the rest by the
//! number of the next event. It never asks another engine for the rest, because generation is not
//! deterministic and the caller would get parts of two answers.

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

/// Most bytes that are put together before they go to the caller.
const COALESCE: usize = 64 << 10;

/// Pause between two tries to reach the engine again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Connections in a row that may end without an event. A caller that asks for what comes after the
/// last event gets such an answer each time, and would otherwise keep the entry asking.
const MOST_BARREN: u32 = 4;

/// Why a stream ends before its last event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The deadline passed.
    Deadline,
    /// The engine does not know the stream any more.
    Gone,
    /// The engine is not reached any more.
    Unreachable(Failure),
}

/// Where a relay begins.
#[derive(Debug)]
pub struct StreamSource {
    /// Engine, stream and catalogue entry.
    pub location: StreamLocation,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Number of the first event that the caller needs.
    pub next_event: EventNumber,
    /// Owner of the stream.
    pub owner: String,
    /// Id of the request, as the engine must echo it.
    pub request: HeaderValue,
    /// When the answer is of no use any more.
    pub deadline: Moment,
    /// Bytes of the prompt, 0 if they are not known here.
    pub prompt_bytes: usize,
}

/// The relay of one stream.
#[derive(Debug)]
pub struct Relay {
    worker: Worker,
    origin: StreamSource,
    follower: EventRewriter,
    answer: Option<Answer>,
    deadline: Pin<Box<Sleep>>,
    place_text: String,
    place_renewal: Moment,
    guard: StreamGuard,
    attempt: Option<Attempt>,
    account: Option<RequestRecord>,
    ended: bool,
    /// Connections in a row that ended without an event.
    barren: u32,
    /// Counts the stream as open at its engine, if no attempt does.
    _open: Option<OpenStream>,
}

impl Relay {
    /// A relay over an engine's open answer; without one it asks for the stream itself.
    pub fn new(worker: Worker, origin: StreamSource, answer: Option<Answer>) -> Self {
        let now = worker.shared.clock.now();
        let left = origin.deadline.saturating_sub(now);
        let guard = StreamGuard::new(
            worker.guard_context(),
            origin.address,
            origin.location.stream.clone(),
            origin.request.clone(),
        );
        let follower = EventRewriter::new(&origin.location.stream, origin.next_event);
        let open = answer.is_none().then(|| {
            let resumed = &worker.shared.resumed;
            resumed.open(&origin.location.engine)
        });
        Self {
            follower,
            answer,
            deadline: Box::pin(sleep_until(Instant::now() + left)),
            place_text: String::new(),
            place_renewal: Moment::ZERO,
            guard,
            attempt: None,
            account: None,
            ended: false,
            barren: 0,
            _open: open,
            worker,
            origin,
        }
    }

    /// Waits for the first events. Nothing has gone to the caller before, so that a failure may
    /// still be answered as an error or tried elsewhere.
    ///
    /// # Errors
    ///
    /// Why no event came.
    pub async fn first_events(&mut self) -> Result<Relayed, StreamError> {
        self.step().await
    }

    /// Goes on towards the caller as the body of its answer, from the events that came first.
    pub fn into_body(
        mut self,
        first: Relayed,
        attempt: Option<Attempt>,
        account: RequestRecord,
    ) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        self.attempt = attempt;
        self.account = Some(account);
        let opening = self.note(first);
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
        match self.step().await {
            Ok(relayed) => Some(self.note(relayed)),
            Err(end) => Some(self.fail(&end)),
        }
    }

    /// Accounts for events that are about to go to the caller.
    fn note(&mut self, relayed: Relayed) -> Bytes {
        if let Some(attempt) = &self.attempt {
            attempt.tokens_received(relayed.tokens);
        }
        if let Some(account) = &mut self.account {
            account.add_tokens(relayed.tokens);
        }
        if relayed.done {
            self.learn(&relayed.bytes);
            self.finish(Outcome::Served);
        }
        relayed.bytes
    }

    /// Learns from the engine's count how many bytes a token of the prompt has.
    fn learn(&self, events: &[u8]) {
        if let Some(tokens) = token_estimator::prompt_token_count(events) {
            let densities = &self.worker.shared.token_estimator;
            densities.record(
                &self.origin.location.entry,
                self.origin.prompt_bytes,
                tokens,
            );
        }
    }

    /// Ends a stream of which the caller has a part. It gets an event that says so, and neither
    /// `[DONE]` nor an id, so that it cannot take the part for the whole.
    fn fail(&mut self, end: &StreamError) -> Bytes {
        if matches!(end, StreamError::Gone | StreamError::Unreachable(_)) {
            let engine = Arc::from(self.origin.location.engine.as_str());
            let control = &self.worker.shared.control;
            control.observe(&engine, Observation::Failed);
        }
        let problem = end.problem();
        let body = self
            .account
            .as_ref()
            .map(|account| problem.body(account.request()))
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
        if let Some(mut account) = self.account.take() {
            account.conclude(outcome);
        }
    }

    /// The next events, whatever connections it takes.
    async fn step(&mut self) -> Result<Relayed, StreamError> {
        loop {
            let Some(answer) = &mut self.answer else {
                self.reconnect().await?;
                continue;
            };
            let chunk = tokio::select! {
                biased;
                chunk = answer.chunk() => chunk,
                () = self.deadline.as_mut() => return Err(StreamError::Deadline),
            };
            let Ok(Some(chunk)) = chunk else {
                self.broke();
                continue;
            };
            let (chunk, ended) = coalesce(answer, chunk);
            if ended {
                self.answer = None;
            }
            self.renew_place();
            match self.follower.push(&chunk, &self.place_text) {
                Ok(relayed) if relayed.bytes.is_empty() && !relayed.done => {}
                Ok(relayed) => {
                    self.barren = 0;
                    return Ok(relayed);
                }
                Err(broken) => self.distrust(broken),
            }
        }
    }

    /// The connection to the engine ended before the stream did.
    fn broke(&mut self) {
        self.answer = None;
        self.barren += 1;
        self.follower.reconnect();
    }

    /// What came cannot be the stream, or skips a part of it: the connection is given up, and the
    /// engine is asked again for what is next.
    fn distrust(&mut self, broken: EventError) {
        if broken == EventError::Crossed {
            self.worker.shared.metrics.add(Metric::Crossed, 1);
        }
        log::warn!(
            stream = self.origin.location.stream.as_str(),
            upstream = self.origin.location.engine.as_str(),
            broken:? = broken;
            "an engine's events were dropped"
        );
        self.broke();
    }

    /// Asks the engine for the rest of the stream until it answers or the time for it is over.
    ///
    /// While the caller has nothing yet, one failure is enough: another engine may take the request
    /// from its beginning, which is quicker than waiting for this one.
    async fn reconnect(&mut self) -> Result<(), StreamError> {
        if self.barren > MOST_BARREN {
            return Err(StreamError::Gone);
        }
        self.worker.shared.metrics.add(Metric::Reconnects, 1);
        let patience = match self.follower.next() {
            0 => Duration::ZERO,
            _ => self.worker.shared.settings.upstream.resume,
        };
        let until = Instant::now() + patience;
        loop {
            let failure = match self.resume().await {
                Ok(answer) if answer.status() == StatusCode::OK => {
                    self.answer = Some(answer);
                    return Ok(());
                }
                Ok(answer) if answer.status() == StatusCode::NOT_FOUND => {
                    return Err(StreamError::Gone);
                }
                Ok(answer) => Failure::Declined(answer.status().as_u16()),
                Err(failure) => failure,
            };
            if self.deadline.is_elapsed() {
                return Err(StreamError::Deadline);
            }
            if Instant::now() >= until {
                return Err(StreamError::Unreachable(failure));
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn resume(&self) -> Result<Answer, Failure> {
        let place = &self.origin.location;
        let target = format!(
            "/engine/streams/{}?from={}",
            place.stream,
            self.follower.next()
        );
        let call = Call {
            address: self.origin.address,
            method: Method::GET,
            target: &target,
            headers: HeaderMap::new(),
            request: self.origin.request.clone(),
            timeout: self.worker.shared.settings.upstream.resume,
        };
        self.worker.client.send(call, Bytes::new()).await
    }

    /// Event ids expire; a stream that is longer than their time needs new ones on the way.
    fn renew_place(&mut self) {
        let shared = &self.worker.shared;
        let now = shared.clock.now();
        if now < self.place_renewal {
            return;
        }
        self.place_renewal = now + shared.event_ids.validity() / 2;
        let wall = crate::shared::unix_time(&shared.clock);
        self.place_text = shared
            .event_ids
            .encode(&self.origin.location, &self.origin.owner, wall);
    }
}

impl StreamError {
    /// The error that the caller gets.
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

/// Puts together what the engine has already sent, so that one write carries it. Says too whether
/// the answer ended with it; an answer that ended must not be polled again.
fn coalesce(answer: &mut Answer, first: Bytes) -> (Bytes, bool) {
    let second = match answer.ready_chunk() {
        None => return (first, false),
        Some(Ok(Some(second))) => second,
        Some(_) => return (first, true),
    };
    let mut all = BytesMut::with_capacity(first.len() + second.len());
    all.extend_from_slice(&first);
    all.extend_from_slice(&second);
    while all.len() < COALESCE {
        match answer.ready_chunk() {
            None => break,
            Some(Ok(Some(chunk))) => all.extend_from_slice(&chunk),
            Some(_) => return (all.freeze(), true),
        }
    }
    (all.freeze(), false)
}
