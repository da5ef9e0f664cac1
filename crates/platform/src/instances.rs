//! Client of the instance list.

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

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and changes the instance list. Clones share connections.
#[derive(Clone)]
pub struct InstanceListClient {
    client: Client,
    url: String,
}

impl InstanceListClient {
    /// Creates a client, which connects on first use. Must be called on the arbiter that uses it.
    pub fn new(options: &Options) -> Self {
        let base_url = options.base_url.trim_end_matches('/');
        Self {
            client: client(options.connect_timeout),
            url: format!("{base_url}/instances"),
        }
    }

    /// Reads the list once.
    ///
    /// # Errors
    /// [`ListError`]; the caller keeps using its previous list.
    pub async fn read(&self) -> Result<Listing, Report<ListError>> {
        let mut response = self
            .client
            .get(&self.url)
            .timeout(REQUEST_TIMEOUT)
            .send()
            .await
            .map_err(|error| unavailable(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(unavailable(response.status().to_string()));
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| unavailable(error.to_string()))?;
        let raw: RawListing = serde_json::from_slice(&body)
            .map_err(|error| Report::new(ListError::Malformed).attach(error.to_string()))?;
        Ok(raw.into())
    }

    /// Adds this process to the list. Idempotent.
    ///
    /// # Errors
    /// [`ListError::Unavailable`] if the list did not confirm it.
    pub async fn register(&self, registration: &Registration) -> Result<(), Report<ListError>> {
        let request = self.client.post(&self.url).timeout(REQUEST_TIMEOUT);
        let response = request.send_json(registration).await;
        let response = response.map_err(|error| unavailable(error.to_string()))?;
        check_success(response.status())
    }

    /// Marks an instance as leaving. Idempotent.
    ///
    /// # Errors
    /// [`ListError::Unavailable`] if the list did not confirm it.
    pub async fn leave(&self, id: &str) -> Result<(), Report<ListError>> {
        let url = format!("{}/{id}/leave", self.url);
        let response = self.client.post(url).timeout(REQUEST_TIMEOUT).send().await;
        let response = response.map_err(|error| unavailable(error.to_string()))?;
        check_success(response.status())
    }

    /// Reads the list every `period`, with longer delays after failures.
    pub fn poll(self, period: Duration, jitter: Jitter) -> ListPoller {
        let (sender, listing) = watch::channel(None);
        let backoff = Backoff::new(period, period.saturating_mul(8), jitter);
        let task = actix_rt::spawn(poll_list(self, period, backoff, sender));
        ListPoller { listing, task }
    }
}

/// A task that keeps the latest list. It ends when this value is dropped.
pub struct ListPoller {
    listing: watch::Receiver<Option<Arc<Listing>>>,
    task: JoinHandle<()>,
}

impl ListPoller {
    /// The latest list, `None` before the first read. Receivers are notified of each read, even
    /// if the list is unchanged.
    pub fn listing(&self) -> watch::Receiver<Option<Arc<Listing>>> {
        self.listing.clone()
    }
}

impl Drop for ListPoller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn poll_list(
    instances: InstanceListClient,
    period: Duration,
    mut backoff: Backoff,
    sender: watch::Sender<Option<Arc<Listing>>>,
) {
    while !sender.is_closed() {
        let delay = match instances.read().await {
            Ok(listing) => {
                backoff.reset();
                // Unchanged lists are sent as well: a reader that doubts a list accepts it only
                // after several identical reads.
                sender.send_replace(Some(Arc::new(listing)));
                period
            }
            Err(report) => {
                log::debug!(error:? = report; "cannot read the instance list");
                backoff.next(None)
            }
        };
        actix_rt::time::sleep(delay).await;
    }
}

fn check_success(status: StatusCode) -> Result<(), Report<ListError>> {
    if status.is_success() {
        return Ok(());
    }
    Err(unavailable(status.to_string()))
}

fn unavailable(detail: String) -> Report<ListError> {
    Report::new(ListError::Unavailable).attach(detail)
}
