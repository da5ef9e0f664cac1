//! One answer in events, from however many engines, as one stream to the caller.

use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use adapter::ingress;
use bytes::Bytes;
use http1::{Failure, Writer};
use tokio::time::Instant;

use crate::attempt::EngineResponse;
use crate::events::{EventId, Splitter};
use crate::held::Held;

/// How a stream from one engine ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The answer is whole.
    Whole,
    /// The engine broke off.
    Broken(Failure),
    /// The caller has gone.
    Gone(io::Error),
}

/// The stream to the caller.
pub(crate) struct Relay<'a> {
    writer: &'a mut Writer,
    splitter: Splitter,
    close: bool,
    times: Times,
}

/// When events went to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// The first one.
    pub first: Option<Instant>,
    last: Option<Instant>,
    /// The longest pause between two.
    pub gap: Duration,
    /// How many pieces with events there were.
    pub events: u32,
    /// Time in which the engine had prompts to read beside it.
    pub beside: Duration,
}

impl Times {
    fn note(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(last) = self.last {
            self.gap = self.gap.max(now - last);
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
            close,
            times: Times::default(),
        }
    }

    /// When events went to the caller.
    pub(crate) fn times(&self) -> Times {
        self.times
    }

    /// Whether the caller has received something.
    pub(crate) fn has_begun(&self) -> bool {
        self.writer.has_begun()
    }

    /// Id of the last event that the caller was sent.
    pub(crate) fn last(&self) -> Option<EventId> {
        self.splitter.last()
    }

    /// Passes an engine's events on as they arrive. The head of the first engine's answer goes out
    /// with its first event, so that an engine which ends before it can still be replaced.
    pub(crate) async fn pass(&mut self, answered: &mut EngineResponse, held: &Held<'_>) -> End {
        // What an engine before left of an event is sent again by this one.
        drop(self.splitter.rest());
        let mut first = true;
        loop {
            let piece = match answered.client.chunk().await {
                Ok(Some(piece)) => piece,
                Ok(None) => return self.finish(answered).await,
                Err(failure) => return End::Broken(failure),
            };
            if std::mem::take(&mut first) {
                held.generates();
            }
            let Some(events) = self.splitter.push(&piece) else {
                continue;
            };
            self.times.beside += held.event();
            if let Err(error) = self.write(answered, events).await {
                return End::Gone(error);
            }
        }
    }

    async fn write(&mut self, answered: &EngineResponse, events: Bytes) -> io::Result<()> {
        self.begin(answered).await?;
        self.times.note(Instant::now());
        self.writer.piece(events).await
    }

    async fn begin(&mut self, answered: &EngineResponse) -> io::Result<()> {
        if self.writer.has_begun() {
            return Ok(());
        }
        let head = ingress::relayed_head(&answered.head, self.close);
        self.writer.head(head, BodySize::Stream).await
    }

    async fn finish(&mut self, answered: &EngineResponse) -> End {
        let rest = self.splitter.rest();
        match self.end(answered, rest).await {
            Ok(()) => End::Whole,
            Err(error) => End::Gone(error),
        }
    }

    async fn end(&mut self, answered: &EngineResponse, rest: Bytes) -> io::Result<()> {
        self.begin(answered).await?;
        if !rest.is_empty() {
            self.writer.piece(rest).await?;
        }
        self.writer.end().await
    }
}
