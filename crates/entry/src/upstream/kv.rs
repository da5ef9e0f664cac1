//! Transfers a KV cache between engines: the prefilling engine exports it and the decoding engine
//! fetches it.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::front::headers;
use crate::upstream::client::{Call, Client, header_map, number_value};
use crate::upstream::failure::Failure;

/// Largest answer to an export or import, in bytes. The cache itself does not pass through here.
const MAX_ANSWER: usize = 64 << 10;

/// A transfer between two engines.
#[derive(Debug)]
pub struct Transfer<'a> {
    /// Address of the prefilling engine.
    pub prefill: SocketAddr,
    /// Address of the decoding engine.
    pub decode: SocketAddr,
    /// Body of the completion, from which the engine reads the model and the prompt or messages.
    pub body: Bytes,
    /// Request id.
    pub request: &'a HeaderValue,
    /// Priority at both engines.
    pub priority: u8,
    /// Time until the caller's deadline.
    pub remaining: Duration,
}

#[derive(Serialize)]
struct Import<'a> {
    from: SocketAddr,
    handle: &'a str,
}

#[derive(Deserialize)]
struct Handle {
    handle: String,
}

/// The stage at which a transfer failed, which tells the engine at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Export from the prefilling engine.
    Export(Failure),
    /// Import at the decoding engine, or the connection between the engines.
    Import(Failure),
}

impl Transfer<'_> {
    /// Runs the transfer and returns the handle for the completion at the decoding engine.
    ///
    /// # Errors
    ///
    /// The stage that failed. The completion itself was not run, so a single engine can still run
    /// it.
    pub async fn run(&self, client: &Client) -> Result<HeaderValue, Stage> {
        let exported = self
            .call(client, self.prefill, "/engine/kv/export", self.body.clone())
            .await
            .map_err(Stage::Export)?;
        let import = Import {
            from: self.prefill,
            handle: &exported.handle,
        };
        let import = serde_json::to_vec(&import)
            .map_err(|error| Stage::Import(Failure::NotSent(error.to_string())))?;
        let imported = self
            .call(client, self.decode, "/engine/kv/import", import.into())
            .await
            .map_err(Stage::Import)?;
        HeaderValue::try_from(imported.handle)
            .map_err(|error| Stage::Import(Failure::Lost(error.to_string())))
    }

    async fn call(
        &self,
        client: &Client,
        address: SocketAddr,
        target: &str,
        body: Bytes,
    ) -> Result<Handle, Failure> {
        let call = Call {
            address,
            method: Method::POST,
            target,
            headers: self.headers(),
            request: self.request.clone(),
            timeout: self.remaining,
        };
        let (status, answer) = client.send_and_read(call, body, MAX_ANSWER).await?;
        if status != StatusCode::OK {
            return Err(Failure::Declined(status.as_u16()));
        }
        serde_json::from_slice(&answer).map_err(|error| Failure::Lost(error.to_string()))
    }

    fn headers(&self) -> HeaderMap {
        let left = u64::try_from(self.remaining.as_millis()).unwrap_or(u64::MAX);
        header_map([
            (
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            ),
            (headers::PRIORITY, number_value(u64::from(self.priority))),
            (headers::DEADLINE, number_value(left)),
        ])
    }
}
