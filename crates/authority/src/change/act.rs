//! What a change does next, if nothing is outstanding.

use super::{Change, Output, Permit, Question, RequestId, Step};
use crate::Fence;
use clock::Moment;
use std::time::Duration;

impl Change {
    /// The token of the order. It grows from order to order and not only from claim to claim: a
    /// copy of an earlier order of the same holder would otherwise pass as current.
    fn token(&self, permit: &Permit) -> Fence {
        self.order.max(permit.grant.fence)
    }

    /// The token of the cancellation, above that of the order and at most that of the next one,
    /// whose offset comes after the outcome's. A successor's claim is newer than every order of
    /// its predecessor.
    fn bar(&self, permit: &Permit) -> Fence {
        (self.order + 1).max(permit.grant.fence)
    }

    pub(super) fn act(&mut self, now: Moment, permit: &Permit) -> Option<Output> {
        if self.question.is_some() || now < self.next {
            return None;
        }
        match self.step {
            Step::Closing => None,
            Step::Survey | Step::Draining | Step::Running | Step::Verifying | Step::Barred => {
                let ticket = self.ask(now);
                Some(Output::Read { request: ticket })
            }
            Step::Sending => self.send(now, permit),
            Step::Cancelling => self.cancel(now, permit),
            Step::Concluding(verdict, detail) => {
                // An append that was lost is made anew; a second outcome is refused by the fold.
                self.next = now + self.pace.request_timeout;
                Some(Output::Conclude { verdict, detail })
            }
        }
    }

    /// A send that is begun too late in the lease could arrive beside the next holder's; one to an
    /// engine that ignores fences must also come after everything that a former holder sent.
    fn send(&mut self, now: Moment, permit: &Permit) -> Option<Output> {
        let quiet = self.checks_fence
            || permit
                .grant
                .is_quarantine_over(now, self.pace.max_order_delay);
        if !permit.admitted || !quiet || !permit.grant.may_act(now, self.pace.request_timeout) {
            return None;
        }
        self.sends += 1;
        self.last_send = Some(now);
        Some(Output::Send {
            request: self.ask(now),
            order: self.order,
            fence: self.token(permit),
            action: self.what.clone(),
            not_after: now + self.pace.request_timeout,
        })
    }

    fn cancel(&mut self, now: Moment, permit: &Permit) -> Option<Output> {
        if !permit.grant.may_act(now, self.pace.request_timeout) {
            return None;
        }
        Some(Output::Cancel {
            request: self.ask(now),
            order: self.order,
            fence: self.bar(permit),
            not_after: now + self.pace.request_timeout,
        })
    }

    fn ask(&mut self, now: Moment) -> RequestId {
        self.tickets += 1;
        let until = now + self.patience();
        self.question = Some(Question {
            ticket: self.tickets,
            until,
        });
        self.tickets
    }

    /// A send ends by itself after its timeout; the owner's answer to it comes a little later.
    fn patience(&self) -> Duration {
        self.pace.request_timeout + self.pace.poll_interval
    }
}
