//! Calls with a single, complete response.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use adapter::ingress;
use adapter::upstream::{Reply, RequestOptions};
use bytes::Bytes;
use http1::{Failure, Writer};
use serving::engine::Record;
use serving::health::Outcome;
use serving::place::{self, Target};
use serving::{Choice, Kind};
use tokio::time::Instant;

use crate::attempt::{self, EngineResponse, Request};
use crate::conclusion::{self, AttemptResult, FailedSends, NotRun};
use crate::crash_detection;
use crate::engine_call::{EngineCall, Progress, Step};
use crate::instance::Instance;
use crate::metrics;
use crate::overdue::timeout_at;
use crate::placement::{self, Avoid};
use crate::refusal::{Refusal, refuse};
use crate::suspects;

/// How a call ended.
pub(crate) enum End {
    /// With the complete response of an engine.
    Answer(Box<WholeAnswer>, Bytes),
    /// It has not run and will not.
    NotRun {
        after: Duration,
        why: &'static str,
        /// The best placement, if a forecast refused it.
        best: Option<Box<Target>>,
    },
    /// It may have run.
    Unknown(&'static str),
    /// The caller's time ended; it may have run.
    Late,
}

/// The head of a response that was read completely.
pub(crate) struct WholeAnswer {
    pub head: ResponseHead,
    pub reply: Reply,
}

/// Retry-after once all engines refused. One of them is likely to have room after a few calls'
/// time.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry-after of a call that the own link made late: at once, at another instance.
const LATE_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Retry-after while no engine can be reached: the time after which the paths are looked at again.
pub(crate) const NO_PATH_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Share of the route's target after which an attempt of a call that may be retried counts as
/// stuck, if another attempt is left.
const STUCK_SHARE: f64 = 0.8;

/// Serves a call. Returns whether the connection can be reused.
pub(crate) async fn answer(
    instance: &Rc<Instance>,
    request: &Request,
    writer: &mut Writer,
) -> bool {
    let end = timeout_at(request.deadline, run_attempts(instance, request)).await;
    let end = end.unwrap_or(End::Late);
    log_end(instance, request, &end);
    let close = instance.lifecycle.is_leaving() || instance.own_load.is_closed();
    match end {
        End::Answer(response, body) => {
            let head = ingress::relayed_head(&response.head, close);
            writer.write_response(head, body).await.is_ok()
        }
        other => refuse_end(request, &other, writer, close).await,
    }
}

/// Refuses a call that has no engine's response.
pub(crate) async fn refuse_end(
    request: &Request,
    end: &End,
    writer: &mut Writer,
    close: bool,
) -> bool {
    let (status, after, detail, ran) = match end {
        End::NotRun { after, why, .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, Some(*after), *why, false)
        }
        End::Unknown(why) => (StatusCode::BAD_GATEWAY, None, *why, true),
        End::Late | End::Answer(..) => (
            StatusCode::GATEWAY_TIMEOUT,
            None,
            "No engine answered in time.",
            true,
        ),
    };
    let refusal = Refusal {
        status,
        id: Some(&request.call.id),
        retry_after: after,
        detail,
        may_have_run: ran,
    };
    refuse(writer, refusal, close).await.is_ok()
}

/// The metrics label of an end.
pub(crate) fn metric_end(end: &End) -> metrics::End {
    match end {
        End::Answer(response, _) if response.reply.is_success() => metrics::End::Served,
        End::Answer(..) | End::Unknown(_) => metrics::End::Failed,
        End::NotRun { .. } => metrics::End::Refused,
        End::Late => metrics::End::Late,
    }
}

fn log_end(instance: &Instance, request: &Request, end: &End) {
    instance
        .metrics
        .plain_ended(metric_end(end), request.elapsed());
    let id = request.call.id.as_str();
    let route = request.route.name.as_str();
    let ms = request.elapsed().as_millis();
    match end {
        End::Answer(response, _) => {
            log::info!(
                id = id, route = route, ms:% = ms, status = response.reply.status,
                organisation = request.principal.name();
                "answered"
            );
        }
        End::NotRun { after, why, best } => log_refused(request, *after, why, best.as_deref()),
        End::Unknown(why) => {
            log::info!(id = id, route = route, ms:% = ms, why = *why; "failed, may have run");
        }
        End::Late => {
            log::info!(id = id, route = route, ms:% = ms; "out of time");
        }
    }
}

