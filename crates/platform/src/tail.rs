//! A reader that follows the log.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use error_stack::Report;
use tokio::sync::mpsc;

use crate::{Backoff, Chunk, Jitter, Log, Offset, ReadError};

/// Most records asked for at once.
const MAX_RECORDS: usize = 1000;

/// Chunks that wait for the reader before reading pauses.
const QUEUE: usize = 4;

/// First pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed reads, so that the end of an outage is noticed within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What the reader tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The log answered. The records, if any, follow the ones told before without a gap.
    Chunk(Chunk),
    /// The log could not be read; reading goes on by itself. Told for each failed try.
    Down,
    /// The records asked for are past retention. The reader has stopped.
    Gone {
        /// First retained offset.
        first: Offset,
        /// Offset of the next append.
        next: Offset,
    },
}

/// A task that reads the log in offset order by long polls. It ends when this value is dropped.
pub struct Tail {
    events: mpsc::Receiver<Event>,
    task: JoinHandle<()>,
}

impl Tail {
    /// Follows the log from `from` on. Each poll waits up to `wait` for records.
    pub fn spawn(log: Log, from: Offset, wait: Duration, jitter: Jitter) -> Self {
        let (sender, events) = mpsc::channel(QUEUE);
        let backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, jitter);
        let task = actix_rt::spawn(follow(log, from, wait, backoff, sender));
        Self { events, task }
    }

    /// The next event; `None` once the reader has stopped. It is safe to drop the future.
    pub async fn next(&mut self) -> Option<Event> {
        self.events.recv().await
    }
}

impl Drop for Tail {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn follow(
    log: Log,
    mut from: Offset,
    wait: Duration,
    mut backoff: Backoff,
    sender: mpsc::Sender<Event>,
) {
    loop {
        let read = log.read(from, MAX_RECORDS, wait).await;
        let pause = read.as_ref().err().map(|error| pause(error, &mut backoff));
        let event = match read {
            Ok(chunk) => {
                backoff.reset();
                from = chunk.records.last().map_or(from, |last| last.offset + 1);
                Event::Chunk(chunk)
            }
            Err(report) => failed(&report),
        };
        let ends = matches!(event, Event::Gone { .. });
        if sender.send(event).await.is_err() || ends {
            return;
        }
        if let Some(pause) = pause {
            actix_rt::time::sleep(pause).await;
        }
    }
}

fn pause(report: &Report<ReadError>, backoff: &mut Backoff) -> Duration {
    match *report.current_context() {
        ReadError::Unavailable { retry_after } => backoff.next(retry_after),
        ReadError::Gone { .. } | ReadError::Malformed => backoff.next(None),
    }
}

fn failed(report: &Report<ReadError>) -> Event {
    match *report.current_context() {
        ReadError::Gone { first, next } => Event::Gone { first, next },
        ReadError::Unavailable { .. } => Event::Down,
        ReadError::Malformed => {
            log::error!(error:? = report; "the log's answer was thrown away");
            Event::Down
        }
    }
}
