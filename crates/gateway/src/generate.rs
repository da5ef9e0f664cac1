//! Calls that are answered in events by model engines: where they are placed, read and generated,
//! and how they go on when an engine fails.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::upstream::{self, KvLocation, RequestOptions};
use http1::Writer;
use serving::engine::Record;
use serving::health::Outcome;
use serving::place::{Refusal, Target};
use serving::{Choice, EngineId, Zone};
use tokio::time::timeout_at;

use crate::attempt::{
    self, AttemptResult, EngineResponse, FailedSends, MAX_BODY_BYTES, NotRun, Request,
};
use crate::crashes;
use crate::held::{Held, Step};
use crate::instance::Instance;
use crate::metrics;
use crate::placement::{self, Avoid};
use crate::plain::{End, Finished, counted, refuse_end, take_repeat, tell_refused};
use crate::relay::{self, Relay, Times};
use crate::suspects;

mod memory;

use memory::Guard;

/// How a call ended, as far as the connection to its caller goes on.
enum Done {
    Whole(Times),
    /// What went out stays without its end, for this reason.
    Broken(&'static str),
    Unserved(End),
}

/// When a caller may come back after engines refused.
const FULL_AFTER: Duration = Duration::from_millis(300);

/// Answers a call. Says whether the connection may be used on.
pub(crate) async fn answer(instance: &Rc<Instance>, asked: &Request, writer: &mut Writer) -> bool {
    let close = instance.phase.is_leaving();
    let sent = Cell::new(false);
    let run = async {
        let relay = Relay::new(writer, asked.call.resume_after, close);
        Run::new(instance, asked, relay, &sent).run().await
    };
    let done = timeout_at(asked.deadline, run).await;
    let done = match done {
        Ok(done) => done,
        Err(_) if writer.has_begun() => Done::Broken("out of time"),
        Err(_) if sent.get() => Done::Unserved(End::Late),
        Err(_) => Done::Unserved(End::NotRun {
            after: FULL_AFTER,
            why: "No engine began in time.",
            best: None,
        }),
    };
    tell(instance, asked, &done);
    match done {
        Done::Whole(_) => true,
        Done::Broken(_) => false,
        Done::Unserved(End::Answer(finished, body)) => {
            let head = adapter::ingress::relayed_head(&finished.head, close);
            writer.whole(head, body).await.is_ok()
        }
        Done::Unserved(end) => refuse_end(asked, &end, writer, close).await,
    }
}

fn tell(instance: &Instance, asked: &Request, done: &Done) {
    instance.metrics.stream(match done {
        Done::Whole(_) => metrics::End::Served,
        Done::Broken(_) => metrics::End::Cut,
        Done::Unserved(end) => counted(end),
    });
    let id = asked.call.id.as_str();
    let route = asked.route.name.as_str();
    let ms = asked.elapsed().as_millis();
    match done {
        Done::Whole(times) => {
            let first = times.first.map(|first| first - asked.started);
            instance.metrics.first_event(first.unwrap_or_default());
            log::info!(
                id = id, route = route, ms:% = ms,
                first_ms:% = first.unwrap_or_default().as_millis(),
                target_ms:% = asked.route.latency_target.as_millis(), gap_ms:% = times.gap.as_millis(),
                most_gap_ms:% = asked.route.max_gap.unwrap_or_default().as_millis(), events = times.events,
                beside_ms:% = times.beside.as_millis(),
                rank = asked.priority(), organisation = asked.principal.name();
                "streamed"
            );
        }
        Done::Broken(why) => {
            log::info!(id = id, route = route, ms:% = ms, why = *why; "stream broken off");
        }
        Done::Unserved(End::NotRun { after, why, best }) => {
            tell_refused(asked, *after, why, best.as_deref());
        }
        Done::Unserved(End::Unknown(why)) => {
            log::info!(id = id, route = route, ms:% = ms, why = *why; "failed, may have run");
        }
        Done::Unserved(End::Late) => log::info!(id = id, route = route, ms:% = ms; "out of time"),
        Done::Unserved(End::Answer(finished, _)) => {
            log::info!(id = id, route = route, ms:% = ms, status = finished.reply.status; "answered");
        }
    }
}

struct Run<'a> {
    instance: &'a Rc<Instance>,
    asked: &'a Request,
    relay: Relay<'a>,
    /// Whether an engine may have begun to run the call.
    sent: &'a Cell<bool>,
    avoid: Avoid,
    runs: u32,
    rejections: FailedSends,
    weights: Option<u64>,
    /// Whether the prompt may still be read at one engine for another.
    may_split: bool,
}

