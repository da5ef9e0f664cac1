//! Calls answered with a stream by model engines: placement, prefill and decode, and what happens
//! when an engine fails.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::upstream::{self, KvLocation, RequestOptions};
use http1::Writer;
use serving::engine::Record;
use serving::health::Outcome;
use serving::place::{Refusal, Target};
use serving::{Choice, EngineId, Zone};

use crate::attempt::{self, EngineResponse, MAX_BODY_BYTES, Request};
use crate::conclusion::{self, AttemptResult, FailedSends, NotRun};
use crate::crash_detection;
use crate::engine_call::{EngineCall, Step};
use crate::instance::Instance;
use crate::metrics;
use crate::overdue::timeout_at;
use crate::placement::{self, Avoid};
use crate::plain::{self, End, log_refused, metric_end, refuse_end};
use crate::relay::{self, Relay, Times};
use crate::suspects;

mod close;
mod memory;
mod resume;
mod retry;

use memory::MemoryGuard;
use retry::NextStep;

/// How the stream to the caller ended.
enum Stream {
    Whole(Times),
    /// The stream began and ends incomplete, for this reason.
    Broken(&'static str),
    Unserved(End),
}

/// Retry-after once engines have refused the call.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves a call. Returns whether the connection can be reused.
pub(crate) async fn answer(
    instance: &Rc<Instance>,
    request: &Request,
    writer: &mut Writer,
) -> bool {
    let close = instance.lifecycle.is_leaving() || instance.own_load.is_closed();
    let sent = Cell::new(false);
    let run = async {
        if let Some(end) = plain::refuse_late(instance, request) {
            return Stream::Unserved(end);
        }
        let is_resumable = request.route.kind.is_idempotent();
        let after = request.call.resume_after.filter(|_| is_resumable);
        let relay = Relay::new(writer, after, close);
        Run::new(instance, request, relay, &sent).run().await
    };
    let result = timeout_at(request.deadline, run).await;
    let result = match result {
        Ok(stream) => stream,
        Err(_) if writer.has_written_head() => Stream::Broken("out of time"),
        Err(_) if sent.get() => Stream::Unserved(End::Late),
        Err(_) => Stream::Unserved(End::NotRun {
            after: REFUSED_RETRY_AFTER,
            why: "No engine began in time.",
            best: None,
        }),
    };
    log_result(instance, request, &result);
    match result {
        Stream::Whole(_) => true,
        Stream::Broken(_) => false,
        Stream::Unserved(End::Answer(response, body)) => {
            let head = adapter::ingress::relayed_head(&response.head, close);
            writer.write_response(head, body).await.is_ok()
        }
        Stream::Unserved(end) => refuse_end(request, &end, writer, close).await,
    }
}

fn log_result(instance: &Instance, request: &Request, stream: &Stream) {
    instance.metrics.stream_ended(match stream {
        Stream::Whole(_) => metrics::End::Served,
        Stream::Broken(_) => metrics::End::Cut,
        Stream::Unserved(end) => metric_end(end),
    });
    let id = request.call.id.as_str();
    let route = request.route.name.as_str();
    let ms = request.elapsed().as_millis();
    match stream {
        Stream::Whole(times) => {
            let first = times.first.map(|first| first - request.started);
            instance.metrics.first_event(first.unwrap_or_default());
            log::info!(
                id = id, route = route, ms:% = ms,
                first_ms:% = first.unwrap_or_default().as_millis(),
                target_ms:% = request.route.latency_target.as_millis(), gap_ms:% = times.longest_gap.as_millis(),
                most_gap_ms:% = request.route.max_gap.unwrap_or_default().as_millis(), events = times.events,
                beside_ms:% = times.beside_prefill.as_millis(),
                rank = request.priority(), organisation = request.principal.name();
                "streamed"
            );
        }
        Stream::Broken(why) => {
            log::info!(id = id, route = route, ms:% = ms, why = *why; "stream broken off");
        }
        Stream::Unserved(End::NotRun { after, why, best }) => {
            log_refused(request, *after, why, best.as_deref());
        }
        Stream::Unserved(End::Unknown(why)) => {
            log::info!(id = id, route = route, ms:% = ms, why = *why; "failed, may have run");
        }
        Stream::Unserved(End::Late) => log::info!(id = id, route = route, ms:% = ms; "out of time"),
        Stream::Unserved(End::Answer(response, _)) => {
            log::info!(
                id = id, route = route, ms:% = ms, status = response.reply.status,
                organisation = request.principal.name();
                "answered"
            );
        }
    }
}

struct Run<'a> {
    instance: &'a Rc<Instance>,
    request: &'a Request,
    relay: Relay<'a>,
    /// Whether an engine may have begun to run the call.
    may_have_run: &'a Cell<bool>,
    avoid: Avoid,
    runs: u32,
    failed_sends: FailedSends,
    weights: Option<u64>,
    /// Software version of the engines that may go on with the stream, once it has begun.
    software: Option<Rc<str>>,
    /// Whether prefill and decode may still run on different engines.
    may_split: bool,
}

