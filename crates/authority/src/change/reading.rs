//! Handles readings of the engine.

use super::{Change, Origin, Permit, Step};
use crate::engine::{Progress, Reading};
use crate::order::Verdict;
use clock::Moment;

impl Change {
    pub(super) fn handle_reading(&mut self, now: Moment, permit: &Permit, reading: &Reading) {
        let restarted = self
            .incarnation
            .is_some_and(|known| known != reading.incarnation);
        self.incarnation = Some(reading.incarnation);
        self.checks_fence = reading.checks_fence;
        self.due = now + self.timing.poll_interval;
        match (self.step, reading.progress(self.order)) {
            (Step::Concluding(..) | Step::Closing, _) => (),
            (_, Some(Progress::Running)) => self.step = Step::Running,
            (_, Some(Progress::Done | Progress::Failed)) => self.verify(now, permit, reading),
            (Step::Survey, None) => self.handle_not_begun(now, reading),
            (Step::Draining, None) => {
                if reading.open_streams == 0 && !reading.is_running() {
                    self.enter(now, Step::Sending);
                }
            }
            (Step::Running, None) if !restarted && self.sends < self.timing.max_sends => {
                self.resend(now);
            }
            (Step::Barred, None) if restarted => self.enter(now, Step::Cancelling),
            (Step::Barred, None) => self.verify_barred(now, permit, reading),
            (_, None) => self.enter(now, Step::Cancelling),
        }
    }

    /// The engine has not begun the order. An own order proceeds. An inherited one is undone,
    /// because only the former holder knew the open work and whether the drain was confirmed; the
    /// successor plans the change again.
    fn handle_not_begun(&mut self, now: Moment, reading: &Reading) {
        match self.origin {
            Origin::Own if reading.satisfies(&self.action) => {
                self.conclude(now, Verdict::Done, "was so already");
            }
            Origin::Own => self.enter(now, Step::Closing),
            Origin::Inherited => self.enter(now, Step::Cancelling),
        }
    }

    /// The order has not arrived, or not yet. Sending it again is idempotent at the engine.
    fn resend(&mut self, now: Moment) {
        if self.origin == Origin::Own {
            self.step = Step::Draining;
        } else {
            self.enter(now, Step::Cancelling);
        }
    }

    fn verify(&mut self, now: Moment, permit: &Permit, reading: &Reading) {
        self.step = Step::Verifying;
        if self.is_final(now, permit, reading) {
            self.conclude_by_state(now, reading);
        }
    }

    fn verify_barred(&mut self, now: Moment, permit: &Permit, reading: &Reading) {
        if !reading.is_running() && self.is_final(now, permit, reading) {
            self.conclude_by_state(now, reading);
        }
    }

    /// Whether nothing sent for this order can still change the engine. An engine that checks
    /// fencing tokens refuses all copies once it has seen a token newer than the order's. If it
    /// accepted this order last, a copy is idempotent, and the token of the next order makes the
    /// engine refuse it. An engine that ignores fencing tokens, or has lost them in a restart, could
    /// still execute a copy in transit: the outcome would open the engine, and the copy would abort
    /// its new work.
    fn is_final(&self, now: Moment, permit: &Permit, reading: &Reading) -> bool {
        let accepted = reading.progress(self.order).is_some();
        if reading.checks_fence && (accepted || reading.fence > self.order) {
            return true;
        }
        let max_delay = self.timing.max_order_delay;
        let arrived = self.last_send.is_none_or(|sent| now >= sent + max_delay);
        arrived && permit.grant.is_quarantine_over(now, max_delay)
    }

    fn conclude_by_state(&mut self, now: Moment, reading: &Reading) {
        if reading.satisfies(&self.action) {
            self.conclude(now, Verdict::Done, "read back");
        } else {
            self.conclude(now, Verdict::Undone, "read back in another state");
        }
    }
}