/// What the next step is after an attempt.
enum Next {
    Again,
    Done(Done),
}

/// What an attempt to generate came to.
enum Generated {
    /// The engine did not run it.
    NotRun(NotRun),
    Next(Next),
}

impl<'a> Run<'a> {
    fn new(
        instance: &'a Rc<Instance>,
        asked: &'a Request,
        relay: Relay<'a>,
        sent: &'a Cell<bool>,
    ) -> Self {
        Self {
            instance,
            asked,
            relay,
            sent,
            avoid: Avoid::new(),
            runs: 0,
            rejections: FailedSends::default(),
            weights: None,
            may_split: true,
        }
    }

    async fn run(mut self) -> Done {
        let service = &self.asked.service.name;
        self.instance
            .budgets
            .borrow_mut()
            .record_first_attempt(service);
        loop {
            let choice =
                placement::place(self.instance, self.asked, &self.avoid, self.may_split).await;
            let next = match choice {
                Choice::Direct(target) => self.direct(&target).await,
                Choice::Split {
                    prefill, reserved, ..
                } => self.split(&prefill, reserved).await,
                Choice::Refuse {
                    retry_after: after,
                    reason: why,
                    best_target: best,
                } => Next::Done(self.refused(after, why, best)),
            };
            if let Next::Done(done) = next {
                return done;
            }
        }
    }

    fn refused(&self, after: Duration, why: Refusal, best: Option<Box<Target>>) -> Done {
        if self.relay.has_begun() {
            return Done::Broken("no further engine takes the call");
        }
        if self.runs > 0 {
            return Done::Unserved(End::Unknown("No further engine takes the call."));
        }
        let why = why.message();
        Done::Unserved(End::NotRun { after, why, best })
    }

    /// Has the prompt read at one engine and generates at another. Whatever comes of it, the prompt is
    /// read for another engine only once.
    async fn split(&mut self, prefill: &Target, reserved: Option<EngineId>) -> Next {
        self.may_split = false;
        match self.read_prompt(prefill).await {
            Prompt::Read(memory, zone) => {
                let memory = Guard::new(self.instance, prefill.engine.clone(), memory);
                self.take_over(memory, reserved, &zone).await
            }
            Prompt::Rejected => {
                self.avoid.push(prefill.engine.clone());
                self.rejected(true)
            }
            Prompt::Lost => {
                self.avoid.push(prefill.engine.clone());
                Next::Again
            }
        }
    }

    /// Generates from memory that another engine holds, at the first engine that takes it over.
    async fn take_over(
        &mut self,
        memory: Guard,
        mut reserved: Option<EngineId>,
        zone: &Zone,
    ) -> Next {
        loop {
            let (instance, asked) = (self.instance, self.asked);
            let decode =
                placement::place_decode(instance, asked, &self.avoid, reserved.as_ref(), zone)
                    .await;
            // What was reserved is used up by one attempt.
            reserved = None;
            let Some(decode) = decode else {
                return Next::Again;
            };
            match self.generate(&decode, Some(&memory)).await {
                Generated::Next(next) => return next,
                Generated::NotRun(why) => match self.rejected(why.reached_engine()) {
                    // A refusal for want of room may have used the memory up.
                    Next::Again if why == NotRun::Full => return Next::Again,
                    Next::Again => {}
                    done @ Next::Done(_) => return done,
                },
            }
        }
    }

    /// Generates at an engine that reads the prompt itself.
    async fn direct(&mut self, target: &Target) -> Next {
        match self.generate(target, None).await {
            Generated::Next(next) => next,
            Generated::NotRun(why) => self.rejected(why.reached_engine()),
        }
    }

