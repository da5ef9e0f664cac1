//! A reader that follows the log.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use clock::Moment;
use error_stack::Report;
use tokio::sync::mpsc;

use crate::{Backoff, Chunk, Jitter, LogClient, Offset, ReadError};

/// Gives the time of the process's clock, passed in.
pub type Now = Box<dyn Fn() -> Moment>;

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
    Chunk {
        /// When the read was sent: what the log held by then is in here, or was told before, if
        /// the chunk reaches up to `next`.
        requested_at: Moment,
        /// What it answered.
        chunk: Chunk,
    },
    /// The log could not be read; reading goes on by itself. Told for each failed try.
    Unavailable,
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
    pub fn spawn(log: LogClient, from: Offset, wait: Duration, jitter: Jitter, now: Now) -> Self {
        let (sender, events) = mpsc::channel(QUEUE);
        let reader = Reader {
            log,
            from,
            wait,
            backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, jitter),
            now,
        };
        let task = actix_rt::spawn(follow(reader, sender));
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

struct Reader {
    log: LogClient,
    from: Offset,
    wait: Duration,
    backoff: Backoff,
    now: Now,
}

impl Reader {
    async fn read(&mut self) -> (Event, Option<Duration>) {
        let asked = (self.now)();
        match self.log.read(self.from, MAX_RECORDS, self.wait).await {
            Ok(chunk) => {
                self.backoff.reset();
                let last = chunk.records.last();
                self.from = last.map_or(self.from, |last| last.offset + 1);
                (
                    Event::Chunk {
                        requested_at: asked,
                        chunk,
                    },
                    None,
                )
            }
            Err(report) => (failed(&report), Some(pause(&report, &mut self.backoff))),
        }
    }
}

async fn follow(mut reader: Reader, sender: mpsc::Sender<Event>) {
    loop {
        let (event, pause) = reader.read().await;
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
        ReadError::Unavailable { .. } => Event::Unavailable,
        ReadError::Malformed => {
            log::error!(error:? = report; "the log's answer was thrown away");
            Event::Unavailable
        }
    }
}
