//! Calls that may not be repeated run at most once, despite retries by callers, crashes of entries
//! and outages of the log. See [docs/design/at-most-once.md](../../../docs/design/at-most-once.md).
//!
//! Such a call runs in a task of its own, so that it completes and its answer is held even when the
//! caller's connection closes.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use catalogue::Entry;
use claims::{CallEnd, CallId, Decision, Executed, Holder};
use clock::Clock as _;
use control::Claim;

use crate::completion;
use crate::completion_params::CompletionParams;
use crate::dispatcher::Attempt;
use crate::front::problem::{self, Kind, Problem};
use crate::front::reply::Reply;
use crate::held_answers::{Answer, Lookup};
use crate::keys;
use crate::metrics::Metric;
use crate::plain;
use crate::proxied_request::ProxiedRequest;
use crate::request_record::RequestRecord;

/// `Retry-After` while an earlier attempt is in progress or the log is unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The result of a call, with its record still open.
#[derive(Debug)]
pub struct CallResult {
    /// The reply or the error.
    pub result: Result<Reply, Problem>,
    /// Record of the request.
    pub record: RequestRecord,
}

/// Runs a completion.
pub async fn completion(
    mut proxied: ProxiedRequest,
    entry: &Entry,
    params: CompletionParams,
) -> CallResult {
    count_demand(&proxied, entry, &params);
    if !entry.repeatable {
        return detached(proxied, entry.clone(), Some(params)).await;
    }
    let result = match proxied
        .admit(completion::request(&proxied, entry, &params))
        .await
    {
        Ok(attempt) => completion::run(&mut proxied, entry, &params, attempt).await,
        Err(refused) => Err(refused),
    };
    finish(proxied, result)
}

/// Counts the demand on the pool before admission: roles are planned for the offered load, not for
/// the load that the current roles admit.
fn count_demand(proxied: &ProxiedRequest, entry: &Entry, params: &CompletionParams) {
    let shared = &proxied.worker.shared;
    let pool = Arc::from(entry.pool.as_str());
    shared.control.record_demand(
        shared.clock.now(),
        &pool,
        params.prompt_tokens,
        params.output_tokens,
    );
}

/// Runs a call to a plain service.
pub async fn plain(mut proxied: ProxiedRequest, entry: &Entry) -> CallResult {
    if !entry.repeatable {
        return detached(proxied, entry.clone(), None).await;
    }
    let result = match proxied.admit(proxied.routing_request(entry)).await {
        Ok(attempt) => plain::run(&mut proxied, attempt, false).await,
        Err(refused) => Err(refused),
    };
    finish(proxied, result)
}

fn finish(proxied: ProxiedRequest, result: Result<Reply, Problem>) -> CallResult {
    CallResult {
        result,
        record: proxied.record,
    }
}

/// Runs a call in a task that outlives the caller's connection.
async fn detached(
    proxied: ProxiedRequest,
    entry: Entry,
    params: Option<CompletionParams>,
) -> CallResult {
    let shared = proxied.worker.shared.clone();
    let request = proxied.record.request().clone();
    let task_guard = shared.lifecycle.start_task();
    let task = actix_rt::spawn(async move {
        let _task_guard = task_guard;
        let mut proxied = proxied;
        let result = run_at_most_once(&mut proxied, &entry, params.as_ref()).await;
        finish(proxied, result)
    });
    task.await.unwrap_or_else(|_| CallResult {
        result: Err(Problem::unknown(
            Kind::BadGateway,
            "the call broke off inside the entry",
        )),
        record: RequestRecord::open(shared, request),
    })
}

async fn run_at_most_once(
    proxied: &mut ProxiedRequest,
    entry: &Entry,
    params: Option<&CompletionParams>,
) -> Result<Reply, Problem> {
    let Some(claim) = keys::claim(proxied, entry)? else {
        let attempt = admit(proxied, entry, params).await?;
        return run(proxied, entry, params, attempt).await;
    };
    if let Some(found) = local_answer(proxied, &claim) {
        return found;
    }
    // Refusals for load come before the claim, so that they need no append to the log. `ran` then
    // covers the key: this call did not run, but an earlier one may have.
    let attempt = admit(proxied, entry, params)
        .await
        .map_err(|refused| with_key_execution(refused, &claim))?;
    let claimed = proxied.worker.shared.control.claim(claim.clone()).await;
    match claimed.decision {
        Decision::Run { .. } | Decision::RunUnclaimed => {
            let call = ClaimedCall {
                claim: &claim,
                ticket: claimed.call_id,
            };
            run_claimed(proxied, entry, params, attempt, &call).await
        }
        decided => {
            drop(attempt);
            answer_repeat(proxied, &claim, decided).await
        }
    }
}

async fn admit(
    proxied: &mut ProxiedRequest,
    entry: &Entry,
    params: Option<&CompletionParams>,
) -> Result<Attempt, Problem> {
    let request = match params {
        Some(params) => completion::request(proxied, entry, params),
        None => proxied.routing_request(entry),
    };
    proxied.admit(request).await
}

async fn run(
    proxied: &mut ProxiedRequest,
    entry: &Entry,
    params: Option<&CompletionParams>,
    attempt: Attempt,
) -> Result<Reply, Problem> {
    match params {
        Some(params) => completion::run(proxied, entry, params, attempt).await,
        None => plain::run(proxied, attempt, true).await,
    }
}