/// Result of an attempt to generate.
enum GenerateResult {
    /// The engine did not run it.
    NotRun(NotRun),
    Next(NextStep),
}

impl<'a> Run<'a> {
    fn new(
        instance: &'a Rc<Instance>,
        request: &'a Request,
        relay: Relay<'a>,
        may_have_run: &'a Cell<bool>,
    ) -> Self {
        Self {
            instance,
            request,
            relay,
            may_have_run,
            avoid: Avoid::new(),
            runs: 0,
            failed_sends: FailedSends::default(),
            weights: None,
            software: None,
            may_split: true,
        }
    }

    async fn run(mut self) -> Stream {
        let service = &self.request.service.name;
        if self.request.call.resume_after.is_some() && !self.bind_resumed().await {
            return Stream::Unserved(End::NotRun {
                after: REFUSED_RETRY_AFTER,
                why: "The software version that began the stream is not known.",
                best: None,
            });
        }
        self.instance
            .budgets
            .borrow_mut()
            .record_first_attempt(service);
        loop {
            let choice = placement::place(
                self.instance,
                self.request,
                &self.avoid,
                self.may_split,
                self.software.as_deref(),
            )
            .await;
            let next = match choice {
                Choice::Direct(target) => self.direct(&target).await,
                Choice::Split {
                    prefill, reserved, ..
                } => self.split(&prefill, reserved).await,
                Choice::Refuse {
                    retry_after: after,
                    reason: why,
                    best_target: best,
                } => NextStep::Done(self.refusal(after, why, best)),
            };
            if let NextStep::Done(stream) = next {
                return stream;
            }
        }
    }

    fn refusal(&self, after: Duration, why: Refusal, best: Option<Box<Target>>) -> Stream {
        if self.relay.has_begun() {
            return Stream::Broken("no further engine takes the call");
        }
        if self.runs > 0 {
            return Stream::Unserved(End::Unknown("No further engine takes the call."));
        }
        let why = why.message();
        Stream::Unserved(End::NotRun { after, why, best })
    }

    /// Prefills at one engine and decodes at another. Whatever comes of it, a call is split only
    /// once.
    async fn split(&mut self, prefill: &Target, reserved: Option<EngineId>) -> NextStep {
        self.may_split = false;
        match self.prefill(prefill).await {
            PrefillResult::Prefilled(memory, zone) => {
                let memory = MemoryGuard::new(self.instance, prefill.engine.clone(), memory);
                self.take_over(memory, reserved, &zone).await
            }
            PrefillResult::Rejected => {
                self.avoid.push(prefill.engine.clone());
                self.after_rejection(true)
            }
            PrefillResult::Lost => {
                self.avoid.push(prefill.engine.clone());
                NextStep::Retry
            }
            PrefillResult::NoPath => self.after_no_path(),
        }
    }

    /// Decodes at the first engine that fetches the KV cache from the one that holds it.
    async fn take_over(
        &mut self,
        memory: MemoryGuard,
        mut reserved: Option<EngineId>,
        zone: &Zone,
    ) -> NextStep {
        loop {
            let (instance, request) = (self.instance, self.request);
            let decode = placement::place_decode(
                instance,
                request,
                &self.avoid,
                reserved.as_ref(),
                zone,
                self.software.as_deref(),
            )
            .await;
            // A reservation is good for one attempt.
            reserved = None;
            let Some(decode) = decode else {
                return NextStep::Retry;
            };
            match self.generate(&decode, Some(&memory)).await {
                GenerateResult::Next(next) => return next,
                GenerateResult::NotRun(NotRun::NoPath) => return self.after_no_path(),
                GenerateResult::NotRun(why) => match self.after_rejection(why.reached_engine()) {
                    // An engine that refuses for lack of capacity may have consumed the KV cache.
                    NextStep::Retry if why == NotRun::Full => return NextStep::Retry,
                    NextStep::Retry => {}
                    done @ NextStep::Done(_) => return done,
                },
            }
        }
    }

