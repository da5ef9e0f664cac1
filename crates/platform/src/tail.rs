//! A background reader that follows the log.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use clock::Moment;
use error_stack::Report;
use tokio::sync::mpsc;

use crate::{Backoff, Chunk, Jitter, LogClient, Offset, ReadError};

/// Returns the time of the process's clock; injected so that tests set the time.
pub type Now = Box<dyn Fn() -> Moment>;

/// Maximum number of records per read.
const MAX_RECORDS: usize = 1000;

/// Events queued for the consumer before reading pauses.
const QUEUE_CAPACITY: usize = 4;

/// Initial delay after a failed read.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after failed reads; bounds the time until the end of an outage is noticed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// An event from the reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A successful read. The records, if any, follow those of earlier events without a gap.
    Chunk {
        /// When the read was sent. If the chunk reaches up to `next`, this event and the earlier
        /// ones contain all records that the log held at that time.
        requested_at: Moment,
        /// The records and the bounds of the log.
        chunk: Chunk,
    },
    /// A read failed and will be retried. Sent for each failed attempt.
    Unavailable,
    /// The requested records are past retention. The reader has stopped.
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
    /// Starts to follow the log at `from`. Each poll waits up to `wait` for records.
    pub fn spawn(log: LogClient, from: Offset, wait: Duration, jitter: Jitter, now: Now) -> Self {
        let (sender, events) = mpsc::channel(QUEUE_CAPACITY);
        let reader = Reader {
            log,
            from,
            wait,
            backoff: Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY, jitter),
            now,
        };
        let task = actix_rt::spawn(follow(reader, sender));
        Self { events, task }
    }

    /// The next event; `None` once the reader has stopped. Cancel safe.
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
        let requested_at = (self.now)();
        match self.log.read(self.from, MAX_RECORDS, self.wait).await {
            Ok(chunk) => {
                self.backoff.reset();
                let last = chunk.records.last();
                self.from = last.map_or(self.from, |last| last.offset + 1);
                (
                    Event::Chunk {
                        requested_at,
                        chunk,
                    },
                    None,
                )
            }
            Err(report) => (
                failure_event(&report),
                Some(retry_delay(&report, &mut self.backoff)),
            ),
        }
    }
}

async fn follow(mut reader: Reader, sender: mpsc::Sender<Event>) {
    loop {
        let (event, retry_delay) = reader.read().await;
        let is_last = matches!(event, Event::Gone { .. });
        if sender.send(event).await.is_err() || is_last {
            return;
        }
        if let Some(retry_delay) = retry_delay {
            actix_rt::time::sleep(retry_delay).await;
        }
    }
}

fn retry_delay(report: &Report<ReadError>, backoff: &mut Backoff) -> Duration {
    match *report.current_context() {
        ReadError::Unavailable { retry_after } => backoff.next(retry_after),
        ReadError::Gone { .. } | ReadError::Malformed => backoff.next(None),
    }
}

fn failure_event(report: &Report<ReadError>) -> Event {
    match *report.current_context() {
        ReadError::Gone { first, next } => Event::Gone { first, next },
        ReadError::Unavailable { .. } => Event::Unavailable,
        ReadError::Malformed => {
            log::error!(error:? = report; "malformed response from the log, discarded");
            Event::Unavailable
        }
    }
}
