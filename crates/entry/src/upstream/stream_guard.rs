//! Cancels a stream at its engine when its caller has disconnected.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderValue};
use bytes::Bytes;
use clock::{Clock as _, System};

use crate::process::pause_detector::PauseDetector;
use crate::process::phase::{Lifecycle, Phase};
use crate::upstream::client::{Call, Client};

/// Time limit of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to a cancellation, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// Shared state that a guard needs.
#[derive(Clone, Debug)]
pub struct GuardContext {
    /// Client of this thread.
    pub client: Client,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Detects pauses of the process.
    pub pause_detector: PauseDetector,
    /// Clock of the pause detector.
    pub clock: System,
}

/// Cancels its stream when dropped, unless disarmed.
#[derive(Debug)]
pub struct StreamGuard {
    context: GuardContext,
    address: SocketAddr,
    stream: String,
    request: HeaderValue,
    armed: bool,
}

impl StreamGuard {
    /// Creates an armed guard; to be called before the stream is requested.
    pub fn new(
        context: GuardContext,
        address: SocketAddr,
        stream: String,
        request: HeaderValue,
    ) -> Self {
        Self {
            context,
            address,
            stream,
            request,
            armed: true,
        }
    }

    /// Disarms the guard, because the stream has ended or another guard covers it.
    pub fn disarm(&mut self) {
        self.armed = false;
    }

    /// Whether the stream should be cancelled. Not after a pause of the process, when the caller
    /// may have resumed the stream elsewhere (see [`crate::process::pause_detector`]), and not when
    /// the process leaves open streams to other entries.
    fn should_cancel(&self) -> bool {
        self.armed
            && self.context.lifecycle.phase() < Phase::Abandoning
            && self
                .context
                .pause_detector
                .has_no_recent_pause(self.context.clock.now())
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if !self.should_cancel() {
            return;
        }
        log::debug!(stream = self.stream.as_str(); "cancelling a stream");
        let client = self.context.client.clone();
        let target = format!("/engine/streams/{}", self.stream);
        let (address, request) = (self.address, self.request.clone());
        actix_rt::spawn(async move {
            let call = Call {
                address,
                method: Method::DELETE,
                target: &target,
                headers: HeaderMap::new(),
                request,
                timeout: CANCEL_TIMEOUT,
            };
            if let Err(failure) = client.send_and_read(call, Bytes::new(), MAX_ANSWER).await {
                log::debug!(stream = target.as_str(), failure:% = failure; "a stream was not cancelled");
            }
        });
    }
}
