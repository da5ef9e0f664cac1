//! Accounts for a call at its engine while it runs there.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http1::Failure;
use serving::engine::Ticket;
use serving::fleet::SentCall;
use serving::health::Outcome;
use serving::pauses::StreamMark;
use serving::place::Target;
use tokio::time::Instant;

use crate::attempt::Request;
use crate::instance::Instance;
use crate::{crash_detection, placement, shares, suspects};

/// What an engine is asked to do for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Run it and respond as a whole.
    Run,
    /// Prefill the prompt for another engine.
    Prefill,
    /// Prefill the prompt and decode.
    Generate,
    /// Decode with the KV cache of another engine.
    TakeOver,
    /// Resume a stream that another engine broke off.
    Resume,
}

impl Step {
    /// Name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Prefill => "read",
            Self::Generate => "generate",
            Self::TakeOver => "take over",
            Self::Resume => "resume",
        }
    }
}

/// How far an engine is with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It prefills the prompt for another engine.
    Prefilling,
    /// It has not begun to write, or just now. A part of the prompt that crashes engines as they
    /// begin to write does it here.
    Starting,
    /// It writes.
    Writing,
}

/// An engine that crashes as it begins to write ends within this time of its first event, which may
/// have left it already.
const WRITING_START_TIME: Duration = Duration::from_millis(100);

/// A call that counts as work of its engine until this is dropped.
pub(crate) struct EngineCall<'a> {
    instance: &'a Rc<Instance>,
    request: &'a Request,
    sent: SentCall,
    expected: Duration,
    unread: u32,
    started: Instant,
    outcome: Option<Outcome>,
    /// Whether the engine is not to blame for the outcome.
    is_own_fault: bool,
    placed_by: Option<(SocketAddr, Ticket)>,
    step: Step,
    /// When the first event arrived.
    first_event: Cell<Option<Instant>>,
    /// Whether its engine is known to write.
    is_writing: Cell<bool>,
    /// State of the pause accounting at the last event.
    last_event: Cell<Option<StreamMark>>,
}

impl<'a> EngineCall<'a> {
    pub(crate) fn new(
        instance: &'a Rc<Instance>,
        request: &'a Request,
        target: &Target,
        step: Step,
    ) -> Self {
        let now = instance.now();
        let mut fleet = instance.fleet.borrow_mut();
        let software = fleet.get(&target.engine);
        let software = software.and_then(|engine| engine.record.software.clone());
        let sent = fleet.begin_call(&target.engine, target.work, target.rank, now);
        // The placer of a call charges it.
        if target.placed_by.is_none()
            && instance.is_placing()
            && let Some(organisation) = shares::organisation_of(request)
        {
            fleet.charge_call(&sent, organisation, target.expected_latency, now);
        }
        log::info!(
            id = request.call.id.as_str(), engine = &*target.engine, step = step.name(),
            waited_ms:% = request.elapsed().as_millis(), left_ms:% = request.remaining().as_millis(),
            expected_ms:% = target.expected_latency.as_millis(), unread = target.prefill_tokens, rank = target.rank,
            software = software.as_deref().unwrap_or_default(),
            resumes = request.call.resumes.as_deref().unwrap_or_default(),
            fetch = target.fetch_from.as_deref().unwrap_or_default(),
            configuration = instance.table.borrow().as_ref().map_or(0, |table| table.version);
            "sent"
        );
        if target.work > 0 {
            instance.frame_due.notify_one();
        }
        if let Some(placed_by) = target.placed_by {
            instance.reports.call_started(placed_by);
        }
        Self {
            instance,
            request,
            sent,
            expected: target.expected_latency,
            unread: target.prefill_tokens,
            started: Instant::now(),
            outcome: None,
            is_own_fault: false,
            placed_by: target.placed_by,
            step,
            first_event: Cell::new(None),
            is_writing: Cell::new(false),
            last_event: Cell::new(None),
        }
    }

    /// Records bytes that the engine sent on a connection of this instance.
    pub(crate) fn on_received(&self) {
        let service = &self.request.service.name;
        let now = self.instance.now();
        self.instance.links.on_received(service, now);
    }

