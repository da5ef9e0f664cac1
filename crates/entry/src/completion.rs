//! Completions: from an OpenAI-compatible request to an engine and back, streamed or whole.

use actix_http::StatusCode;
use actix_http::header::HeaderValue;
use catalogue::Entry;
use routing::request::Request;
use serde::Deserialize;

use crate::completion_params::CompletionParams;
use crate::dispatcher::Attempt;
use crate::front::headers;
use crate::front::problem::{Kind, Problem};
use crate::front::reply::{Reply, caller_headers};
use crate::metrics::Metric;
use crate::proxied_request::ProxiedRequest;
use crate::stream::event_id::StreamLocation;
use crate::stream::relay::{Relay, StreamError, StreamSource};
use crate::stream::sse::Relayed;
use crate::upstream::client::{Answer, Call};
use crate::upstream::failure::Failure;
use crate::upstream::kv::{Stage, Transfer};
use crate::upstream::stream_guard::StreamGuard;

/// Runs an admitted completion over as many attempts as are allowed.
///
/// # Errors
///
/// The error for the caller.
pub async fn run(
    work: &mut ProxiedRequest,
    entry: &Entry,
    asked: &CompletionParams,
    mut attempt: Attempt,
) -> Result<Reply, Problem> {
    loop {
        work.begin_attempt(&attempt);
        let failed = match once(work, entry, asked, attempt).await {
            Ok(result) => return result,
            Err(failed) => failed,
        };
        attempt = work.retry(failed.attempt, &failed.failure).await?;
    }
}

/// An attempt that failed before the caller got any of the answer.
struct Failed {
    attempt: Attempt,
    failure: Failure,
}

/// What the router has to know of a completion.
pub fn request(work: &ProxiedRequest, entry: &Entry, asked: &CompletionParams) -> Request {
    let mut request = work.routing_request(entry);
    request.prompt_tokens = asked.prompt_tokens;
    request.output_tokens = asked.output_tokens;
    request.prefixes.clone_from(&asked.prefixes);
    request.streamed = asked.stream;
    // An answer whose first token comes after the objective is a bad one already; capacity is
    // better spent on those that can still be good.
    if let Some(first) = entry.contract.first_token {
        request.deadline = request.deadline.min(work.record.started() + first);
    }
    request
}

async fn once(
    work: &mut ProxiedRequest,
    entry: &Entry,
    asked: &CompletionParams,
    attempt: Attempt,
) -> Result<Result<Reply, Problem>, Failed> {
    let handle = transfer(work, &attempt).await;
    let place = StreamLocation {
        engine: attempt.assignment().upstream.to_string(),
        stream: work.worker.shared.id_generator.next_id(),
        entry: entry.name.clone(),
        request: work
            .attempt_header()
            .to_str()
            .unwrap_or_default()
            .to_owned(),
    };
    let result = match asked.stream {
        true => streamed(work, asked, place, &attempt, handle).await,
        false => whole(work, asked, &place, &attempt, handle).await,
    };
    if result.is_ok() {
        work.observe_answer(&attempt.assignment().upstream);
    }
    match result {
        Ok(Got::Whole(reply)) => Ok(Ok(reply)),
        Ok(Got::Events(relay, first)) => Ok(Ok(Reply::Events {
            relay,
            first,
            attempt: Some(attempt),
        })),
        Ok(Got::Wrong(problem)) => Ok(Err(work.with_execution(problem))),
        Err(failure) => Err(Failed { attempt, failure }),
    }
}

enum Got {
    Whole(Reply),
    Events(Box<Relay>, Relayed),
    Wrong(Problem),
}

async fn streamed(
    work: &mut ProxiedRequest,
    asked: &CompletionParams,
    place: StreamLocation,
    attempt: &Attempt,
    handle: Option<HeaderValue>,
) -> Result<Got, Failure> {
    let address = work.address(&place.engine)?;
    let origin = StreamSource {
        address,
        next_event: 0,
        owner: work.owner.to_string(),
        request: work.attempt_header(),
        deadline: work.deadline,
        prompt_bytes: asked.prompt_bytes,
        location: place,
    };
    let mut guard = guard(work, &origin);
    let answer = send(work, address, &origin.location.stream, attempt, handle).await?;
    let answer = match accepted(work, answer).await? {
        Accepted::Answer(answer) => answer,
        Accepted::Wrong(problem) => {
            guard.disarm();
            return Ok(Got::Wrong(problem));
        }
    };
    let mut relay = Box::new(Relay::new(work.worker.clone(), origin, Some(*answer)));
    guard.disarm();
    match relay.first_events().await {
        Ok(first) => {
            attempt.prefill_done();
            Ok(Got::Events(relay, first))
        }
        Err(StreamError::Deadline) => Err(Failure::TimedOut),
        Err(StreamError::Gone) => Err(Failure::Lost("the engine lost the stream".to_owned())),
        Err(StreamError::Unreachable(failure)) => Err(Failure::Lost(failure.to_string())),
    }
}