    async fn read_prompt(&mut self, target: &Target) -> Prompt {
        let Some(engine) = placement::record(self.instance, &target.engine) else {
            return Prompt::Lost;
        };
        self.note_parts(target);
        let mut held = Held::new(self.instance, self.asked, target, Step::Read);
        let sending = RequestOptions {
            instance: &engine.name,
            remaining: self.asked.remaining(),
            priority: Some(target.rank),
            prefill_only: true,
            fetch_from: placement::address(self.instance, target.fetch_from.as_ref()),
            ..RequestOptions::default()
        };
        let answered = match attempt::send(self.instance, self.asked, &engine, &sending).await {
            AttemptResult::Answer(answered) => answered,
            AttemptResult::NotRun(why) => {
                held.note(why.outcome());
                return if why.reached_engine() {
                    Prompt::Rejected
                } else {
                    Prompt::Lost
                };
            }
            AttemptResult::Lost(failure) => {
                log::info!(id = self.asked.call.id.as_str(), engine = &*engine.id, failure:% = failure,
                    fingerprint = self.asked.fingerprint_text(), caller:% = self.asked.caller;
                    "the prompt's reading was lost");
                held.note(Outcome::Failed);
                drop(held);
                crashes::broke_off(self.instance, self.asked, &engine).await;
                return Prompt::Lost;
            }
        };
        let EngineResponse {
            reply, mut client, ..
        } = *answered;
        let body = client.body(MAX_BODY_BYTES).await;
        if body.is_err() {
            crashes::broke_off(self.instance, self.asked, &engine).await;
        }
        let read = body.ok().filter(|_| reply.is_success());
        let Some(read) = read.and_then(|body| upstream::parse_prefill_result(&body)) else {
            held.note(Outcome::Failed);
            return Prompt::Lost;
        };
        held.first("read");
        held.note(Outcome::Success);
        attempt::return_to_pool(self.instance, &engine.id, client, &reply);
        self.weights = self.weights.or(read.weight_version);
        let memory = KvLocation {
            address: engine.address,
            handle: read.handle,
        };
        Prompt::Read(memory, engine.zone)
    }

    /// Takes in that an engine uses the prompt's parts. Whoever placed the call has done so.
    fn note_parts(&self, target: &Target) {
        if let Some(sizes) = &self.asked.call.generation
            && target.placed_by.is_none()
        {
            self.instance.uses(&target.engine, &sizes.prompt);
        }
    }

    async fn generate(&mut self, target: &Target, memory: Option<&Guard>) -> Generated {
        let Some(engine) = placement::record(self.instance, &target.engine) else {
            self.avoid.push(target.engine.clone());
            return Generated::NotRun(NotRun::Unreachable);
        };
        self.note_parts(target);
        let step = match memory {
            Some(_) => Step::TakeOver,
            None if self.relay.has_begun() => Step::Resume,
            None => Step::Generate,
        };
        let mut held = Held::new(self.instance, self.asked, target, step);
        let sending = RequestOptions {
            instance: &engine.name,
            remaining: self.asked.remaining(),
            priority: Some(target.rank),
            kv_source: memory.map(|guard| &guard.memory),
            resume_after: self.relay.last(),
            fetch_from: placement::address(self.instance, target.fetch_from.as_ref()),
            weight_version: self.weights,
            ..RequestOptions::default()
        };
        self.sent.set(true);
        let tried = attempt::send(self.instance, self.asked, &engine, &sending).await;
        match tried {
            AttemptResult::Answer(answered) => {
                if let Some(memory) = memory {
                    memory.taken();
                }
                Generated::Next(self.pass(answered, held, &engine).await)
            }
            AttemptResult::NotRun(why) => {
                self.sent.set(self.runs > 0);
                held.note(why.outcome());
                self.avoid.push(target.engine.clone());
                Generated::NotRun(why)
            }
            AttemptResult::Lost(failure) => {
                log::info!(id = self.asked.call.id.as_str(), engine = &*engine.id, failure:% = failure,
                    fingerprint = self.asked.fingerprint_text(), caller:% = self.asked.caller;
                    "the engine's answer was lost");
                held.note(Outcome::Failed);
                drop(held);
                crashes::broke_off(self.instance, self.asked, &engine).await;
                self.avoid.push(target.engine.clone());
                Generated::Next(self.lost("The engine's answer was lost."))
            }
        }
    }

