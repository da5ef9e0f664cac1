//! The next output of a change while no request is pending.

use super::{Change, Output, PendingRequest, Permit, RequestId, Step};
use crate::Fence;
use clock::Moment;
use std::time::Duration;

impl Change {
    /// Fencing token of the order. It grows with each order and not only with each claim:
    /// otherwise, the engine would accept a delayed copy of an earlier order of the same holder.
    fn order_token(&self, permit: &Permit) -> Fence {
        self.order.max(permit.grant.fence)
    }

    /// Fencing token of the cancellation: above that of the order, and at most that of the next
    /// order, whose intent is logged after the outcome. The claim of a successor is newer than
    /// every order of its predecessor.
    fn cancel_token(&self, permit: &Permit) -> Fence {
        (self.order + 1).max(permit.grant.fence)
    }

    pub(super) fn next_output(&mut self, now: Moment, permit: &Permit) -> Option<Output> {
        if self.pending_request.is_some() || now < self.due {
            return None;
        }
        match self.step {
            Step::Closing => None,
            Step::Survey | Step::Draining | Step::Running | Step::Verifying | Step::Barred => {
                let request = self.start_request(now);
                Some(Output::Read { request })
            }
            Step::Sending => self.send(now, permit),
            Step::Cancelling => self.cancel(now, permit),
            Step::Concluding(verdict, detail) => {
                // Repeat the append in case it was lost. The fold refuses a second outcome.
                self.due = now + self.timing.request_timeout;
                Some(Output::Conclude { verdict, detail })
            }
        }
    }

    /// An order sent too late in the lease could arrive while the next holder acts. An order to an
    /// engine that ignores fencing tokens must also wait until nothing sent by a former holder can
    /// still arrive.
    fn send(&mut self, now: Moment, permit: &Permit) -> Option<Output> {
        let safe = self.checks_fence
            || permit
                .grant
                .is_quarantine_over(now, self.timing.max_order_delay);
        if !permit.admitted || !safe || !permit.grant.may_act(now, self.timing.request_timeout) {
            return None;
        }
        self.sends += 1;
        self.last_send = Some(now);
        Some(Output::Send {
            request: self.start_request(now),
            order: self.order,
            fence: self.order_token(permit),
            action: self.action.clone(),
            not_after: now + self.timing.request_timeout,
        })
    }

    fn cancel(&mut self, now: Moment, permit: &Permit) -> Option<Output> {
        if !permit.grant.may_act(now, self.timing.request_timeout) {
            return None;
        }
        Some(Output::Cancel {
            request: self.start_request(now),
            order: self.order,
            fence: self.cancel_token(permit),
            not_after: now + self.timing.request_timeout,
        })
    }

    fn start_request(&mut self, now: Moment) -> RequestId {
        self.last_request += 1;
        let deadline = now + self.answer_timeout();
        self.pending_request = Some(PendingRequest {
            id: self.last_request,
            deadline,
        });
        self.last_request
    }

    /// A send ends after its own timeout; the owner reports the result shortly afterwards.
    fn answer_timeout(&self) -> Duration {
        self.timing.request_timeout + self.timing.poll_interval
    }
}