    /// The call's request.
    pub(crate) fn request(&self) -> &'a Request {
        self.request
    }

    /// Records an event of the stream. Returns the part of the time since the last one in which the
    /// engine had prompts to prefill.
    pub(crate) fn on_event(&self) -> Duration {
        self.observe_writing();
        let now = self.instance.now();
        let mut fleet = self.instance.fleet.borrow_mut();
        let (Some(mut last), Some(longest)) = (self.last_event.get(), self.request.route.max_gap)
        else {
            self.last_event
                .set(fleet.stream_mark(&self.sent.engine, now));
            return Duration::ZERO;
        };
        let read = fleet.record_stream_event(&self.sent.engine, &mut last, longest, now);
        self.last_event.set(Some(last));
        read
    }

    /// Records that the engine survived the start of the call once it has written for a while.
    fn observe_writing(&self) {
        let now = Instant::now();
        let first = self.first_event.get().unwrap_or(now);
        self.first_event.set(Some(first));
        if !self.is_writing.get() && now.duration_since(first) >= WRITING_START_TIME {
            self.is_writing.set(true);
            self.on_parts_survived();
        }
    }

    /// Records that the engine survived the parts of the call's prompt.
    pub(crate) fn on_parts_survived(&self) {
        if let Some(engine) = placement::record(self.instance, &self.sent.engine) {
            let now = suspects::now(self.instance);
            let suspects = &self.instance.suspects;
            suspects.on_parts_survived(self.request, &engine, now);
        }
    }

    /// How far the engine is with the call.
    pub(crate) fn progress(&self) -> Progress {
        match self.step {
            Step::Prefill => Progress::Prefilling,
            _ if self.is_writing.get() => Progress::Writing,
            _ => Progress::Starting,
        }
    }

    /// The engine has begun to decode.
    pub(crate) fn on_generation_started(&self) {
        self.request
            .count_once_in_organisation_usage(self.instance, self.instance.unix());
        self.on_first_answer("generate");
    }

    /// The first response is there.
    pub(crate) fn on_first_answer(&self, step: &str) {
        let now = self.instance.now();
        let mut fleet = self.instance.fleet.borrow_mut();
        fleet.prompt_read(&self.sent, now);
        if let Some(placed_by) = self.placed_by {
            self.instance.reports.prompt_read(placed_by, now);
            self.instance.frame_due.notify_one();
        }
        let engine = fleet.get(&self.sent.engine);
        log::info!(
            id = self.request.call.id.as_str(), engine = &*self.sent.engine, step = step,
            ms:% = self.started.elapsed().as_millis(), expected_ms:% = self.expected.as_millis(),
            unread = self.unread, pace:? = engine.map(|engine| engine.slowdown),
            stage:? = engine.map(|engine| engine.record.stage), running = engine.map_or(0, |e| e.running_calls());
            "engine began"
        );
    }

    /// Sets the outcome that counts for the engine's health.
    pub(crate) fn set_outcome(&mut self, outcome: impl Into<Option<Outcome>>) {
        self.outcome = outcome.into();
    }

    /// Sets the outcome of a call whose answer was lost.
    pub(crate) fn set_lost(&mut self, failure: &Failure) {
        if failure.is_time_out() {
            self.set_timed_out();
        } else {
            self.set_outcome(Outcome::Failed);
        }
    }

    /// Sets the outcome of a call without an answer in time, which counts for nothing while this
    /// instance's own load may have caused it.
    pub(crate) fn set_timed_out(&mut self) {
        let begun = self.instance.now().saturating_sub(self.started.elapsed());
        self.is_own_fault =
            self.request.has_waited_for_memory() || self.instance.own_load.explains_silence(begun);
        self.outcome = (!self.is_own_fault).then_some(Outcome::Failed);
    }
}

impl Drop for EngineCall<'_> {
    fn drop(&mut self) {
        let now = self.instance.now();
        let mut fleet = self.instance.fleet.borrow_mut();
        fleet.end_call(&self.sent, self.outcome, now);
        drop(fleet);
        if self.outcome.is_none() && !self.is_own_fault {
            let progress = self.progress();
            crash_detection::on_abandoned(self.instance, self.request, &self.sent.engine, progress);
        }
        if let Some(placed_by) = self.placed_by {
            self.instance.reports.call_ended(placed_by, self.outcome);
            self.instance.frame_due.notify_one();
        }
    }
}