    async fn pass(
        &mut self,
        mut answered: Box<EngineResponse>,
        mut held: Held<'_>,
        engine: &Record,
    ) -> Next {
        let reply = &answered.reply;
        if !reply.is_success() {
            held.note(if reply.status >= 500 {
                Outcome::Failed
            } else {
                Outcome::Success
            });
            self.instance
                .suspects
                .ended_well(self.asked, engine, suspects::now(self.instance));
            self.avoid.push(engine.id.clone());
            return self.failure(*answered, &engine.id).await;
        }
        if !reply.is_own_success() {
            held.note(Outcome::Failed);
            self.avoid.push(engine.id.clone());
            return self.lost("The engine's answer is not its own.");
        }
        self.weights = self.weights.or(reply.weight_version);
        match self.relay.pass(&mut answered, &held).await {
            relay::End::Whole => {
                held.note(Outcome::Success);
                self.instance
                    .suspects
                    .ended_well(self.asked, engine, suspects::now(self.instance));
                let EngineResponse { client, reply, .. } = *answered;
                attempt::return_to_pool(self.instance, &engine.id, client, &reply);
                Next::Done(Done::Whole(self.relay.times()))
            }
            relay::End::Gone(error) => {
                log::debug!(id = self.asked.call.id.as_str(), error:% = error; "the caller has gone");
                Next::Done(Done::Broken("the caller has gone"))
            }
            relay::End::Broken(failure) => {
                log::info!(id = self.asked.call.id.as_str(), engine = &*engine.id, failure:% = failure, last:? = self.relay.last(),
                    fingerprint = self.asked.fingerprint_text(), caller:% = self.asked.caller;
                    "the engine broke off");
                held.note(Outcome::Failed);
                drop(held);
                crashes::broke_off(self.instance, self.asked, engine).await;
                self.avoid.push(engine.id.clone());
                self.lost("The engine broke off.")
            }
        }
    }

    /// An engine's own failure: another engine is tried where the call may be repeated, else the
    /// caller gets it as it is.
    async fn failure(&mut self, mut answered: EngineResponse, engine: &EngineId) -> Next {
        let body = answered.client.body(MAX_BODY_BYTES).await;
        let reply = answered.reply;
        let Ok(body) = body else {
            return self.lost("The engine's failure is broken.");
        };
        attempt::return_to_pool(self.instance, engine, answered.client, &reply);
        self.runs += 1;
        if self.may_repeat() {
            return Next::Again;
        }
        if self.relay.has_begun() {
            return Next::Done(Done::Broken("the engine failed"));
        }
        let end = if reply.promises_not_run() {
            End::Unknown("The engine failed.")
        } else {
            let head = answered.head;
            End::Answer(Box::new(Finished { head, reply }), body)
        };
        Next::Done(Done::Unserved(end))
    }

    fn rejected(&mut self, arrived: bool) -> Next {
        if self.rejections.count(arrived) && (!arrived || take_repeat(self.instance, self.asked)) {
            return Next::Again;
        }
        Next::Done(self.refused(FULL_AFTER, Refusal::TooMuchWork, None))
    }

    fn lost(&mut self, why: &'static str) -> Next {
        self.runs += 1;
        if self.may_repeat() {
            return Next::Again;
        }
        if self.relay.has_begun() {
            return Next::Done(Done::Broken(why));
        }
        Next::Done(Done::Unserved(End::Unknown(why)))
    }

    fn may_repeat(&self) -> bool {
        let route = &self.asked.route;
        route.kind.is_idempotent()
            && self.runs < route.max_attempts
            && take_repeat(self.instance, self.asked)
    }
}

enum Prompt {
    Read(KvLocation, Zone),
    Rejected,
    Lost,
}
