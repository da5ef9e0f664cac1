//! The append-only log.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::{HeaderMap, RETRY_AFTER};
use bytes::Bytes;
use error_stack::Report;
use serde::Deserialize;

use crate::chunk::{Chunk, RawChunk, RawGone};
use crate::failure::is_unsent;
use crate::{AppendError, Offset, ReadError};

/// Largest answer that is taken in, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// What a read may take beyond the time that the log was asked to wait.
const READ_GRACE: Duration = Duration::from_millis(1500);

/// How to reach the log.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base address, for instance `http://127.0.0.1:9000`.
    pub base: String,
    /// Longest time to wait for the answer to an append.
    pub append_timeout: Duration,
    /// Longest time to wait for a connection.
    pub connect_timeout: Duration,
}

impl Options {
    /// Options with the usual timeouts.
    pub fn new(base: impl Into<String>) -> Self {
        Self {
            base: base.into(),
            append_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

/// What went to and from the log since the start, bodies only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Appends that were sent, whatever became of them.
    pub appends: u64,
    /// Their bytes.
    pub appended_bytes: u64,
    /// Answers to reads.
    pub reads: u64,
    /// Their bytes.
    pub read_bytes: u64,
}

/// A client of the log. Clones share connections and counts.
#[derive(Clone)]
pub struct LogClient {
    traffic: Rc<Cell<Traffic>>,
    client: Client,
    append_url: String,
    read_url: String,
    append_timeout: Duration,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl LogClient {
    /// A client that connects when first used. Call it on the arbiter that uses it.
    pub fn new(options: &Options) -> Self {
        let base = options.base.trim_end_matches('/');
        Self {
            traffic: Rc::default(),
            client: client(options.connect_timeout),
            append_url: format!("{base}/log/append"),
            read_url: format!("{base}/log/read"),
            append_timeout: options.append_timeout,
        }
    }

    /// Counts since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Appends a record and gives its offset.
    ///
    /// # Errors
    /// [`AppendError::Refused`] only if the record certainly does not stand.
    pub async fn append(&self, data: Bytes) -> Result<Offset, Report<AppendError>> {
        self.count(|traffic| {
            traffic.appends += 1;
            traffic.appended_bytes += data.len() as u64;
        });
        let request = self
            .client
            .post(&self.append_url)
            .timeout(self.append_timeout);
        let mut answer = request
            .send_body(data)
            .await
            .map_err(|error| unanswered(&error))?;
        match answer.status() {
            StatusCode::OK => {
                let body = answer.body().limit(MAX_ANSWER).await;
                let body = body.map_err(|error| unknown(error.to_string()))?;
                serde_json::from_slice::<Appended>(&body)
                    .map(|appended| appended.offset)
                    .map_err(|error| unknown(error.to_string()))
            }
            status @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                let retry_after = retry_after(answer.headers());
                Err(Report::new(AppendError::Refused { retry_after }).attach(status.to_string()))
            }
            status => Err(unknown(status.to_string())),
        }
    }

    /// Reads up to `max` records from `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    /// [`ReadError::Gone`] if `from` is past retention.
    pub async fn read(
        &self,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Chunk, Report<ReadError>> {
        let wait_ms = wait.as_millis();
        let url = format!("{}?from={from}&max={max}&wait_ms={wait_ms}", self.read_url);
        let request = self.client.get(url).timeout(wait + READ_GRACE);
        let mut answer = request
            .send()
            .await
            .map_err(|error| unavailable(None).attach(error.to_string()))?;
        match answer.status() {
            StatusCode::OK => {
                let body = answer.body().limit(MAX_ANSWER).await;
                let body = body.map_err(|error| unavailable(None).attach(error.to_string()))?;
                self.count(|traffic| {
                    traffic.reads += 1;
                    traffic.read_bytes += body.len() as u64;
                });
                parse(&body, from)
            }
            StatusCode::GONE => {
                let body = answer.body().limit(MAX_ANSWER).await;
                let body = body.map_err(|error| unavailable(None).attach(error.to_string()))?;
                let gone: RawGone =
                    serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))?;
                Err(Report::new(ReadError::Gone {
                    first: gone.first,
                    next: gone.next,
                }))
            }
            status => {
                let retry_after = retry_after(answer.headers());
                Err(unavailable(retry_after).attach(status.to_string()))
            }
        }
    }

    fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }
}

/// A client without redirects: a followed redirect would send an append twice.
pub(crate) fn client(connect_timeout: Duration) -> Client {
    let connector = awc::Connector::new()
        .timeout(connect_timeout)
        .handshake_timeout(connect_timeout);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

fn unanswered(error: &SendRequestError) -> Report<AppendError> {
    let context = if is_unsent(error) {
        AppendError::Refused { retry_after: None }
    } else {
        AppendError::Unknown
    };
    Report::new(context).attach(error.to_string())
}

fn unknown(detail: String) -> Report<AppendError> {
    Report::new(AppendError::Unknown).attach(detail)
}

fn unavailable(retry_after: Option<Duration>) -> Report<ReadError> {
    Report::new(ReadError::Unavailable { retry_after })
}

fn malformed(detail: String) -> Report<ReadError> {
    Report::new(ReadError::Malformed).attach(detail)
}

fn parse(body: &[u8], from: Offset) -> Result<Chunk, Report<ReadError>> {
    let raw: RawChunk =
        serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
    raw.check(from)
        .map_err(|flaw| malformed(format!("{flaw:?}")))
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