    /// Generates at an engine that prefills the prompt itself.
    async fn direct(&mut self, target: &Target) -> NextStep {
        match self.generate(target, None).await {
            GenerateResult::Next(next) => next,
            GenerateResult::NotRun(NotRun::NoPath) => self.after_no_path(),
            GenerateResult::NotRun(why) => self.after_rejection(why.reached_engine()),
        }
    }

    async fn prefill(&mut self, target: &Target) -> PrefillResult {
        let Some(engine) = placement::record(self.instance, &target.engine) else {
            return PrefillResult::Lost;
        };
        self.note_parts(target);
        let mut engine_call = EngineCall::new(self.instance, self.request, target, Step::Prefill);
        let sending = RequestOptions {
            instance: &engine.name,
            remaining: self.request.remaining(),
            priority: Some(target.rank),
            prefill_only: true,
            fetch_from: placement::address(self.instance, target.fetch_from.as_ref()),
            ..RequestOptions::default()
        };
        let response = match attempt::send(self.instance, self.request, &engine, &sending).await {
            AttemptResult::Answer(response) => response,
            AttemptResult::NotRun(why) => {
                engine_call.set_outcome(why.outcome());
                return match why {
                    NotRun::NoPath => PrefillResult::NoPath,
                    NotRun::Unreachable | NotRun::Unsent => PrefillResult::Lost,
                    NotRun::Full | NotRun::Ended => PrefillResult::Rejected,
                };
            }
            AttemptResult::Lost(failure) => {
                log::info!(id = self.request.call.id.as_str(), engine = &*engine.id, failure:% = failure,
                    fingerprint = self.request.fingerprint_text(), caller:% = self.request.caller;
                    "the prompt's reading was lost");
                engine_call.set_lost(&failure);
                self.on_broken(engine_call, &engine).await;
                return PrefillResult::Lost;
            }
        };
        let EngineResponse {
            reply, mut client, ..
        } = *response;
        let body = client.body(MAX_BODY_BYTES).await;
        if body.is_err() {
            let progress = engine_call.progress();
            crash_detection::on_broken_response(self.instance, self.request, &engine, progress)
                .await;
        }
        let read = body.ok().filter(|_| reply.is_success());
        let Some(read) = read.and_then(|body| upstream::parse_prefill_result(&body)) else {
            engine_call.set_outcome(Outcome::Failed);
            return PrefillResult::Lost;
        };
        engine_call.on_first_answer("read");
        engine_call.set_outcome(Outcome::Success);
        conclusion::return_to_pool(self.instance, &engine.id, client, &reply);
        self.weights = self.weights.or(read.weight_version);
        let memory = KvLocation {
            address: engine.address,
            handle: read.handle,
        };
        PrefillResult::Prefilled(memory, engine.zone)
    }

    /// Notes that an engine uses the prompt's parts, unless the placer of the call has done so.
    fn note_parts(&self, target: &Target) {
        if let Some(sizes) = &self.request.call.generation
            && target.placed_by.is_none()
        {
            self.instance.announce_parts(&target.engine, &sizes.prompt);
        }
    }

