//! A call at an engine, in the books for as long as it lasts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serving::engine::Ticket;
use serving::fleet::SentCall;
use serving::health::Outcome;
use serving::pauses::StreamMark;
use serving::place::Target;
use tokio::time::Instant;

use crate::attempt::Request;
use crate::crashes;
use crate::instance::Instance;

/// What an engine is sent a call for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// To answer it as a whole.
    Run,
    /// To read its prompt for another engine.
    Read,
    /// To read its prompt and to generate.
    Generate,
    /// To generate from memory that another engine holds.
    TakeOver,
    /// To go on with a stream that another engine broke off.
    Resume,
}

impl Step {
    /// Its name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Read => "read",
            Self::Generate => "generate",
            Self::TakeOver => "take over",
            Self::Resume => "resume",
        }
    }
}

/// A call that is in an engine's books until this is dropped.
pub(crate) struct Held<'a> {
    instance: &'a Rc<Instance>,
    asked: &'a Request,
    sent: SentCall,
    expected: Duration,
    unread: u32,
    begun: Instant,
    outcome: Option<Outcome>,
    placed_by: Option<(SocketAddr, Ticket)>,
    /// Where the stream was at its last event.
    last: Cell<Option<StreamMark>>,
}

impl<'a> Held<'a> {
    pub(crate) fn new(
        instance: &'a Rc<Instance>,
        asked: &'a Request,
        target: &Target,
        step: Step,
    ) -> Self {
        let now = instance.now();
        let mut fleet = instance.fleet.borrow_mut();
        let sent = fleet.begin_call(&target.engine, target.work, target.rank, now);
        log::info!(
            id = asked.call.id.as_str(), engine = &*target.engine, step = step.name(),
            waited_ms:% = asked.elapsed().as_millis(), left_ms:% = asked.remaining().as_millis(),
            expected_ms:% = target.expected_latency.as_millis(), unread = target.prefill_tokens, rank = target.rank,
            fetch = target.fetch_from.as_deref().unwrap_or_default(),
            configuration = instance.table.borrow().as_ref().map_or(0, |table| table.version);
            "sent"
        );
        if target.work > 0 {
            instance.stirred.notify_one();
        }
        if let Some(placed_by) = target.placed_by {
            instance.reports.begun(placed_by);
        }
        Self {
            instance,
            asked,
            sent,
            expected: target.expected_latency,
            unread: target.prefill_tokens,
            begun: Instant::now(),
            outcome: None,
            placed_by: target.placed_by,
            last: Cell::new(None),
        }
    }

    /// An event of the stream is there. Gives the time since the one before in which the engine had prompts to read.
    pub(crate) fn event(&self) -> Duration {
        let now = self.instance.now();
        let mut fleet = self.instance.fleet.borrow_mut();
        let (Some(mut last), Some(longest)) = (self.last.get(), self.asked.route.max_gap) else {
            self.last.set(fleet.stream_mark(&self.sent.engine, now));
            return Duration::ZERO;
        };
        let read = fleet.record_stream_event(&self.sent.engine, &mut last, longest, now);
        self.last.set(Some(last));
        read
    }

    /// The engine has begun to generate.
    pub(crate) fn generates(&self) {
        self.asked.note_started(self.instance, self.instance.unix());
        self.first("generate");
    }

    /// The first answer is there.
    pub(crate) fn first(&self, step: &str) {
        let now = self.instance.now();
        let mut fleet = self.instance.fleet.borrow_mut();
        fleet.prompt_read(&self.sent, now);
        if let Some(placed_by) = self.placed_by {
            self.instance.reports.read(placed_by, now);
            self.instance.stirred.notify_one();
        }
        let engine = fleet.get(&self.sent.engine);
        log::info!(
            id = self.asked.call.id.as_str(), engine = &*self.sent.engine, step = step,
            ms:% = self.begun.elapsed().as_millis(), expected_ms:% = self.expected.as_millis(),
            unread = self.unread, pace:? = engine.map(|engine| engine.slowdown),
            stage:? = engine.map(|engine| engine.record.stage), running = engine.map_or(0, |e| e.running_calls());
            "engine began"
        );
    }

    /// How the call ended, for the engine's health.
    pub(crate) fn note(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let now = self.instance.now();
        let mut fleet = self.instance.fleet.borrow_mut();
        fleet.end_call(&self.sent, self.outcome, now);
        drop(fleet);
        if self.outcome.is_none() {
            crashes::given_up(self.instance, self.asked, &self.sent.engine);
        }
        if let Some(placed_by) = self.placed_by {
            self.instance.reports.ended(placed_by, self.outcome);
            self.instance.stirred.notify_one();
        }
    }
}
