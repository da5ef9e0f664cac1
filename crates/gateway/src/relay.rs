//! Relays the event streams of one or more engines to a caller as one stream.

use std::io;
use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::body::BodySize;
use actix_http::header::CONTENT_TYPE;
use adapter::ingress;
use bytes::Bytes;
use http1::{Failure, Framing, Writer};
use serving::reachability::Path;
use tokio::time::Instant;

use crate::attempt::{EngineResponse, MAX_BODY_BYTES};
use crate::engine_call::EngineCall;
use crate::events::{self, EventId, Splitter};

/// How the stream of one engine ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The stream is complete.
    Whole,
    /// The engine's connection closed in an orderly way after a whole event, and the body has no other end. What
    /// follows that event, if anything, completes the stream.
    Closed(Bytes),
    /// The engine broke off.
    Broken(Failure),
    /// The caller has disconnected.
    Gone(io::Error),
}

/// The stream to the caller.
pub(crate) struct Relay<'a> {
    writer: &'a mut Writer,
    splitter: Splitter,
    /// Whether what was sent to the caller are events.
    has_events_only: bool,
    close: bool,
    times: Times,
}

/// Timing of the events sent to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// Time of the first event.
    pub first: Option<Instant>,
    last: Option<Instant>,
    /// The longest pause between two events.
    pub longest_gap: Duration,
    /// Number of chunks with events.
    pub events: u32,
    /// Time in which the engine had prompts to prefill beside this stream.
    pub beside_prefill: Duration,
}

impl Times {
    fn note(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(last) = self.last {
            self.longest_gap = self.longest_gap.max(now - last);
        }
        self.last = Some(now);
        self.events += 1;
    }
}

impl<'a> Relay<'a> {
    /// A stream that begins after an event, or at the beginning.
    pub(crate) fn new(writer: &'a mut Writer, after: Option<EventId>, close: bool) -> Self {
        Self {
            writer,
            splitter: Splitter::after(after),
            has_events_only: true,
            close,
            times: Times::default(),
        }
    }

    /// Timing of the events sent so far.
    pub(crate) fn times(&self) -> Times {
        self.times
    }

    /// Whether anything was sent to the caller.
    pub(crate) fn has_begun(&self) -> bool {
        self.writer.has_written_head()
    }

    /// Whether another engine can go on where the last one broke off.
    pub(crate) fn is_resumable(&self) -> bool {
        !self.has_begun() || (self.has_events_only && self.splitter.is_resumable())
    }

    /// Id of the last event sent to the caller.
    pub(crate) fn last(&self) -> Option<EventId> {
        self.splitter.last()
    }

    /// Version of the model weights that the last event to name one names.
    pub(crate) fn weights(&self) -> Option<u64> {
        self.splitter.weights()
    }

    /// Relays an engine's events as they arrive. The first engine's response head is sent with its
    /// first event, so that an engine which ends before that can still be replaced; `on_begin` is called
    /// before.
    pub(crate) async fn relay(
        &mut self,
        response: &mut EngineResponse,
        engine_call: &EngineCall<'_>,
        on_begin: impl Fn(),
    ) -> End {
        let has_events = is_event_stream(&response.head);
        self.splitter.begin(!has_events);
        let mut first = true;
        let events_before = self.times.events;
        let max_partial_bytes = match has_events {
            true => events::MAX_EVENT_BYTES,
            false => MAX_BODY_BYTES,
        };
        loop {
            let chunk = match response.client.chunk().await {
                Ok(Some(piece)) => piece,
                Ok(None) => {
                    let has_begun = self.times.events > events_before;
                    return self.finish(response, has_begun).await;
                }
                Err(failure) => return End::Broken(failure),
            };
            if response.path == Path::Direct {
                engine_call.on_received();
            }
            if std::mem::take(&mut first) {
                engine_call.on_generation_started();
            }
            let held = self.splitter.partial_bytes() + chunk.len();
            let request = engine_call.request();
            request.reserve_event(held, max_partial_bytes).await;
            let Ok(events) = self.splitter.push(&chunk) else {
                return End::Broken(Failure::Broken("the ids of its events do not increase"));
            };
            let Some(events) = events else {
                if self.splitter.partial_bytes() > max_partial_bytes {
                    return End::Broken(Failure::Broken("an event is larger than allowed"));
                }
                continue;
            };
            self.times.beside_prefill += engine_call.on_event();
            if !self.has_begun() {
                on_begin();
            }
            if let Err(error) = self.write(response, events).await {
                return End::Gone(error);
            }
            request.release_events();
        }
    }

    async fn write(&mut self, response: &EngineResponse, events: Bytes) -> io::Result<()> {
        self.begin(response).await?;
        self.has_events_only &= is_event_stream(&response.head);
        self.times.note(Instant::now());
        self.writer.write_chunk(events).await
    }

    async fn begin(&mut self, response: &EngineResponse) -> io::Result<()> {
        if self.writer.has_written_head() {
            return Ok(());
        }
        let head = ingress::relayed_head(&response.head, self.close);
        self.writer.write_head(head, BodySize::Stream).await
    }

    /// Ends the caller's stream, unless the engine's ends within an event or before its first one. Its
    /// framing does not tell: a body without a length ends with its connection, also where the engine
    /// crashes.
    async fn finish(&mut self, response: &EngineResponse, has_begun: bool) -> End {
        let rest = self.splitter.rest();
        if is_event_stream(&response.head) {
            if events::is_partial_event(&rest) {
                return End::Broken(Failure::Broken("the stream ends within an event"));
            }
            if response.framing == Framing::UntilClose {
                return match has_begun {
                    true => End::Closed(rest),
                    false => End::Broken(Failure::Broken("the connection ends before an event")),
                };
            }
        }
        self.complete(response, rest).await
    }

    /// Ends the caller's stream after these bytes.
    pub(crate) async fn complete(&mut self, response: &EngineResponse, rest: Bytes) -> End {
        match self.end(response, rest).await {
            Ok(()) => End::Whole,
            Err(error) => End::Gone(error),
        }
    }

    async fn end(&mut self, response: &EngineResponse, rest: Bytes) -> io::Result<()> {
        self.begin(response).await?;
        if !rest.is_empty() {
            self.writer.write_chunk(rest).await?;
        }
        self.writer.finish().await
    }
}

/// Whether a response to a call on a streaming route has events, as it does unless it says otherwise.
fn is_event_stream(head: &ResponseHead) -> bool {
    head.headers.get(CONTENT_TYPE).is_none_or(|value| {
        let media_type = value.as_bytes().split(|byte| *byte == b';').next();
        media_type.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
    })
}
