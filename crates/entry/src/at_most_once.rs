//! Calls that may not be repeated: one execution at most, whatever callers, entries and the log do.
//! See [docs/design/at-most-once.md](../../../docs/design/at-most-once.md).
//!
//! Such a call runs in a task of its own, so that it comes to its end and its answer is held when
//! the caller's connection is gone.

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

/// When to come back if an earlier attempt is still in progress, or the log is out.
const COME_BACK: Duration = Duration::from_secs(1);

/// How a request ended, with its account still open.
#[derive(Debug)]
pub struct CallResult {
    /// The reply or the error.
    pub result: Result<Reply, Problem>,
    /// The account.
    pub record: RequestRecord,
}

/// Runs a completion.
pub async fn completion(
    mut work: ProxiedRequest,
    entry: &Entry,
    asked: CompletionParams,
) -> CallResult {
    count_demand(&work, entry, &asked);
    if !entry.repeatable {
        return detached(work, entry.clone(), Some(asked)).await;
    }
    let result = match work.admit(completion::request(&work, entry, &asked)).await {
        Ok(attempt) => completion::run(&mut work, entry, &asked, attempt).await,
        Err(refused) => Err(refused),
    };
    ended(work, result)
}

/// Counts what the caller asks of the pool, before it is known whether it is admitted: roles are
/// planned for the work that is wanted and not for the work that they let in.
fn count_demand(work: &ProxiedRequest, entry: &Entry, asked: &CompletionParams) {
    let shared = &work.worker.shared;
    let pool = Arc::from(entry.pool.as_str());
    shared.control.record_demand(
        shared.clock.now(),
        &pool,
        asked.prompt_tokens,
        asked.output_tokens,
    );
}

/// Runs a call to a plain service.
pub async fn plain(mut work: ProxiedRequest, entry: &Entry) -> CallResult {
    if !entry.repeatable {
        return detached(work, entry.clone(), None).await;
    }
    let result = match work.admit(work.routing_request(entry)).await {
        Ok(attempt) => plain::run(&mut work, attempt, false).await,
        Err(refused) => Err(refused),
    };
    ended(work, result)
}

fn ended(work: ProxiedRequest, result: Result<Reply, Problem>) -> CallResult {
    CallResult {
        result,
        record: work.record,
    }
}

/// Runs a call in a task that its caller's connection does not take along.
async fn detached(
    work: ProxiedRequest,
    entry: Entry,
    asked: Option<CompletionParams>,
) -> CallResult {
    let shared = work.worker.shared.clone();
    let request = work.record.request().clone();
    let counted = shared.lifecycle.start_task();
    let task = actix_rt::spawn(async move {
        let _counted = counted;
        let mut work = work;
        let result = once(&mut work, &entry, asked.as_ref()).await;
        ended(work, result)
    });
    task.await.unwrap_or_else(|_| CallResult {
        result: Err(Problem::unknown(
            Kind::BadGateway,
            "the call broke off inside the entry",
        )),
        record: RequestRecord::open(shared, request),
    })
}

async fn once(
    work: &mut ProxiedRequest,
    entry: &Entry,
    asked: Option<&CompletionParams>,
) -> Result<Reply, Problem> {
    let Some(claim) = keys::claim(work, entry)? else {
        let attempt = admit(work, entry, asked).await?;
        return run(work, entry, asked, attempt).await;
    };
    if let Some(found) = held_here(work, &claim) {
        return found;
    }
    // Refusals for load come before the claim, so that they cost the log nothing. They speak of the
    // key: this call did not run, but one before it may have.
    let attempt = admit(work, entry, asked)
        .await
        .map_err(|refused| speaking_of_the_key(refused, &claim))?;
    let claimed = work.worker.shared.control.claim(claim.clone()).await;
    match claimed.decision {
        Decision::Run { .. } | Decision::RunUnclaimed => {
            let own = Own {
                claim: &claim,
                ticket: claimed.call_id,
            };
            run_claimed(work, entry, asked, attempt, &own).await
        }
        decided => {
            drop(attempt);
            repeated(work, &claim, decided).await
        }
    }
}

async fn admit(
    work: &mut ProxiedRequest,
    entry: &Entry,
    asked: Option<&CompletionParams>,
) -> Result<Attempt, Problem> {
    let request = match asked {
        Some(asked) => completion::request(work, entry, asked),
        None => work.routing_request(entry),
    };
    work.admit(request).await
}