/// A call whose key this process has claimed.
struct ClaimedCall<'a> {
    claim: &'a Claim,
    ticket: CallId,
}

/// Runs a call whose key this process has claimed, holds the answer and reports the outcome to the
/// control.
async fn run_claimed(
    proxied: &mut ProxiedRequest,
    entry: &Entry,
    params: Option<&CompletionParams>,
    attempt: Attempt,
    claimed: &ClaimedCall<'_>,
) -> Result<Reply, Problem> {
    let control = proxied.worker.shared.control.clone();
    // The process may have been paused since the decision. An attempt whose deadline has passed
    // must not start.
    if proxied.remaining().is_zero() {
        control.conclude(claimed.ticket, CallEnd::NotRun);
        return Err(Problem::not_run(
            Kind::DeadlineExceeded,
            "the deadline passed",
        ));
    }
    let result = run(proxied, entry, params, attempt).await;
    let end = match &result {
        Ok(reply) => {
            hold_answer(proxied, entry, claimed.claim, reply);
            CallEnd::Answered
        }
        Err(problem) if problem.ran == problem::Ran::No => CallEnd::NotRun,
        Err(_) => CallEnd::Unknown,
    };
    control.conclude(claimed.ticket, end);
    result
}

/// Answers a call whose key was claimed by an earlier call.
async fn answer_repeat(
    proxied: &mut ProxiedRequest,
    claim: &Claim,
    decided: Decision,
) -> Result<Reply, Problem> {
    match decided {
        Decision::Answered { holder, .. } => match holder_answer(proxied, claim, &holder).await {
            Some(answer) => Ok(replay(proxied, answer)),
            None => Err(Problem::unknown(
                Kind::Repeated,
                "the call was executed before, and its answer is held no more",
            )),
        },
        Decision::InProgress { holder, request } => {
            match holder_answer(proxied, claim, &holder).await {
                Some(answer) => Ok(replay(proxied, answer)),
                None => Err(Problem::unknown(
                    Kind::Repeated,
                    format!("the call was begun before as {request} and may have run"),
                )
                .retry_after(RETRY_AFTER)),
            }
        }
        Decision::Conflict => Err(key_reused()),
        Decision::AttemptRequired => Err(Problem::unknown(
            Kind::AttemptRequired,
            "calls of this entry need an Idempotency-Attempt",
        )),
        Decision::Refused { executed: ran } => {
            Err(
                keys::refusal(Kind::Unavailable, "the key could not be claimed", ran)
                    .retry_after(RETRY_AFTER),
            )
        }
        Decision::Run { .. } | Decision::RunUnclaimed => Err(Problem::unknown(
            Kind::Unavailable,
            "the call was not begun",
        )),
    }
}

fn key_reused() -> Problem {
    Problem::unknown(
        Kind::KeyReused,
        "the Idempotency-Key was used for another request",
    )
}

/// The answer for a key that this process holds an answer for.
fn local_answer(proxied: &ProxiedRequest, claim: &Claim) -> Option<Result<Reply, Problem>> {
    let shared = &proxied.worker.shared;
    let now = shared.clock.now();
    let held = shared
        .held_answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let found = held.get(now, &claim.key, Some(&claim.fingerprint))?;
    drop(held);
    Some(match found {
        Lookup::Answer(answer) => Ok(replay(proxied, answer)),
        Lookup::OtherRequest => Err(key_reused()),
    })
}

async fn holder_answer(proxied: &ProxiedRequest, claim: &Claim, holder: &Holder) -> Option<Answer> {
    let shared = &proxied.worker.shared;
    if holder.instance == shared.settings.instance.id {
        let now = shared.clock.now();
        let held = shared
            .held_answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        return match held.get(now, &claim.key, Some(&claim.fingerprint)) {
            Some(Lookup::Answer(answer)) => Some(answer),
            _ => None,
        };
    }
    let answer = shared.control.held_answer(&holder.instance, claim.key);
    answer
        .await
        .and_then(|answer| Answer::try_from(answer).ok())
}

fn replay(proxied: &ProxiedRequest, answer: Answer) -> Reply {
    proxied.worker.shared.metrics.add(Metric::Repeats, 1);
    let mut map = HeaderMap::with_capacity(answer.headers.len());
    for (name, value) in &answer.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    Reply::Whole {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers: map,
        body: answer.body,
    }
}

fn hold_answer(proxied: &ProxiedRequest, entry: &Entry, claim: &Claim, reply: &Reply) {
    let Reply::Whole {
        status,
        headers,
        body,
    } = reply
    else {
        return;
    };
    let shared = &proxied.worker.shared;
    let answer = Answer {
        status: status.as_u16(),
        headers: headers
            .iter()
            .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
            .collect(),
        body: body.clone(),
    };
    let time = entry.hold_answer.min(shared.settings.hold.time);
    let now = shared.clock.now();
    let mut held = shared
        .held_answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    held.insert(now, time, claim.key, claim.fingerprint, answer);
}

fn with_key_execution(refused: Problem, claim: &Claim) -> Problem {
    Problem {
        ran: match keys::execution_before_claim(claim) {
            Executed::No => refused.ran,
            Executed::Unknown => problem::Ran::Unknown,
        },
        ..refused
    }
}
