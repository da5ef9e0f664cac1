//! What the outcome of an attempt means: for the call, its engine, the instances that were asked to send
//! it, and the connection that it used.

use std::net::SocketAddr;

use adapter::upstream::Reply;
use http1::{Client, Failure, Framing};
use serving::EngineId;
use serving::engine::Record;
use serving::forwarders::ForwardResult;
use serving::health::Outcome;
use serving::usage::UnixTime;

use crate::attempt::{EngineResponse, MAX_BODY_BYTES, Request};
use crate::forward::{self, Forwarded, NotForwarded};
use crate::instance::Instance;
use crate::metrics::ForwardAnswer;

/// Result of one attempt.
pub(crate) enum AttemptResult {
    /// A response to this request, read up to its head.
    Answer(Box<EngineResponse>),
    /// The engine certainly did not run it.
    NotRun(NotRun),
    /// It may have run.
    Lost(Failure),
}

/// Why an engine did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No engine received the request.
    Unreachable,
    /// No instance that was asked reaches the engine, nor does this one reach any, so that it says
    /// nothing of the engine.
    Unsent,
    /// Neither this instance nor the others reach any engine.
    NoPath,
    /// The engine refused for lack of capacity.
    Full,
    /// The engine has ended, and another one listens at its address.
    Ended,
}

impl NotRun {
    /// Whether some engine received the request; the retry budget counts only these.
    pub(crate) fn reached_engine(self) -> bool {
        matches!(self, Self::Full | Self::Ended)
    }

    /// What it says about the engine's health.
    pub(crate) fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Unreachable => Some(Outcome::Unreachable),
            Self::Unsent | Self::NoPath => None,
            Self::Full => Some(Outcome::Overloaded),
            Self::Ended => Some(Outcome::Ended),
        }
    }
}

/// Engines that may refuse one call before it is refused; each refusal costs a retry.
const MAX_REFUSALS: u32 = 2;
/// Engines that one call may fail to reach before it is refused. When part of the fleet ends at
/// once, every call meets several of them within milliseconds, while the rest is healthy.
const MAX_UNREACHED: u32 = 8;

/// Sends of one call that no engine ran.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailedSends {
    refused: u32,
    unreached: u32,
}

impl FailedSends {
    /// Counts a failed send. Returns whether another engine may be tried.
    pub(crate) fn count(&mut self, arrived: bool) -> bool {
        if arrived {
            self.refused += 1;
        } else {
            self.unreached += 1;
        }
        self.refused <= MAX_REFUSALS && self.unreached <= MAX_UNREACHED
    }
}

/// Lets the call go on to the next engine where no instance reaches this one but trying costs no time:
/// it may be that just some engines have ended.
pub(crate) fn without_path(
    instance: &Instance,
    engine: &Record,
    result: AttemptResult,
) -> AttemptResult {
    match result {
        AttemptResult::NotRun(NotRun::NoPath)
            if instance.links.state().fails_at_once(&engine.service) =>
        {
            AttemptResult::NotRun(NotRun::Unreachable)
        }
        result => result,
    }
}

pub(crate) fn forward_result(forwarded: &Forwarded) -> ForwardResult {
    match forwarded {
        Forwarded::Response(_) => ForwardResult::Sent,
        Forwarded::Declined(NotForwarded::Isolated) => ForwardResult::Isolated,
        Forwarded::Declined(NotForwarded::Unreachable) => ForwardResult::EngineUnreachable,
        // The instance closes the connection if the engine gives it no answer. If the instance has
        // ended itself, the next connection to it will fail.
        Forwarded::Declined(NotForwarded::Unavailable)
        | Forwarded::Lost(Failure::Closed | Failure::Broken(_)) => ForwardResult::EngineUnavailable,
        Forwarded::Declined(NotForwarded::Busy) => ForwardResult::Busy,
        Forwarded::Silent(failure) if !forward::is_timeout(failure) => ForwardResult::Busy,
        Forwarded::Silent(_) | Forwarded::Lost(Failure::NotSent(_) | Failure::NoResponse(_)) => {
            ForwardResult::Failed
        }
    }
}

pub(crate) fn log_forwarded(
    instance: &Instance,
    request: &Request,
    engine: &Record,
    peer: SocketAddr,
    forwarded: &Forwarded,
) {
    let (answer, why) = match forwarded {
        Forwarded::Response(_) => (ForwardAnswer::Sent, ""),
        Forwarded::Declined(why) => (ForwardAnswer::Declined, why.name()),
        Forwarded::Silent(failure) => (ForwardAnswer::Silent, failure.name()),
        Forwarded::Lost(failure) => (ForwardAnswer::Lost, failure.name()),
    };
    instance.metrics.forward_requested(answer);
    log::info!(
        id = request.call.id.as_str(), engine = &*engine.id, instance:% = peer, answer:? = answer, why = why;
        "forwarded"
    );
}

/// What an exchange means for the call.
pub(crate) async fn conclude(
    instance: &Instance,
    request: &Request,
    engine: &Record,
    sent: UnixTime,
    exchanged: Result<EngineResponse, Failure>,
) -> AttemptResult {
    // Engines begin plain calls on receipt, and streams with the first event.
    let is_plain = !request.route.kind.is_stream();
    match exchanged {
        Ok(response) if response.reply.was_not_run() => {
            log_refusal(instance, request, engine, &response.reply);
            let ended = response.reply.is_misdirected();
            drain_and_keep(instance, engine, response).await;
            AttemptResult::NotRun(if ended { NotRun::Ended } else { NotRun::Full })
        }
        Ok(response) => {
            if is_plain {
                request.count_once_in_organisation_usage(instance, sent);
            }
            request.is_trial.set(false);
            AttemptResult::Answer(Box::new(response))
        }
        Err(failure) if failure.not_sent() => AttemptResult::NotRun(NotRun::Unreachable),
        Err(failure) => {
            // It may have run, and usually has.
            if is_plain {
                request.count_once_in_organisation_usage(instance, sent);
            }
            request.is_trial.set(false);
            AttemptResult::Lost(failure)
        }
    }
}

fn log_refusal(instance: &Instance, request: &Request, engine: &Record, reply: &Reply) {
    instance.metrics.engine_refused(reply.retry_after.is_some());
    log::info!(
        id = request.call.id.as_str(), engine = &*engine.id, status = reply.status,
        pause_ms:% = reply.retry_after.unwrap_or_default().as_millis(), leaving = reply.leaving;
        "the engine turned the call away"
    );
}

/// Reads a response that is not passed on, so that its connection can be reused.
async fn drain_and_keep(instance: &Instance, engine: &Record, mut response: EngineResponse) {
    if response.framing != Framing::UntilClose && response.client.body(MAX_BODY_BYTES).await.is_ok()
    {
        return_to_pool(instance, &engine.id, response.client, &response.reply);
    }
}

/// Returns a connection to the pool.
pub(crate) fn return_to_pool(
    instance: &Instance,
    engine: &EngineId,
    client: Client,
    reply: &Reply,
) {
    let now = instance.now();
    if instance.peers.borrow().is_instance(client.peer()) {
        instance.links.peers.put(client, now);
    } else {
        // The body was read to its end just now.
        let fleet = instance.fleet.borrow();
        if let Some(known) = fleet.get(engine) {
            instance.links.on_received(&known.record.service, now);
        }
        instance.pool.put(engine, client, reply.keep_alive, now);
    }
}