async fn whole(
    work: &mut ProxiedRequest,
    asked: &CompletionParams,
    place: &StreamLocation,
    attempt: &Attempt,
    handle: Option<HeaderValue>,
) -> Result<Got, Failure> {
    let address = work.address(&attempt.assignment().upstream)?;
    let mut guard = StreamGuard::new(
        work.worker.guard_context(),
        address,
        place.stream.clone(),
        work.attempt_header(),
    );
    let answer = send(work, address, &place.stream, attempt, handle).await?;
    let mut answer = match accepted(work, answer).await? {
        Accepted::Answer(answer) => answer,
        Accepted::Wrong(problem) => {
            guard.disarm();
            return Ok(Got::Wrong(problem));
        }
    };
    let limit = work.worker.shared.settings.limits.answer;
    let body = actix_rt::time::timeout(work.remaining(), answer.read_all(limit))
        .await
        .map_err(|_| Failure::TimedOut)??;
    guard.disarm();
    if let Some(usage) = count_tokens(work, attempt, &body) {
        let densities = &work.worker.shared.token_estimator;
        densities.record(&place.entry, asked.prompt_bytes, usage.prompt_tokens);
    }
    Ok(Got::Whole(Reply::Whole {
        status: answer.status(),
        headers: caller_headers(answer.headers()),
        body,
    }))
}

#[derive(Deserialize)]
struct Answered {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u32,
    completion_tokens: u32,
}

fn count_tokens(work: &mut ProxiedRequest, attempt: &Attempt, body: &[u8]) -> Option<Usage> {
    let answered: Answered = serde_json::from_slice(body).ok()?;
    let usage = answered.usage?;
    attempt.tokens_received(usage.completion_tokens);
    work.record.add_unstreamed_tokens(usage.completion_tokens);
    Some(usage)
}

fn guard(work: &ProxiedRequest, origin: &StreamSource) -> StreamGuard {
    StreamGuard::new(
        work.worker.guard_context(),
        origin.address,
        origin.location.stream.clone(),
        origin.request.clone(),
    )
}

async fn send(
    work: &ProxiedRequest,
    address: std::net::SocketAddr,
    stream: &str,
    attempt: &Attempt,
    handle: Option<HeaderValue>,
) -> Result<Answer, Failure> {
    let mut map = work.upstream_headers(attempt.assignment());
    if let Ok(stream) = HeaderValue::try_from(stream) {
        map.insert(headers::STREAM_ID, stream);
    }
    if let Some(handle) = handle {
        map.insert(headers::KV_HANDLE, handle);
    }
    let call = Call {
        address,
        method: work.method.clone(),
        target: &work.target,
        headers: map,
        request: work.attempt_header(),
        timeout: work.remaining(),
    };
    work.worker.client.send(call, work.body.clone()).await
}

/// Runs the KV transfer that the router asked for. If it fails, the answering engine prefills too,
/// which costs time and nothing else.
async fn transfer(work: &ProxiedRequest, attempt: &Attempt) -> Option<HeaderValue> {
    let prefill = attempt.assignment().prefill.clone()?;
    let result = try_transfer(work, attempt, &prefill).await;
    match result {
        Ok(handle) => {
            attempt.prefill_done();
            Some(handle)
        }
        Err(stage) => {
            log::info!(
                request_id = work.record.request().as_str(),
                upstream = &*prefill,
                stage:? = stage;
                "a KV transfer failed"
            );
            work.worker.shared.metrics.add(Metric::KvFallbacks, 1);
            attempt.transfer_failed();
            None
        }
    }
}

async fn try_transfer(
    work: &ProxiedRequest,
    attempt: &Attempt,
    prefill: &str,
) -> Result<HeaderValue, Stage> {
    let request = work.attempt_header();
    let transfer = Transfer {
        prefill: work.address(prefill).map_err(Stage::Export)?,
        decode: work
            .address(&attempt.assignment().upstream)
            .map_err(Stage::Import)?,
        body: work.body.clone(),
        request: &request,
        priority: attempt.assignment().priority,
        remaining: work.remaining(),
    };
    transfer.run(&work.worker.client).await
}

/// Largest error of an engine that is read, in bytes.
const ERROR_BODY: usize = 64 << 10;

#[derive(Deserialize)]
struct Declined {
    ran: String,
    error: Option<String>,
}

/// What an engine's answer means before its body.
enum Accepted {
    /// It answers the request.
    Answer(Box<Answer>),
    /// The request itself is wrong; no other engine would take it either.
    Wrong(Problem),
}

/// Tells an engine's answer from its refusals. "Not run" is believed only when the engine says so
/// itself and under the request's id; any other error may come from work that was begun.
async fn accepted(work: &ProxiedRequest, mut answer: Answer) -> Result<Accepted, Failure> {
    let status = answer.status();
    let matched = answer.is_matched(&work.attempt_header());
    if status == StatusCode::OK {
        return match matched {
            true => Ok(Accepted::Answer(Box::new(answer))),
            false => Err(Failure::Crossed),
        };
    }
    let body = answer.read_all(ERROR_BODY).await?;
    let declined: Option<Declined> = serde_json::from_slice(&body).ok();
    let Some(declined) = declined.filter(|declined| declined.ran == "no") else {
        return Err(Failure::Lost(format!("the engine answered {status}")));
    };
    let detail = declined.error.unwrap_or_default();
    match status {
        StatusCode::BAD_REQUEST => Ok(Accepted::Wrong(Problem::not_run(Kind::BadRequest, detail))),
        StatusCode::PAYLOAD_TOO_LARGE => {
            Ok(Accepted::Wrong(Problem::not_run(Kind::TooLarge, detail)))
        }
        _ if matched => Err(Failure::Declined(status.as_u16())),
        _ => Err(Failure::Lost(format!(
            "the engine declined with {status}, without the request's id"
        ))),
    }
}
