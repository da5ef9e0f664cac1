//! Calls that are answered as a whole.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use adapter::ingress;
use adapter::upstream::{Reply, RequestOptions};
use bytes::Bytes;
use http1::Writer;
use serving::engine::Record;
use serving::health::Outcome;
use serving::place::Target;
use serving::{Choice, Kind};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{
    self, AttemptResult, EngineResponse, FailedSends, MAX_BODY_BYTES, NotRun, Request,
};
use crate::crashes;
use crate::held::{Held, Step};
use crate::instance::Instance;
use crate::metrics;
use crate::placement::{self, Avoid};
use crate::refusal::{Refusal, refuse};
use crate::suspects;

/// How a call ended.
pub(crate) enum End {
    /// An engine's whole answer.
    Answer(Box<Finished>, Bytes),
    /// It has not run and will not.
    NotRun {
        after: Duration,
        why: &'static str,
        /// The place that it would have had, where it was refused by a forecast.
        best: Option<Box<Target>>,
    },
    /// It may have run.
    Unknown(&'static str),
    /// Nobody waits any more; it may have run.
    Late,
}

/// The head of an answer whose body is there.
pub(crate) struct Finished {
    pub head: ResponseHead,
    pub reply: Reply,
}

/// When a caller may come back after all engines refused. One of them is likely to have room after
/// the time of some calls.
const FULL_AFTER: Duration = Duration::from_millis(100);
/// Share of the target after which a call that may be repeated is taken to be stuck, where another
/// attempt is left.
const STUCK: f64 = 0.8;

/// Answers a call. Says whether the connection may be used on.
pub(crate) async fn answer(instance: &Rc<Instance>, asked: &Request, writer: &mut Writer) -> bool {
    let end = timeout_at(asked.deadline, attempts(instance, asked)).await;
    let end = end.unwrap_or(End::Late);
    tell(instance, asked, &end);
    let close = instance.phase.is_leaving();
    match end {
        End::Answer(answered, body) => {
            let head = ingress::relayed_head(&answered.head, close);
            writer.whole(head, body).await.is_ok()
        }
        other => refuse_end(asked, &other, writer, close).await,
    }
}

/// Answers a call that no engine answered.
pub(crate) async fn refuse_end(
    asked: &Request,
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
        id: Some(&asked.call.id),
        retry_after: after,
        detail,
        may_have_run: ran,
    };
    refuse(writer, refusal, close).await.is_ok()
}

/// How an end is counted.
pub(crate) fn counted(end: &End) -> metrics::End {
    match end {
        End::Answer(answered, _) if answered.reply.is_success() => metrics::End::Served,
        End::Answer(..) | End::Unknown(_) => metrics::End::Failed,
        End::NotRun { .. } => metrics::End::Refused,
        End::Late => metrics::End::Late,
    }
}

fn tell(instance: &Instance, asked: &Request, end: &End) {
    instance.metrics.plain(counted(end), asked.elapsed());
    let id = asked.call.id.as_str();
    let route = asked.route.name.as_str();
    let ms = asked.elapsed().as_millis();
    match end {
        End::Answer(answered, _) => {
            log::info!(id = id, route = route, ms:% = ms, status = answered.reply.status; "answered");
        }
        End::NotRun { after, why, best } => tell_refused(asked, *after, why, best.as_deref()),
        End::Unknown(why) => {
            log::info!(id = id, route = route, ms:% = ms, why = *why; "failed, may have run");
        }
        End::Late => {
            log::info!(id = id, route = route, ms:% = ms; "out of time");
        }
    }
}

/// Tells of a refusal, with what was expected where: else nobody can tell a long prompt from a full fleet.
pub(crate) fn tell_refused(asked: &Request, after: Duration, why: &str, best: Option<&Target>) {
    let expected = best.map_or(Duration::ZERO, |best| best.expected_latency);
    log::info!(
        id = asked.call.id.as_str(), route = asked.route.name.as_str(), ms:% = asked.elapsed().as_millis(),
        after_ms:% = after.as_millis(), expected_ms:% = expected.as_millis(), left_ms:% = asked.remaining().as_millis(),
        unread = best.map_or(0, |best| best.prefill_tokens), rank = best.map_or(asked.priority(), |best| best.rank),
        engine = best.map_or("", |best| &*best.engine), why = why;
        "refused"
    );
}