/// Logs a refusal with the best placement's forecast, which distinguishes a long prompt from a full
/// fleet.
pub(crate) fn log_refused(request: &Request, after: Duration, why: &str, best: Option<&Target>) {
    let expected = best.map_or(Duration::ZERO, |best| best.expected_latency);
    log::info!(
        id = request.call.id.as_str(), route = request.route.name.as_str(), ms:% = request.elapsed().as_millis(),
        after_ms:% = after.as_millis(), expected_ms:% = expected.as_millis(), left_ms:% = request.remaining().as_millis(),
        unread = best.map_or(0, |best| best.prefill_tokens), rank = best.map_or(request.priority(), |best| best.rank),
        engine = best.map_or("", |best| &*best.engine), organisation = request.principal.name(), why = why;
        "refused"
    );
}

/// Refuses a call that was received too late to be answered on time, before it is placed.
pub(crate) fn refuse_late(instance: &Instance, request: &Request) -> Option<End> {
    let target = request.route.latency_target;
    let target = target.saturating_sub(request.waited_before);
    let is_late = (instance.own_load).is_too_late(request.elapsed(), request.body.len(), target);
    is_late.then_some(End::NotRun {
        after: LATE_RETRY_AFTER,
        why: "The request was received too late.",
        best: None,
    })
}

async fn run_attempts(instance: &Rc<Instance>, request: &Request) -> End {
    if let Some(end) = refuse_late(instance, request) {
        return end;
    }
    let mut avoid = Avoid::new();
    let mut runs = 0;
    let mut failed_sends = FailedSends::default();
    instance
        .budgets
        .borrow_mut()
        .record_first_attempt(&request.service.name);
    loop {
        let target = match placement::place(instance, request, &avoid, false, None).await {
            Choice::Direct(target) => target,
            Choice::Split { prefill, .. } => prefill,
            Choice::Refuse {
                retry_after: after,
                reason: why,
                ..
            } => {
                return if runs > 0 {
                    End::Unknown("No further engine takes the call.")
                } else {
                    End::NotRun {
                        after,
                        why: why.message(),
                        best: None,
                    }
                };
            }
        };
        let may_retry = runs + 1 < request.route.max_attempts && request.route.kind.is_idempotent();
        let end = attempt_once(instance, request, &target, may_retry).await;
        avoid.push(target.engine);
        match end {
            AttemptEnd::Whole(response, body) if may_retry && is_failure(&response) => {
                runs += 1;
                if !take_retry(instance, request) {
                    return End::Answer(response, body);
                }
            }
            AttemptEnd::Whole(response, body) => return checked_end(request, response, body),
            AttemptEnd::NotRun(NotRun::NoPath) => {
                let why = place::Refusal::Unreachable.message();
                return if runs > 0 {
                    End::Unknown(why)
                } else {
                    End::NotRun {
                        after: NO_PATH_RETRY_AFTER,
                        why,
                        best: None,
                    }
                };
            }
            AttemptEnd::NotRun(reason) => {
                let arrived = reason.reached_engine();
                let may_continue =
                    failed_sends.count(arrived) && (!arrived || take_retry(instance, request));
                if !may_continue && runs == 0 {
                    return End::NotRun {
                        after: placement::retry_after(instance, request, FULL_RETRY_AFTER),
                        why: "The engines are full.",
                        best: None,
                    };
                } else if !may_continue {
                    return End::Unknown("The engines are full.");
                }
            }
            AttemptEnd::Late => return End::Late,
            AttemptEnd::Lost | AttemptEnd::Stuck => {
                runs += 1;
                if !may_retry || !take_retry(instance, request) {
                    return End::Unknown("The engine's answer was lost.");
                }
            }
        }
    }
}

pub(crate) fn take_retry(instance: &Instance, request: &Request) -> bool {
    instance
        .budgets
        .borrow_mut()
        .take_repeat(&request.service.name)
}

fn is_failure(response: &WholeAnswer) -> bool {
    response.reply.status >= 500
}

