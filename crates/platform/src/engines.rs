//! Client of the engines' control API.

use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use bytes::Bytes;
use error_stack::Report;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::failure::is_unsent;
use crate::log::client;
use crate::{EngineError, EngineReport, EngineState, Order};

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The result of sending an order or a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The engine accepted it.
    Accepted,
    /// The engine has seen this newer fencing token.
    Superseded(u64),
    /// The engine is executing the order with this id.
    Busy(u64),
    /// No byte of it left this process.
    Unsent,
    /// The engine may or may not have accepted it.
    Unknown,
}

/// Calls the control API of any engine. Clones share connections.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
}

#[derive(Serialize)]
struct Cancel {
    order: u64,
    fence: u64,
}

#[derive(Deserialize)]
struct Conflict {
    fence: Option<u64>,
    order: Option<u64>,
}

impl EngineClient {
    /// Creates a client, which connects on first use. Must be called on the arbiter that uses it.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            client: client(connect_timeout),
        }
    }

    /// Reads the state of the engine at `address` (`ip:port`).
    ///
    /// # Errors
    /// [`EngineError`]; the state of the engine is unknown then.
    pub async fn state(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<EngineState, Report<EngineError>> {
        self.get(format!("http://{address}/engine/state"), timeout)
            .await
    }

    /// Reads the load report of the engine at `address` (`ip:port`).
    ///
    /// # Errors
    /// [`EngineError`]; the caller keeps using its previous report.
    pub async fn report(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<EngineReport, Report<EngineError>> {
        self.get(format!("http://{address}/engine/report"), timeout)
            .await
    }

    /// Sends an order. After `timeout` the request is aborted and no more of it is sent.
    pub async fn order(&self, address: &str, order: &Order, timeout: Duration) -> Receipt {
        let url = format!("http://{address}/engine/orders");
        self.post(url, order, timeout).await
    }

    /// Cancels an order, so that the engine does not start it from then on.
    pub async fn cancel(
        &self,
        address: &str,
        order: u64,
        fence: u64,
        timeout: Duration,
    ) -> Receipt {
        let url = format!("http://{address}/engine/cancel-order");
        self.post(url, &Cancel { order, fence }, timeout).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        url: String,
        timeout: Duration,
    ) -> Result<T, Report<EngineError>> {
        let response = self.client.get(url).timeout(timeout).send().await;
        let mut response = response.map_err(|error| unreachable(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(unreachable(response.status().to_string()));
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        serde_json::from_slice(&body)
            .map_err(|error| Report::new(EngineError::Malformed).attach(error.to_string()))
    }

    async fn post<T: Serialize>(&self, url: String, body: &T, timeout: Duration) -> Receipt {
        let request = self.client.post(url).timeout(timeout);
        let mut response = match request.send_json(body).await {
            Ok(response) => response,
            Err(error) if is_unsent(&error) => return Receipt::Unsent,
            Err(_) => return Receipt::Unknown,
        };
        let status = response.status();
        if status.is_success() {
            return Receipt::Accepted;
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        if status == StatusCode::CONFLICT {
            return conflict_receipt(&body.unwrap_or_default());
        }
        Receipt::Unknown
    }
}

fn conflict_receipt(body: &Bytes) -> Receipt {
    match serde_json::from_slice::<Conflict>(body) {
        Ok(Conflict {
            fence: Some(fence), ..
        }) => Receipt::Superseded(fence),
        Ok(Conflict {
            order: Some(order), ..
        }) => Receipt::Busy(order),
        _ => Receipt::Unknown,
    }
}

fn unreachable(detail: String) -> Report<EngineError> {
    Report::new(EngineError::Unreachable).attach(detail)
}
