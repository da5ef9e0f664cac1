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

/// Answers up to this size are read whole before the caller gets any of them, so that one that
/// breaks off can still be answered as an error or tried elsewhere.
const WHOLE: u64 = 64 << 10;

/// Runs an admitted call over as many attempts as are allowed. `whole` asks for the whole answer,
/// because it is to be held.
///
/// # Errors
///
/// The error for the caller.
pub async fn run(
    work: &mut ProxiedRequest,
    mut attempt: Attempt,
    whole: bool,
) -> Result<Reply, Problem> {
    loop {
        work.begin_attempt(&attempt);
        let failure = match once(work, &attempt, whole).await {
            Ok(Got::Whole(reply)) => return Ok(reply),
            Ok(Got::Body { answer, length }) => {
                return Ok(Reply::Body {
                    answer: Box::new(answer),
                    length,
                    attempt,
                    deadline: Instant::now() + work.remaining(),
                });
            }
            Err(failure) => failure,
        };
        attempt = work.retry(attempt, &failure).await?;
    }
}

enum Got {
    Whole(Reply),
    Body { answer: Answer, length: Option<u64> },
}

async fn once(work: &ProxiedRequest, attempt: &Attempt, whole: bool) -> Result<Got, Failure> {
    let address = work.address(&attempt.assignment().upstream)?;
    let call = Call {
        address,
        method: work.method.clone(),
        target: &work.target,
        headers: work.upstream_headers(attempt.assignment()),
        request: work.attempt_header(),
        timeout: work.remaining(),
    };
    let mut answer = work.worker.client.send(call, work.body.clone()).await?;
    let upstream = &attempt.assignment().upstream;
    match answer.status().is_server_error() {
        true => work.observe(upstream, Observation::Failed),
        false => work.observe_answer(upstream),
    }
    // A service that answers nothing of the id may be one that a proxy before it stands in for;
    // its answer cannot be told from another caller's.
    if answer.status().is_success() && !answer.is_matched(&work.attempt_header()) {
        return Err(Failure::Crossed);
    }
    let length = content_length(answer.headers());
    let small = length.is_some_and(|length| length <= WHOLE);
    if !whole && !small {
        return Ok(Got::Body { answer, length });
    }
    let limit = work.worker.shared.settings.limits.answer;
    let body = actix_rt::time::timeout(work.remaining(), answer.read_all(limit))
        .await
        .map_err(|_| Failure::TimedOut)??;
    Ok(Got::Whole(Reply::Whole {
        status: answer.status(),
        headers: caller_headers(answer.headers()),
        body,
    }))
}