/// An engine's 429, 503, 408 or 421 tells the caller that its request has not run. Unless the
/// engine says so itself, it may have run, and a caller that trusts the status would run it twice.
fn checked_end(request: &Request, response: Box<WholeAnswer>, body: Bytes) -> End {
    if response.reply.promises_not_run() && request.route.kind != Kind::Safe {
        return End::Unknown("The engine failed.");
    }
    End::Answer(response, body)
}

enum AttemptEnd {
    Whole(Box<WholeAnswer>, Bytes),
    NotRun(NotRun),
    Lost,
    /// Without an answer for so long that another engine is tried.
    Stuck,
    /// The caller's time ended before a response.
    Late,
}

impl AttemptEnd {
    fn lost(failure: &Failure) -> Self {
        if failure.is_time_out() {
            Self::Stuck
        } else {
            Self::Lost
        }
    }
}

async fn attempt_once(
    instance: &Rc<Instance>,
    request: &Request,
    target: &Target,
    may_retry: bool,
) -> AttemptEnd {
    let Some(engine) = placement::record(instance, &target.engine) else {
        return AttemptEnd::NotRun(NotRun::Unreachable);
    };
    let mut engine_call = EngineCall::new(instance, request, target, Step::Run);
    let sending = RequestOptions {
        instance: &engine.name,
        remaining: request.remaining(),
        ..RequestOptions::default()
    };
    let stuck_at = Instant::now() + request.route.latency_target.mul_f64(STUCK_SHARE);
    let until = if may_retry {
        stuck_at.min(request.deadline)
    } else {
        request.deadline
    };
    let exchange = async {
        match attempt::send(instance, request, &engine, &sending).await {
            AttemptResult::Answer(response) => {
                read_whole(instance, request, &engine, response).await
            }
            AttemptResult::NotRun(why) => AttemptEnd::NotRun(why),
            AttemptResult::Lost(failure) => {
                log::info!(id = request.call.id.as_str(), engine = &*engine.id, failure = failure.name(),
                    fingerprint = request.fingerprint_text(), caller:% = request.caller;
                    "answer lost");
                crash_detection::on_broken_response(instance, request, &engine, Progress::Starting)
                    .await;
                AttemptEnd::lost(&failure)
            }
        }
    };
    let result = timeout_at(until, exchange).await;
    let result = result.unwrap_or(if until < request.deadline {
        AttemptEnd::Stuck
    } else {
        AttemptEnd::Late
    });
    match result {
        AttemptEnd::Stuck | AttemptEnd::Late => engine_call.set_timed_out(),
        _ => engine_call.set_outcome(outcome(&result)),
    }
    result
}

fn outcome(end: &AttemptEnd) -> Option<Outcome> {
    match end {
        AttemptEnd::Whole(response, _) if response.reply.status >= 500 => Some(Outcome::Failed),
        AttemptEnd::Whole(..) => Some(Outcome::Success),
        AttemptEnd::NotRun(why) => why.outcome(),
        AttemptEnd::Lost | AttemptEnd::Stuck | AttemptEnd::Late => Some(Outcome::Failed),
    }
}

async fn read_whole(
    instance: &Rc<Instance>,
    request: &Request,
    engine: &Record,
    response: Box<EngineResponse>,
) -> AttemptEnd {
    let reply = &response.reply;
    if reply.is_success() && !reply.is_own_success() {
        log::info!(id = request.call.id.as_str(), engine = &*engine.id; "a success response without the engine's signature");
        return AttemptEnd::Lost;
    }
    let EngineResponse {
        head,
        reply,
        mut client,
        ..
    } = *response;
    match request.read_answer(&mut client).await {
        Ok(body) => {
            conclusion::return_to_pool(instance, &engine.id, client, &reply);
            instance
                .suspects
                .on_good_run(request, engine, suspects::now(instance));
            AttemptEnd::Whole(Box::new(WholeAnswer { head, reply }), body)
        }
        Err(failure) => {
            log::info!(id = request.call.id.as_str(), engine = &*engine.id, failure:% = failure,
                fingerprint = request.fingerprint_text(), caller:% = request.caller;
                "broken answer");
            crash_detection::on_broken_response(instance, request, engine, Progress::Starting)
                .await;
            AttemptEnd::lost(&failure)
        }
    }
}
