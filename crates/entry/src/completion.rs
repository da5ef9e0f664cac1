//! OpenAI-compatible completions: sends a request to an engine and returns its answer, streamed or
//! whole.

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
use crate::stream::relay::{Error, Relay, StreamSource};
use crate::stream::sse::Relayed;
use crate::upstream::client::{Answer, Call};
use crate::upstream::failure::Failure;
use crate::upstream::kv::{Stage, Transfer};
use crate::upstream::stream_guard::StreamGuard;

/// Runs an admitted completion, retrying as often as the router allows.
///
/// # Errors
///
/// The error for the caller.
pub async fn run(
    proxied: &mut ProxiedRequest,
    entry: &Entry,
    params: &CompletionParams,
    mut attempt: Attempt,
) -> Result<Reply, Problem> {
    loop {
        proxied.begin_attempt(&attempt);
        let failed = match try_once(proxied, entry, params, attempt).await {
            Ok(result) => return result,
            Err(failed) => failed,
        };
        attempt = proxied.retry(failed.attempt, &failed.failure).await?;
    }
}

/// An attempt that failed before any part of the answer was sent to the caller.
struct FailedAttempt {
    attempt: Attempt,
    failure: Failure,
}

/// The routing request for a completion.
pub fn request(proxied: &ProxiedRequest, entry: &Entry, params: &CompletionParams) -> Request {
    let mut request = proxied.routing_request(entry);
    request.prompt_tokens = params.prompt_tokens;
    request.output_tokens = params.output_tokens;
    request.prefixes.clone_from(&params.prefixes);
    request.streamed = params.stream;
    // An answer whose first token misses its objective counts as late in any case; capacity goes
    // to requests that can still meet theirs.
    if let Some(first) = entry.contract.first_token {
        request.deadline = request.deadline.min(proxied.record.started() + first);
    }
    request
}

async fn try_once(
    proxied: &mut ProxiedRequest,
    entry: &Entry,
    params: &CompletionParams,
    attempt: Attempt,
) -> Result<Result<Reply, Problem>, FailedAttempt> {
    let handle = transfer(proxied, &attempt).await;
    let location = StreamLocation {
        engine: attempt.assignment().upstream.to_string(),
        stream: proxied.worker.shared.id_generator.next_id(),
        entry: entry.name.clone(),
        request: proxied
            .attempt_header()
            .to_str()
            .unwrap_or_default()
            .to_owned(),
    };
    let result = match params.stream {
        true => streamed(proxied, params, location, &attempt, handle).await,
        false => whole(proxied, params, &location, &attempt, handle).await,
    };
    if result.is_ok() {
        proxied.observe_answer(&attempt.assignment().upstream);
    }
    match result {
        Ok(EngineAnswer::Whole(reply)) => Ok(Ok(reply)),
        Ok(EngineAnswer::Events(relay, first)) => Ok(Ok(Reply::Events {
            relay,
            first,
            attempt: Some(attempt),
        })),
        Ok(EngineAnswer::Invalid(problem)) => Ok(Err(proxied.with_execution(problem))),
        Err(failure) => Err(FailedAttempt { attempt, failure }),
    }
}

enum EngineAnswer {
    Whole(Reply),
    Events(Box<Relay>, Relayed),
    Invalid(Problem),
}

async fn streamed(
    proxied: &mut ProxiedRequest,
    params: &CompletionParams,
    location: StreamLocation,
    attempt: &Attempt,
    handle: Option<HeaderValue>,
) -> Result<EngineAnswer, Failure> {
    let address = proxied.address(&location.engine)?;
    let source = StreamSource {
        address,
        next_event: 0,
        owner: proxied.owner.to_string(),
        request: proxied.attempt_header(),
        deadline: proxied.deadline,
        prompt_bytes: params.prompt_bytes,
        location,
    };
    let mut guard = stream_guard(proxied, &source);
    let answer = send(proxied, address, &source.location.stream, attempt, handle).await?;
    let answer = match check_head(proxied, answer).await? {
        HeadResult::Answer(answer) => answer,
        HeadResult::Invalid(problem) => {
            guard.disarm();
            return Ok(EngineAnswer::Invalid(problem));
        }
    };
    let mut relay = Box::new(Relay::new(proxied.worker.clone(), source, Some(*answer)));
    guard.disarm();
    match relay.first_events().await {
        Ok(first) => {
            attempt.prefill_done();
            Ok(EngineAnswer::Events(relay, first))
        }
        Err(Error::Deadline) => Err(Failure::TimedOut),
        Err(Error::Gone) => Err(Failure::Lost("the engine lost the stream".to_owned())),
        Err(Error::Unreachable(failure)) => Err(Failure::Lost(failure.to_string())),
    }
}

async fn whole(
    proxied: &mut ProxiedRequest,
    params: &CompletionParams,
    location: &StreamLocation,
    attempt: &Attempt,
    handle: Option<HeaderValue>,
) -> Result<EngineAnswer, Failure> {
    let address = proxied.address(&attempt.assignment().upstream)?;
    let mut guard = StreamGuard::new(
        proxied.worker.guard_context(),
        address,
        location.stream.clone(),
        proxied.attempt_header(),
    );
    let answer = send(proxied, address, &location.stream, attempt, handle).await?;
    let mut answer = match check_head(proxied, answer).await? {
        HeadResult::Answer(answer) => answer,
        HeadResult::Invalid(problem) => {
            guard.disarm();
            return Ok(EngineAnswer::Invalid(problem));
        }
    };
    let limit = proxied.worker.shared.settings.limits.answer;
    let memory = proxied.worker.shared.memory.clone();
    let read = answer.read_whole(limit, &memory);
    let body = actix_rt::time::timeout(proxied.remaining(), read)
        .await
        .map_err(|_| Failure::TimedOut)??;
    guard.disarm();
    if let Some(usage) = count_tokens(proxied, attempt, &body) {
        let estimator = &proxied.worker.shared.token_estimator;
        estimator.record(&location.entry, params.prompt_bytes, usage.prompt_tokens);
    }
    Ok(EngineAnswer::Whole(Reply::Whole {
        status: answer.status(),
        headers: caller_headers(answer.headers()),
        body,
    }))
}

