//! The control calls of engines.

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

/// Largest answer that is taken in, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// What became of an order or a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The engine took it.
    Accepted,
    /// The engine has seen this newer fencing token.
    Superseded(u64),
    /// The engine is carrying out this other order.
    Busy(u64),
    /// It certainly did not leave this process.
    Unsent,
    /// Nothing is known.
    Unknown,
}

/// A client of all engines. Clones share connections.
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
    /// A client that connects when first used. Call it on the arbiter that uses it.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            client: client(connect_timeout),
        }
    }

    /// Reads the state of the engine at `address` (`ip:port`).
    ///
    /// # Errors
    /// [`EngineError`]; nothing is known of the engine then.
    pub async fn state(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<EngineState, Report<EngineError>> {
        self.get(format!("http://{address}/engine/state"), timeout)
            .await
    }

    /// Reads the load report of the engine.
    ///
    /// # Errors
    /// [`EngineError`]; the caller goes on with the report that it had.
    pub async fn report(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<EngineReport, Report<EngineError>> {
        self.get(format!("http://{address}/engine/report"), timeout)
            .await
    }

    /// Sends an order. After `timeout` nothing more of it is sent.
    pub async fn order(&self, address: &str, order: &Order, timeout: Duration) -> Receipt {
        let url = format!("http://{address}/engine/orders");
        self.post(url, order, timeout).await
    }

    /// Tells the engine that an order must not begin any more.
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
        let answer = self.client.get(url).timeout(timeout).send().await;
        let mut answer = answer.map_err(|error| unreachable(error.to_string()))?;
        if answer.status() != StatusCode::OK {
            return Err(unreachable(answer.status().to_string()));
        }
        let body = answer.body().limit(MAX_ANSWER).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        serde_json::from_slice(&body)
            .map_err(|error| Report::new(EngineError::Malformed).attach(error.to_string()))
    }

    async fn post<T: Serialize>(&self, url: String, body: &T, timeout: Duration) -> Receipt {
        let request = self.client.post(url).timeout(timeout);
        let mut answer = match request.send_json(body).await {
            Ok(answer) => answer,
            Err(error) if is_unsent(&error) => return Receipt::Unsent,
            Err(_) => return Receipt::Unknown,
        };
        let status = answer.status();
        if status.is_success() {
            return Receipt::Accepted;
        }
        let body = answer.body().limit(MAX_ANSWER).await;
        if status == StatusCode::CONFLICT {
            return conflict(&body.unwrap_or_default());
        }
        Receipt::Unknown
    }
}

fn conflict(body: &Bytes) -> Receipt {
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
