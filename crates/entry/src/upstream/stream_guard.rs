//! Cancels a stream at its engine when nobody will read it.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderValue};
use bytes::Bytes;
use clock::{Clock as _, System};

use crate::process::pause_detector::PauseDetector;
use crate::process::phase::{Lifecycle, Phase};
use crate::upstream::client::{Call, Client};

/// Time that a cancellation may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to a cancellation, in bytes.
const ANSWER: usize = 64 << 10;

/// What a guard needs of the process.
#[derive(Clone, Debug)]
pub struct GuardContext {
    /// Client of this thread.
    pub client: Client,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Whether the process was paused.
    pub pause_detector: PauseDetector,
    /// Clock of the pulse.
    pub clock: System,
}

/// Cancels its stream when it is dropped, unless it was released.
#[derive(Debug)]
pub struct StreamGuard {
    context: GuardContext,
    address: SocketAddr,
    stream: String,
    request: HeaderValue,
    armed: bool,
}

impl StreamGuard {
    /// Guards a stream from the moment at which it is asked for.
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

    /// The stream ended, or somebody else is to resume it.
    pub fn disarm(&mut self) {
        self.armed = false;
    }

    /// Whether the caller's absence is to be believed. Not after a pause (see
    /// [`crate::process::pause_detector`]), and not when the process leaves open streams for other entries.
    fn is_due(&self) -> bool {
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
        if !self.is_due() {
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
                timeout: TIMEOUT,
            };
            if let Err(failure) = client.send_and_read(call, Bytes::new(), ANSWER).await {
                log::debug!(stream = target.as_str(), failure:% = failure; "a stream was not cancelled");
            }
        });
    }
}
