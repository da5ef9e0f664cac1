//! Client of the append-only log.

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

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Time allowed for a read beyond its long-poll wait.
const READ_GRACE: Duration = Duration::from_millis(1500);

/// Address and timeouts of a platform service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL, for instance `http://127.0.0.1:9000`.
    pub base_url: String,
    /// Time limit of an append.
    pub append_timeout: Duration,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
}

impl Options {
    /// Options with the default timeouts.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self {
            base_url: base_url.into(),
            append_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

/// Requests to the log and the bytes of their bodies since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Appends sent, whatever their result.
    pub appends: u64,
    /// Bytes of the records in them.
    pub appended_bytes: u64,
    /// Reads answered with status 200.
    pub reads: u64,
    /// Bytes of their response bodies.
    pub read_bytes: u64,
}

/// Appends to the log and reads it. Clones share connections and counters.
#[derive(Clone)]
pub struct LogClient {
    traffic: Rc<Cell<Traffic>>,
    client: Client,
    append_url: String,
    read_url: String,
    append_timeout: Duration,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

impl LogClient {
    /// Creates a client, which connects on first use. Must be called on the arbiter that uses it.
    pub fn new(options: &Options) -> Self {
        let base_url = options.base_url.trim_end_matches('/');
        Self {
            traffic: Rc::default(),
            client: client(options.connect_timeout),
            append_url: format!("{base_url}/log/append"),
            read_url: format!("{base_url}/log/read"),
            append_timeout: options.append_timeout,
        }
    }

    /// Counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// [`AppendError::Refused`] only if the record is certainly not in the log.
    pub async fn append(&self, data: Bytes) -> Result<Offset, Report<AppendError>> {
        self.count(|traffic| {
            traffic.appends += 1;
            traffic.appended_bytes += data.len() as u64;
        });
        let request = self
            .client
            .post(&self.append_url)
            .timeout(self.append_timeout);
        let mut response = request
            .send_body(data)
            .await
            .map_err(|error| append_error(&error))?;
        match response.status() {
            StatusCode::OK => {
                let body = response.body().limit(MAX_RESPONSE_BYTES).await;
                let body = body.map_err(|error| unknown(error.to_string()))?;
                serde_json::from_slice::<AppendResponse>(&body)
                    .map(|response| response.offset)
                    .map_err(|error| unknown(error.to_string()))
            }
            status @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                let retry_after = retry_after(response.headers());
                Err(Report::new(AppendError::Refused { retry_after }).attach(status.to_string()))
            }
            status => Err(unknown(status.to_string())),
        }
    }

    /// Reads up to `max` records starting at `from`, waiting up to `wait` for the first.
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
        let mut response = request
            .send()
            .await
            .map_err(|error| unavailable(None).attach(error.to_string()))?;
        match response.status() {
            StatusCode::OK => {
                let body = response.body().limit(MAX_RESPONSE_BYTES).await;
                let body = body.map_err(|error| unavailable(None).attach(error.to_string()))?;
                self.count(|traffic| {
                    traffic.reads += 1;
                    traffic.read_bytes += body.len() as u64;
                });
                parse(&body, from)
            }
            StatusCode::GONE => {
                let body = response.body().limit(MAX_RESPONSE_BYTES).await;
                let body = body.map_err(|error| unavailable(None).attach(error.to_string()))?;
                let gone: RawGone =
                    serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))?;
                Err(Report::new(ReadError::Gone {
                    first: gone.first,
                    next: gone.next,
                }))
            }
            status => {
                let retry_after = retry_after(response.headers());
                Err(unavailable(retry_after).attach(status.to_string()))
            }
        }
    }

    fn count(&self, update: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        update(&mut traffic);
        self.traffic.set(traffic);
    }
}

/// Creates an HTTP client that doesn't follow redirects, which would send an append twice.
pub(crate) fn client(connect_timeout: Duration) -> Client {
    let connector = awc::Connector::new()
        .timeout(connect_timeout)
        .handshake_timeout(connect_timeout);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

fn append_error(error: &SendRequestError) -> Report<AppendError> {
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
    raw.validate(from)
        .map_err(|error| malformed(format!("{error:?}")))
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