    async fn generate(&mut self, target: &Target, memory: Option<&MemoryGuard>) -> GenerateResult {
        let Some(engine) = placement::record(self.instance, &target.engine) else {
            self.avoid.push(target.engine.clone());
            return GenerateResult::NotRun(NotRun::Unreachable);
        };
        if !engine.continues(self.software.as_deref()) {
            // Its record has changed since it was chosen.
            self.avoid.push(target.engine.clone());
            return GenerateResult::NotRun(NotRun::Unreachable);
        }
        if self.relay.has_begun() && self.instance.origins.is_uncertain(self.stream_key()) {
            let end = Stream::Broken("the software version that began the stream is not known");
            return GenerateResult::Next(NextStep::Done(end));
        }
        self.note_parts(target);
        let step = match memory {
            Some(_) => Step::TakeOver,
            None if self.relay.has_begun() => Step::Resume,
            None => Step::Generate,
        };
        let mut engine_call = EngineCall::new(self.instance, self.request, target, step);
        let sending = RequestOptions {
            instance: &engine.name,
            remaining: self.request.remaining(),
            priority: Some(target.rank),
            kv_source: memory.map(|guard| &guard.memory),
            resume_after: self.relay.last().or(self.request.call.resume_after),
            fetch_from: placement::address(self.instance, target.fetch_from.as_ref()),
            weight_version: self.weights,
            ..RequestOptions::default()
        };
        self.may_have_run.set(true);
        let result = attempt::send(self.instance, self.request, &engine, &sending).await;
        match result {
            AttemptResult::Answer(response) => {
                if let Some(memory) = memory {
                    memory.mark_taken();
                }
                GenerateResult::Next(self.relay_response(response, engine_call, &engine).await)
            }
            AttemptResult::NotRun(why) => {
                self.may_have_run.set(self.runs > 0);
                engine_call.set_outcome(why.outcome());
                self.avoid.push(target.engine.clone());
                GenerateResult::NotRun(why)
            }
            AttemptResult::Lost(failure) => {
                log::info!(id = self.request.call.id.as_str(), engine = &*engine.id, failure:% = failure,
                    fingerprint = self.request.fingerprint_text(), parts = self.request.shared_parts_text(), caller:% = self.request.caller;
                    "the engine's answer was lost");
                engine_call.set_lost(&failure);
                self.on_broken(engine_call, &engine).await;
                self.avoid.push(target.engine.clone());
                GenerateResult::Next(self.after_loss("The engine's answer was lost."))
            }
        }
    }

    /// Ends a call whose engine broke off, and finds out whether the engine has ended.
    async fn on_broken(&self, engine_call: EngineCall<'_>, engine: &Record) {
        let progress = engine_call.progress();
        drop(engine_call);
        crash_detection::on_broken_response(self.instance, self.request, engine, progress).await;
    }

    async fn relay_response(
        &mut self,
        mut response: Box<EngineResponse>,
        mut engine_call: EngineCall<'_>,
        engine: &Record,
    ) -> NextStep {
        let reply = &response.reply;
        if !reply.is_success() {
            engine_call.set_outcome(if reply.status >= 500 {
                Outcome::Failed
            } else {
                Outcome::Success
            });
            self.instance
                .suspects
                .on_good_run(self.request, engine, suspects::now(self.instance));
            self.avoid.push(engine.id.clone());
            return self.after_failure(*response, &engine.id).await;
        }
        if !reply.is_own_success() {
            engine_call.set_outcome(Outcome::Failed);
            self.avoid.push(engine.id.clone());
            return self.after_loss("The engine's answer is not its own.");
        }
        self.weights = self.weights.or(reply.weight_version);
        let software = engine.software.clone().unwrap_or_default();
        let (key, request) = (self.stream_key(), self.request);
        let on_begin = || {
            // A caller takes up again only what may be resumed.
            if request.route.kind.is_idempotent() {
                let time_left = request.remaining();
                self.instance.begin_stream(key, engine, time_left);
            }
        };
        let end = self
            .relay
            .relay(&mut response, &engine_call, on_begin)
            .await;
        self.weights = self.relay.weights().or(self.weights);
        if self.relay.has_begun() {
            self.software.get_or_insert(software);
        }
        match end {
            relay::End::Whole => {
                engine_call.set_outcome(Outcome::Success);
                self.instance.suspects.on_good_run(
                    self.request,
                    engine,
                    suspects::now(self.instance),
                );
                engine_call.on_parts_survived();
                let EngineResponse { client, reply, .. } = *response;
                conclusion::return_to_pool(self.instance, &engine.id, client, &reply);
                NextStep::Done(Stream::Whole(self.relay.times()))
            }
            relay::End::Closed(rest) => {
                self.after_close(*response, rest, engine_call, engine).await
            }
            relay::End::Gone(error) => self.after_disconnect(&error),
            relay::End::Broken(failure) => {
                log::info!(id = self.request.call.id.as_str(), engine = &*engine.id, failure:% = failure, framing:? = response.framing, last:? = self.relay.last(),
                    fingerprint = self.request.fingerprint_text(), parts = self.request.shared_parts_text(), caller:% = self.request.caller;
                    "the engine broke off");
                engine_call.set_lost(&failure);
                self.on_broken(engine_call, engine).await;
                self.avoid.push(engine.id.clone());
                self.after_loss("The engine broke off.")
            }
        }
    }
}

enum PrefillResult {
    Prefilled(KvLocation, Zone),
    Rejected,
    Lost,
    NoPath,
}
