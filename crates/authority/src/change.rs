//! One planned change of one upstream, from its intent in the log to its outcome: role change,
//! model load and unload alike. The upstream is closed for new work while the intent is
//! unresolved; the order is sent only after every entry that may still send has confirmed that and
//! the work in hand is over; what came of it is read back. A change that a former holder left is
//! finished if the engine had begun it, else undone. See `docs/design/orders.md`.

use crate::OrderId;
use crate::order::{Order, Verdict};
use crate::state::PendingOrder;
use clock::Moment;
use smallvec::SmallVec;

pub use message::{Blocker, Input, Output, Permit, RequestId, SendResult};
pub use timing::Timing;

mod act;
pub mod message;
mod read;
pub mod timing;

/// Whose intent it is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Origin {
    /// This process intended it and knows whether it was sent.
    Own,
    /// A former holder intended it and may have sent it.
    Inherited,
}

/// Where a change stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// The engine is read for the first time.
    Survey,
    /// Entries that may still send new work have not confirmed.
    Closing,
    /// Work in hand is not over.
    Draining,
    /// The order is being sent.
    Sending,
    /// The engine is carrying the order out, or nothing is known.
    Running,
    /// The engine has ended the order; the last reading is outstanding.
    Verifying,
    /// The engine is being told that the order must not begin any more.
    Cancelling,
    /// The engine was told so; the last reading is outstanding.
    Barred,
    /// The outcome is being logged.
    Concluding(Verdict, &'static str),
}

/// A question that was not answered yet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Question {
    ticket: RequestId,
    until: Moment,
}

/// The state machine of one change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Change {
    order: OrderId,
    what: Order,
    origin: Origin,
    pace: Timing,
    step: Step,
    /// When the upstream was closed, as far as this process knows.
    began: Moment,
    /// `None` until the first list came.
    waiting: Option<SmallVec<[Blocker; 4]>>,
    question: Option<Question>,
    tickets: RequestId,
    /// When the next question is due.
    next: Moment,
    /// The engine's incarnation and whether it checks fences, at the newest reading.
    incarnation: Option<u64>,
    checks_fence: bool,
    sends: u32,
    /// When the newest send was over. Counted from its beginning, the longest delay would have
    /// passed too early if this process was paused between its check and its send.
    last_send: Option<Moment>,
}

/// At most one thing is done a step.
pub type Outputs = SmallVec<[Output; 1]>;

impl Change {
    /// A change whose intent was folded as valid.
    pub fn new(now: Moment, pending: &PendingOrder, origin: Origin, pace: Timing) -> Self {
        Self {
            order: pending.order,
            what: pending.action.clone(),
            origin,
            pace,
            step: Step::Survey,
            began: now,
            waiting: None,
            question: None,
            tickets: 0,
            next: now,
            incarnation: None,
            checks_fence: false,
            sends: 0,
            last_send: None,
        }
    }

    /// Where it stands.
    pub fn current_step(&self) -> Step {
        self.step
    }

    /// Since when it is known to this process.
    pub fn started_at(&self) -> Moment {
        self.began
    }

    /// What the closing waits for; empty before the first list.
    pub fn blockers(&self) -> &[Blocker] {
        self.waiting.as_deref().unwrap_or(&[])
    }

    /// Takes in an answer or the passing of time and tells what is due.
    pub fn step(&mut self, now: Moment, permit: &Permit, input: Input) -> Outputs {
        self.take(now, permit, input);
        self.act(now, permit).into_iter().collect()
    }

    fn take(&mut self, now: Moment, permit: &Permit, input: Input) {
        match input {
            Input::Tick => self.give_up_question(now),
            Input::Blockers(waiting) => self.waiting = Some(waiting),
            Input::Absent => self.conclude(now, Verdict::Gone, "not in the instance list"),
            Input::Reading(ticket, reading) if self.answers(ticket) => {
                self.read(now, permit, &reading);
            }
            Input::Unreachable(ticket) if self.answers(ticket) => {
                self.next = now + self.pace.poll_interval;
            }
            Input::Sent(ticket, receipt) if self.answers(ticket) => self.sent(now, receipt),
            Input::Cancelled(ticket, receipt) if self.answers(ticket) => {
                self.cancelled(now, receipt);
            }
            // The answer to an earlier question shows the engine as it was before the last act.
            Input::Reading(..) | Input::Unreachable(_) | Input::Sent(..) | Input::Cancelled(..) => {
            }
        }
        self.follow_waiting(now);
    }

    fn answers(&mut self, ticket: RequestId) -> bool {
        let newest = self.question.is_some_and(|asked| asked.ticket == ticket);
        if newest {
            self.question = None;
        }
        newest
    }

    fn give_up_question(&mut self, now: Moment) {
        if self.question.is_none_or(|asked| now < asked.until) {
            return;
        }
        self.question = None;
        self.next = now;
        if self.step == Step::Sending {
            self.last_send = Some(now);
            self.step = Step::Running;
        }
    }

    /// An entry that starts or returns while the engine is closed may still send until it has
    /// folded the intent; an order sent before it confirmed could cut its stream.
    fn follow_waiting(&mut self, now: Moment) {
        let closed = self.waiting.as_ref().is_some_and(SmallVec::is_empty);
        match self.step {
            Step::Closing if closed => self.enter(now, Step::Draining),
            Step::Draining | Step::Sending if !closed && self.question.is_none() => {
                self.enter(now, Step::Closing);
            }
            _ => (),
        }
        let unsent = self.origin == Origin::Own && self.sends == 0;
        let closing = matches!(
            self.step,
            Step::Survey | Step::Closing | Step::Draining | Step::Sending
        );
        if unsent && closing && now >= self.began + self.pace.close_timeout {
            self.conclude(now, Verdict::Undone, "not drained in time");
        }
    }

    fn enter(&mut self, now: Moment, step: Step) {
        self.step = step;
        self.next = now;
    }

    fn conclude(&mut self, now: Moment, verdict: Verdict, detail: &'static str) {
        if !matches!(self.step, Step::Concluding(..)) {
            self.question = None;
            self.enter(now, Step::Concluding(verdict, detail));
        }
    }

    fn sent(&mut self, now: Moment, receipt: SendResult) {
        if self.step != Step::Sending {
            return;
        }
        self.next = now + self.pace.poll_interval;
        self.last_send = Some(now);
        match receipt {
            SendResult::Accepted => self.step = Step::Running,
            SendResult::Unknown => self.enter(now, Step::Running),
            SendResult::Busy { .. } => self.step = Step::Draining,
            // The newer token bars the order as a cancellation would. An order that is sent again
            // and again is refused each time, and the engine would stay closed for good.
            SendResult::Superseded { .. } => self.enter(now, Step::Barred),
            SendResult::Failed => (),
        }
    }

    fn cancelled(&mut self, now: Moment, receipt: SendResult) {
        if self.step != Step::Cancelling {
            return;
        }
        match receipt {
            SendResult::Accepted | SendResult::Superseded { .. } => self.enter(now, Step::Barred),
            _ => self.next = now + self.pace.poll_interval,
        }
    }
}
