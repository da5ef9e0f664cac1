//! One planned change of an upstream (a role change, model load or model unload), from the intent
//! in the log to the outcome. While the intent is pending, the upstream is closed to new work. The
//! order is sent only after every entry that may still send work has confirmed the close and the
//! open work has ended. The result is read back from the engine. A change left by a former holder
//! is completed if the engine has begun it, and otherwise undone. See `docs/design/orders.md`.

use crate::OrderId;
use crate::order::{Order, Verdict};
use crate::state::PendingOrder;
use clock::Moment;
use smallvec::SmallVec;

pub use message::{Blocker, Input, Output, Permit, RequestId, SendResult};
pub use timing::Timing;

pub mod message;
mod output;
mod reading;
pub mod timing;

/// Which process wrote the intent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Origin {
    /// This process wrote the intent and knows whether it has sent the order.
    Own,
    /// A former holder wrote the intent and may have sent the order.
    Inherited,
}

/// The step of a change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// Reading the engine for the first time.
    Survey,
    /// Waiting until every entry that may still send new work has confirmed the close.
    Closing,
    /// Waiting for open work to end.
    Draining,
    /// Sending the order.
    Sending,
    /// The engine is executing the order, or the result of the send is unknown.
    Running,
    /// The engine has finished the order; waiting for a final reading.
    Verifying,
    /// Cancelling the order, so that the engine cannot begin it later.
    Cancelling,
    /// The order is cancelled; waiting for a final reading.
    Barred,
    /// Logging the outcome.
    Concluding(Verdict, &'static str),
}

/// A request to the engine that is not answered yet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PendingRequest {
    id: RequestId,
    deadline: Moment,
}

/// The state machine of one change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Change {
    order: OrderId,
    action: Order,
    origin: Origin,
    timing: Timing,
    step: Step,
    /// When this process learnt that the upstream was closed.
    started_at: Moment,
    /// `None` until the first list arrives.
    blockers: Option<SmallVec<[Blocker; 4]>>,
    pending_request: Option<PendingRequest>,
    last_request: RequestId,
    /// Earliest time of the next output.
    due: Moment,
    /// Incarnation of the engine in the newest reading.
    incarnation: Option<u64>,
    /// Whether the engine checked fencing tokens in the newest reading.
    checks_fence: bool,
    sends: u32,
    /// When the newest send ended. Measured from its start, the maximum delivery delay would end
    /// too early if this process was paused between its check and its send.
    last_send: Option<Moment>,
}

/// The outputs of one step, at most one.
pub type Outputs = SmallVec<[Output; 1]>;

impl Change {
    /// Creates a change whose intent was folded as valid.
    pub fn new(now: Moment, pending: &PendingOrder, origin: Origin, timing: Timing) -> Self {
        Self {
            order: pending.order,
            action: pending.action.clone(),
            origin,
            timing,
            step: Step::Survey,
            started_at: now,
            blockers: None,
            pending_request: None,
            last_request: 0,
            due: now,
            incarnation: None,
            checks_fence: false,
            sends: 0,
            last_send: None,
        }
    }

    /// The current step.
    pub fn current_step(&self) -> Step {
        self.step
    }

    /// When this process learnt of the change.
    pub fn started_at(&self) -> Moment {
        self.started_at
    }

    /// What the change waits for before its order can be sent; empty before the first list.
    pub fn blockers(&self) -> &[Blocker] {
        self.blockers.as_deref().unwrap_or(&[])
    }

    /// Applies an input and returns the output that is due, if any.
    pub fn step(&mut self, now: Moment, permit: &Permit, input: Input) -> Outputs {
        self.handle_input(now, permit, input);
        self.next_output(now, permit).into_iter().collect()
    }

    fn handle_input(&mut self, now: Moment, permit: &Permit, input: Input) {
        match input {
            Input::Tick => self.expire_request(now),
            Input::Blockers(blockers) => self.blockers = Some(blockers),
            Input::Absent => self.conclude(now, Verdict::Gone, "not in the instance list"),
            Input::Reading(id, reading) if self.take_pending(id) => {
                self.handle_reading(now, permit, &reading);
            }
            Input::Unreachable(id) if self.take_pending(id) => {
                self.due = now + self.timing.poll_interval;
            }
            Input::Sent(id, result) if self.take_pending(id) => self.handle_sent(now, result),
            Input::Cancelled(id, result) if self.take_pending(id) => {
                self.handle_cancelled(now, result);
            }
            // An answer to an earlier request shows the engine before the latest action.
            Input::Reading(..) | Input::Unreachable(_) | Input::Sent(..) | Input::Cancelled(..) => {
            }
        }
        self.follow_blockers(now);
    }

    fn take_pending(&mut self, id: RequestId) -> bool {
        let newest = self.pending_request.is_some_and(|pending| pending.id == id);
        if newest {
            self.pending_request = None;
        }
        newest
    }

    fn expire_request(&mut self, now: Moment) {
        if self
            .pending_request
            .is_none_or(|pending| now < pending.deadline)
        {
            return;
        }
        self.pending_request = None;
        self.due = now;
        if self.step == Step::Sending {
            self.last_send = Some(now);
            self.step = Step::Running;
        }
    }

    /// An entry that starts or returns while the engine is closed may send work until it has folded
    /// the intent. An order sent before it confirms could abort its stream.
    fn follow_blockers(&mut self, now: Moment) {
        let closed = self.blockers.as_ref().is_some_and(SmallVec::is_empty);
        match self.step {
            Step::Closing if closed => self.enter(now, Step::Draining),
            Step::Draining | Step::Sending if !closed && self.pending_request.is_none() => {
                self.enter(now, Step::Closing);
            }
            _ => (),
        }
        let unsent = self.origin == Origin::Own && self.sends == 0;
        let closing = matches!(
            self.step,
            Step::Survey | Step::Closing | Step::Draining | Step::Sending
        );
        if unsent && closing && now >= self.started_at + self.timing.close_timeout {
            self.conclude(now, Verdict::Undone, "not drained in time");
        }
    }

    fn enter(&mut self, now: Moment, step: Step) {
        self.step = step;
        self.due = now;
    }

    fn conclude(&mut self, now: Moment, verdict: Verdict, detail: &'static str) {
        if !matches!(self.step, Step::Concluding(..)) {
            self.pending_request = None;
            self.enter(now, Step::Concluding(verdict, detail));
        }
    }

    fn handle_sent(&mut self, now: Moment, result: SendResult) {
        if self.step != Step::Sending {
            return;
        }
        self.due = now + self.timing.poll_interval;
        self.last_send = Some(now);
        match result {
            SendResult::Accepted => self.step = Step::Running,
            SendResult::Unknown => self.enter(now, Step::Running),
            SendResult::Busy { .. } => self.step = Step::Draining,
            // The newer token prevents the order like a cancellation. Repeating the order would be
            // refused each time and keep the engine closed for ever.
            SendResult::Superseded { .. } => self.enter(now, Step::Barred),
            SendResult::Failed => (),
        }
    }

    fn handle_cancelled(&mut self, now: Moment, result: SendResult) {
        if self.step != Step::Cancelling {
            return;
        }
        match result {
            SendResult::Accepted | SendResult::Superseded { .. } => self.enter(now, Step::Barred),
            _ => self.due = now + self.timing.poll_interval,
        }
    }
}
