//! Calls to plain services.

use tokio::time::Instant;

use fleet::upstream::Observation;

use crate::dispatcher::Attempt;
use crate::front::body::content_length;
use crate::front::problem::Problem;
use crate::front::reply::{Reply, caller_headers};
use crate::proxied_request::ProxiedRequest;
use crate::upstream::client::{Answer, Call};
use crate::upstream::failure::Failure;

/// Answers of up to this many bytes are buffered before anything is sent to the caller, so that a
/// truncated one can still be reported as an error or retried.
const MAX_BUFFERED_ANSWER: u64 = 64 << 10;

/// Runs an admitted call, retrying as often as the router allows. With `buffer_whole` the answer is
/// buffered at any size, because it is to be held.
///
/// # Errors
///
/// The error for the caller.
pub async fn run(
    proxied: &mut ProxiedRequest,
    mut attempt: Attempt,
    buffer_whole: bool,
) -> Result<Reply, Problem> {
    loop {
        proxied.begin_attempt(&attempt);
        let failure = match try_once(proxied, &attempt, buffer_whole).await {
            Ok(ServiceAnswer::Whole(reply)) => return Ok(reply),
            Ok(ServiceAnswer::Body { answer, length }) => {
                return Ok(Reply::Body {
                    answer: Box::new(answer),
                    length,
                    attempt,
                    deadline: Instant::now() + proxied.remaining(),
                });
            }
            Err(failure) => failure,
        };
        attempt = proxied.retry(attempt, &failure).await?;
    }
}

enum ServiceAnswer {
    Whole(Reply),
    Body { answer: Answer, length: Option<u64> },
}

async fn try_once(
    proxied: &ProxiedRequest,
    attempt: &Attempt,
    buffer_whole: bool,
) -> Result<ServiceAnswer, Failure> {
    let address = proxied.address(&attempt.assignment().upstream)?;
    let call = Call {
        address,
        method: proxied.method.clone(),
        target: &proxied.target,
        headers: proxied.upstream_headers(attempt.assignment()),
        request: proxied.attempt_header(),
        timeout: proxied.remaining(),
    };
    let mut answer = proxied
        .worker
        .client
        .send(call, proxied.body.clone())
        .await?;
    let upstream = &attempt.assignment().upstream;
    match answer.status().is_server_error() {
        true => proxied.observe(upstream, Observation::Failed),
        false => proxied.observe_answer(upstream),
    }
    // A successful answer without the request's id may come from a proxy in front of the service
    // and cannot be distinguished from the answer to another request.
    if answer.status().is_success() && !answer.is_matched(&proxied.attempt_header()) {
        return Err(Failure::Crossed);
    }
    let length = content_length(answer.headers());
    let small = length.is_some_and(|length| length <= MAX_BUFFERED_ANSWER);
    if !buffer_whole && !small {
        return Ok(ServiceAnswer::Body { answer, length });
    }
    let limit = proxied.worker.shared.settings.limits.answer;
    let memory = proxied.worker.shared.memory.clone();
    let read = answer.read_whole(limit, &memory);
    let body = actix_rt::time::timeout(proxied.remaining(), read)
        .await
        .map_err(|_| Failure::TimedOut)??;
    Ok(ServiceAnswer::Whole(Reply::Whole {
        status: answer.status(),
        headers: caller_headers(answer.headers()),
        body,
    }))
}