async fn run(
    work: &mut ProxiedRequest,
    entry: &Entry,
    asked: Option<&CompletionParams>,
    attempt: Attempt,
) -> Result<Reply, Problem> {
    match asked {
        Some(asked) => completion::run(work, entry, asked, attempt).await,
        None => plain::run(work, attempt, true).await,
    }
}

/// A key that is claimed for a call of this process.
struct Own<'a> {
    claim: &'a Claim,
    ticket: CallId,
}

/// Runs a call whose key is ours, holds its answer and tells how it ended.
async fn run_claimed(
    work: &mut ProxiedRequest,
    entry: &Entry,
    asked: Option<&CompletionParams>,
    attempt: Attempt,
    own: &Own<'_>,
) -> Result<Reply, Problem> {
    let control = work.worker.shared.control.clone();
    // The process may have been paused since the decision; an attempt that the caller has given up
    // must not begin now.
    if work.remaining().is_zero() {
        control.conclude(own.ticket, CallEnd::NotRun);
        return Err(Problem::not_run(
            Kind::DeadlineExceeded,
            "the deadline passed",
        ));
    }
    let result = run(work, entry, asked, attempt).await;
    let end = match &result {
        Ok(reply) => {
            hold(work, entry, own.claim, reply);
            CallEnd::Answered
        }
        Err(problem) if problem.ran == problem::Ran::No => CallEnd::NotRun,
        Err(_) => CallEnd::Unknown,
    };
    control.conclude(own.ticket, end);
    result
}

/// What a call gets whose key belongs to another one.
async fn repeated(
    work: &mut ProxiedRequest,
    claim: &Claim,
    decided: Decision,
) -> Result<Reply, Problem> {
    match decided {
        Decision::Answered { holder, .. } => match held_there(work, claim, &holder).await {
            Some(answer) => Ok(again(work, answer)),
            None => Err(Problem::unknown(
                Kind::Repeated,
                "the call was executed before, and its answer is held no more",
            )),
        },
        Decision::InProgress { holder, request } => match held_there(work, claim, &holder).await {
            Some(answer) => Ok(again(work, answer)),
            None => Err(Problem::unknown(
                Kind::Repeated,
                format!("the call was begun before as {request} and may have run"),
            )
            .retry_after(COME_BACK)),
        },
        Decision::Conflict => Err(key_reused()),
        Decision::AttemptRequired => Err(Problem::unknown(
            Kind::AttemptRequired,
            "calls of this entry need an Idempotency-Attempt",
        )),
        Decision::Refused { executed: ran } => {
            Err(
                keys::refusal(Kind::Unavailable, "the key could not be claimed", ran)
                    .retry_after(COME_BACK),
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

/// The end of a call whose answer is held by this process.
fn held_here(work: &ProxiedRequest, claim: &Claim) -> Option<Result<Reply, Problem>> {
    let shared = &work.worker.shared;
    let now = shared.clock.now();
    let held = shared
        .held_answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let found = held.get(now, &claim.key, Some(&claim.fingerprint))?;
    drop(held);
    Some(match found {
        Lookup::Answer(answer) => Ok(again(work, answer)),
        Lookup::OtherRequest => Err(key_reused()),
    })
}

async fn held_there(work: &ProxiedRequest, claim: &Claim, holder: &Holder) -> Option<Answer> {
    let shared = &work.worker.shared;
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
    let asked = shared.control.held_answer(&holder.instance, claim.key);
    asked.await.and_then(|answer| Answer::try_from(answer).ok())
}

fn again(work: &ProxiedRequest, answer: Answer) -> Reply {
    work.worker.shared.metrics.add(Metric::Repeats, 1);
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

fn hold(work: &ProxiedRequest, entry: &Entry, claim: &Claim, reply: &Reply) {
    let Reply::Whole {
        status,
        headers,
        body,
    } = reply
    else {
        return;
    };
    let shared = &work.worker.shared;
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

fn speaking_of_the_key(refused: Problem, claim: &Claim) -> Problem {
    Problem {
        ran: match keys::execution_before_claim(claim) {
            Executed::No => refused.ran,
            Executed::Unknown => problem::Ran::Unknown,
        },
        ..refused
    }
}