#[derive(Deserialize)]
struct CompletionBody {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u32,
    completion_tokens: u32,
}

fn count_tokens(proxied: &mut ProxiedRequest, attempt: &Attempt, body: &[u8]) -> Option<Usage> {
    let body_json: CompletionBody = serde_json::from_slice(body).ok()?;
    let usage = body_json.usage?;
    attempt.tokens_received(usage.completion_tokens);
    proxied
        .record
        .add_unstreamed_tokens(usage.completion_tokens);
    Some(usage)
}

fn stream_guard(proxied: &ProxiedRequest, source: &StreamSource) -> StreamGuard {
    StreamGuard::new(
        proxied.worker.guard_context(),
        source.address,
        source.location.stream.clone(),
        source.request.clone(),
    )
}

async fn send(
    proxied: &ProxiedRequest,
    address: std::net::SocketAddr,
    stream: &str,
    attempt: &Attempt,
    handle: Option<HeaderValue>,
) -> Result<Answer, Failure> {
    let mut map = proxied.upstream_headers(attempt.assignment());
    if let Ok(stream) = HeaderValue::try_from(stream) {
        map.insert(headers::STREAM_ID, stream);
    }
    if let Some(handle) = handle {
        map.insert(headers::KV_HANDLE, handle);
    }
    let call = Call {
        address,
        method: proxied.method.clone(),
        target: &proxied.target,
        headers: map,
        request: proxied.attempt_header(),
        timeout: proxied.remaining(),
    };
    proxied.worker.client.send(call, proxied.body.clone()).await
}

/// Runs the KV transfer that the router asked for. If it fails, the decoding engine prefills as
/// well, which only costs time.
async fn transfer(proxied: &ProxiedRequest, attempt: &Attempt) -> Option<HeaderValue> {
    let prefill = attempt.assignment().prefill.clone()?;
    let result = try_transfer(proxied, attempt, &prefill).await;
    match result {
        Ok(handle) => {
            attempt.prefill_done();
            Some(handle)
        }
        Err(stage) => {
            log::info!(
                request_id = proxied.record.request().as_str(),
                upstream = &*prefill,
                stage:? = stage;
                "a KV transfer failed"
            );
            proxied.worker.shared.metrics.add(Metric::KvFallbacks, 1);
            attempt.transfer_failed();
            None
        }
    }
}

async fn try_transfer(
    proxied: &ProxiedRequest,
    attempt: &Attempt,
    prefill: &str,
) -> Result<HeaderValue, Stage> {
    let request = proxied.attempt_header();
    let transfer = Transfer {
        prefill: proxied.address(prefill).map_err(Stage::Export)?,
        decode: proxied
            .address(&attempt.assignment().upstream)
            .map_err(Stage::Import)?,
        body: proxied.body.clone(),
        request: &request,
        priority: attempt.assignment().priority,
        remaining: proxied.remaining(),
    };
    transfer.run(&proxied.worker.client).await
}

/// Largest error body that is read from an engine, in bytes.
const MAX_ERROR_BODY: usize = 64 << 10;

#[derive(Deserialize)]
struct EngineError {
    ran: String,
    error: Option<String>,
}

/// The meaning of an engine's answer, judged by its head.
enum HeadResult {
    /// The engine runs the request.
    Answer(Box<Answer>),
    /// The request is invalid; every engine would reject it.
    Invalid(Problem),
}

/// Distinguishes answers from refusals. A call counts as not run only when the engine itself says
/// so and echoes the request's id; any other error may come after work has started.
async fn check_head(proxied: &ProxiedRequest, mut answer: Answer) -> Result<HeadResult, Failure> {
    let status = answer.status();
    let matched = answer.is_matched(&proxied.attempt_header());
    if status == StatusCode::OK {
        return match matched {
            true => Ok(HeadResult::Answer(Box::new(answer))),
            false => Err(Failure::Crossed),
        };
    }
    let body = answer.read_all(MAX_ERROR_BODY).await?;
    let engine_error: Option<EngineError> = serde_json::from_slice(&body).ok();
    let Some(engine_error) = engine_error.filter(|error| error.ran == "no") else {
        return Err(Failure::Lost(format!("the engine answered {status}")));
    };
    let detail = engine_error.error.unwrap_or_default();
    match status {
        StatusCode::BAD_REQUEST => Ok(HeadResult::Invalid(Problem::not_run(
            Kind::BadRequest,
            detail,
        ))),
        StatusCode::PAYLOAD_TOO_LARGE => Ok(HeadResult::Invalid(Problem::not_run(
            Kind::TooLarge,
            detail,
        ))),
        _ if matched => Err(Failure::Declined(status.as_u16())),
        _ => Err(Failure::Lost(format!(
            "the engine declined with {status}, without the request's id"
        ))),
    }
}
