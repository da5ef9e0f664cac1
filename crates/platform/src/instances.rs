//! The instance list.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use awc::Client;
use awc::http::StatusCode;
use error_stack::Report;
use tokio::sync::watch;

use crate::instance::RawListing;
use crate::log::client;
use crate::{Backoff, Jitter, ListError, Listing, Options, Registration};

/// Largest list that is taken in, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Longest time for one question.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the instance list. Clones share connections.
#[derive(Clone)]
pub struct InstanceListClient {
    client: Client,
    url: String,
}

impl InstanceListClient {
    /// A client that connects when first used. Call it on the arbiter that uses it.
    pub fn new(options: &Options) -> Self {
        let base = options.base.trim_end_matches('/');
        Self {
            client: client(options.connect_timeout),
            url: format!("{base}/instances"),
        }
    }

    /// Reads the list once.
    ///
    /// # Errors
    /// [`ListError`]; the caller goes on with the list that it had.
    pub async fn read(&self) -> Result<Listing, Report<ListError>> {
        let mut answer = self
            .client
            .get(&self.url)
            .timeout(TIMEOUT)
            .send()
            .await
            .map_err(|error| unavailable(error.to_string()))?;
        if answer.status() != StatusCode::OK {
            return Err(unavailable(answer.status().to_string()));
        }
        let body = answer.body().limit(MAX_ANSWER).await;
        let body = body.map_err(|error| unavailable(error.to_string()))?;
        let raw: RawListing = serde_json::from_slice(&body)
            .map_err(|error| Report::new(ListError::Malformed).attach(error.to_string()))?;
        Ok(raw.into())
    }

    /// Puts this process into the list. It is idempotent.
    ///
    /// # Errors
    /// [`ListError::Unavailable`] if the list did not say that it took it.
    pub async fn register(&self, registration: &Registration) -> Result<(), Report<ListError>> {
        let request = self.client.post(&self.url).timeout(TIMEOUT);
        let answer = request.send_json(registration).await;
        let answer = answer.map_err(|error| unavailable(error.to_string()))?;
        accepted(answer.status())
    }

    /// Marks an instance as leaving. It is idempotent.
    ///
    /// # Errors
    /// [`ListError::Unavailable`] if the list did not say that it took it.
    pub async fn leave(&self, id: &str) -> Result<(), Report<ListError>> {
        let url = format!("{}/{id}/leave", self.url);
        let answer = self.client.post(url).timeout(TIMEOUT).send().await;
        let answer = answer.map_err(|error| unavailable(error.to_string()))?;
        accepted(answer.status())
    }

    /// Reads the list again and again, `period` apart.
    pub fn poll(self, period: Duration, jitter: Jitter) -> ListPoller {
        let (sender, listing) = watch::channel(None);
        let backoff = Backoff::new(period, period.saturating_mul(8), jitter);
        let task = actix_rt::spawn(follow(self, period, backoff, sender));
        ListPoller { listing, task }
    }
}

/// A task that keeps the newest list. It ends when this value is dropped.
pub struct ListPoller {
    listing: watch::Receiver<Option<Arc<Listing>>>,
    task: JoinHandle<()>,
}

impl ListPoller {
    /// The newest list, `None` before the first. Each reading is told, also one that is the same.
    pub fn listing(&self) -> watch::Receiver<Option<Arc<Listing>>> {
        self.listing.clone()
    }
}

impl Drop for ListPoller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn follow(
    instances: InstanceListClient,
    period: Duration,
    mut backoff: Backoff,
    sender: watch::Sender<Option<Arc<Listing>>>,
) {
    while !sender.is_closed() {
        let pause = match instances.read().await {
            Ok(listing) => {
                backoff.reset();
                // Also one that did not change: whoever doubts a reading believes it only when it
                // is read again and again.
                sender.send_replace(Some(Arc::new(listing)));
                period
            }
            Err(report) => {
                log::debug!(error:? = report; "the instance list was not read");
                backoff.next(None)
            }
        };
        actix_rt::time::sleep(pause).await;
    }
}

fn accepted(status: StatusCode) -> Result<(), Report<ListError>> {
    if status.is_success() {
        return Ok(());
    }
    Err(unavailable(status.to_string()))
}

fn unavailable(detail: String) -> Report<ListError> {
    Report::new(ListError::Unavailable).attach(detail)
}
