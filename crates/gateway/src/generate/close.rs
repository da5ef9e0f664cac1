//! Streams that end with a connection.

use std::io;

use bytes::Bytes;
use serving::engine::Record;
use serving::health::Outcome;
use serving::reachability::Path;

use super::retry::NextStep;
use super::{Run, Stream};
use crate::attempt::EngineResponse;
use crate::engine_call::EngineCall;
use crate::{crash_detection, relay, suspects};

impl Run<'_> {
    /// Completes a stream without a length whose engine's connection closed after a whole event, unless the
    /// engine has crashed: its kernel closes the connection in the same way, and nothing in the stream tells.
    /// The caller has all events already; only the end waits for the verdict.
    pub(super) async fn after_close(
        &mut self,
        response: EngineResponse,
        rest: Bytes,
        mut engine_call: EngineCall<'_>,
        engine: &Record,
    ) -> NextStep {
        let (instance, request) = (self.instance, self.request);
        engine_call.set_outcome(Outcome::Success);
        // It no longer takes the engine's capacity.
        drop(engine_call);
        // The stream looks whole. An engine that ends at this moment runs other calls too, so this one is not blamed.
        let now = suspects::now(instance);
        let suspects = &instance.suspects;
        suspects.on_good_run(request, engine, now);
        suspects.on_parts_survived(request, engine, now);
        // A verdict that comes later than the caller's deadline is of no use.
        let limit = request.remaining() / 2;
        // Another instance's path says nothing to a probe from here.
        let is_direct = response.path == Path::Direct;
        if is_direct && crash_detection::has_crashed(instance, engine, limit).await {
            log::info!(id = request.call.id.as_str(), engine = &*engine.id, last:? = self.relay.last();
                "the engine has ended with its stream");
            self.avoid.push(engine.id.clone());
            return self.after_loss("The engine ended.");
        }
        match self.relay.complete(&response, rest).await {
            relay::End::Gone(error) => self.after_disconnect(&error),
            _ => NextStep::Done(Stream::Whole(self.relay.times())),
        }
    }

    pub(super) fn after_disconnect(&self, error: &io::Error) -> NextStep {
        log::debug!(id = self.request.call.id.as_str(), error:% = error; "the caller disconnected");
        NextStep::Done(Stream::Broken("the caller has gone"))
    }
}