async fn attempts(instance: &Rc<Instance>, asked: &Request) -> End {
    let mut avoid = Avoid::new();
    let mut runs = 0;
    let mut rejections = FailedSends::default();
    instance.budgets.borrow_mut().record_first_attempt(&asked.service.name);
    loop {
        let target = match placement::place(instance, asked, &avoid, false).await {
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
        let more = runs + 1 < asked.route.max_attempts && asked.route.kind.is_idempotent();
        let tried = one(instance, asked, &target, more).await;
        avoid.push(target.engine);
        match tried {
            One::Whole(answered, body) if more && is_failure(&answered) => {
                runs += 1;
                if !take_repeat(instance, asked) {
                    return End::Answer(answered, body);
                }
            }
            One::Whole(answered, body) => return judge(asked, answered, body),
            One::NotRun(reason) => {
                let arrived = reason.reached_engine();
                let may = rejections.count(arrived) && (!arrived || take_repeat(instance, asked));
                if !may && runs == 0 {
                    return End::NotRun {
                        after: FULL_AFTER,
                        why: "The engines are full.",
                        best: None,
                    };
                } else if !may {
                    return End::Unknown("The engines are full.");
                }
            }
            One::Late => return End::Late,
            One::Lost => {
                runs += 1;
                if !more || !take_repeat(instance, asked) {
                    return End::Unknown("The engine's answer was lost.");
                }
            }
        }
    }
}

pub(crate) fn take_repeat(instance: &Instance, asked: &Request) -> bool {
    instance.budgets.borrow_mut().take_repeat(&asked.service.name)
}

fn is_failure(answered: &Finished) -> bool {
    answered.reply.status >= 500
}

/// An engine's 429, 503, 408 or 421 tells the caller that its request has not run. Where the
/// engine does not say so itself, it may have run, and a caller that trusts the status would have
/// it run twice.
fn judge(asked: &Request, answered: Box<Finished>, body: Bytes) -> End {
    if answered.reply.promises_not_run() && asked.route.kind != Kind::Safe {
        return End::Unknown("The engine failed.");
    }
    End::Answer(answered, body)
}

enum One {
    Whole(Box<Finished>, Bytes),
    NotRun(NotRun),
    Lost,
    /// The caller's time ended before an answer was there.
    Late,
}

async fn one(instance: &Rc<Instance>, asked: &Request, target: &Target, more: bool) -> One {
    let Some(engine) = placement::record(instance, &target.engine) else {
        return One::NotRun(NotRun::Unreachable);
    };
    let mut held = Held::new(instance, asked, target, Step::Run);
    let sending = RequestOptions {
        instance: &engine.name,
        remaining: asked.remaining(),
        ..RequestOptions::default()
    };
    let stuck = Instant::now() + asked.route.latency_target.mul_f64(STUCK);
    let until = if more {
        stuck.min(asked.deadline)
    } else {
        asked.deadline
    };
    let whole = async {
        match attempt::send(instance, asked, &engine, &sending).await {
            AttemptResult::Answer(answered) => whole(instance, asked, &engine, answered).await,
            AttemptResult::NotRun(why) => One::NotRun(why),
            AttemptResult::Lost(failure) => {
                log::info!(id = asked.call.id.as_str(), engine = &*engine.id, failure = failure.name(),
                    fingerprint = asked.fingerprint_text(), caller:% = asked.caller;
                    "answer lost");
                crashes::broke_off(instance, asked, &engine).await;
                One::Lost
            }
        }
    };
    let result = timeout_at(until, whole).await;
    let result = result.unwrap_or(if until < asked.deadline {
        One::Lost
    } else {
        One::Late
    });
    held.note(outcome(&result));
    result
}

fn outcome(one: &One) -> Outcome {
    match one {
        One::Whole(answered, _) if answered.reply.status >= 500 => Outcome::Failed,
        One::Whole(..) => Outcome::Success,
        One::NotRun(why) => why.outcome(),
        One::Lost | One::Late => Outcome::Failed,
    }
}

async fn whole(
    instance: &Rc<Instance>,
    asked: &Request,
    engine: &Record,
    answered: Box<EngineResponse>,
) -> One {
    let reply = &answered.reply;
    if reply.is_success() && !reply.is_own_success() {
        log::info!(id = asked.call.id.as_str(), engine = &*engine.id; "a success that the engine did not sign");
        return One::Lost;
    }
    let EngineResponse {
        head,
        reply,
        mut client,
        ..
    } = *answered;
    match client.body(MAX_BODY_BYTES).await {
        Ok(body) => {
            attempt::return_to_pool(instance, &engine.id, client, &reply);
            instance
                .suspects
                .ended_well(asked, engine, suspects::now(instance));
            One::Whole(Box::new(Finished { head, reply }), body)
        }
        Err(failure) => {
            log::info!(id = asked.call.id.as_str(), engine = &*engine.id, failure:% = failure,
                fingerprint = asked.fingerprint_text(), caller:% = asked.caller;
                "broken answer");
            crashes::broke_off(instance, asked, engine).await;
            One::Lost
        }
    }
}
