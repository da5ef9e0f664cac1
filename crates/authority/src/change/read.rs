//! What a reading of the engine means for the change.

use super::{Change, Origin, Permit, Step};
use crate::engine::{Progress, Reading};
use crate::order::Verdict;
use clock::Moment;

impl Change {
    pub(super) fn read(&mut self, now: Moment, permit: &Permit, reading: &Reading) {
        let restarted = self
            .incarnation
            .is_some_and(|known| known != reading.incarnation);
        self.incarnation = Some(reading.incarnation);
        self.checks_fence = reading.checks_fence;
        self.next = now + self.pace.poll_interval;
        match (self.step, reading.progress(self.order)) {
            (Step::Concluding(..) | Step::Closing, _) => (),
            (_, Some(Progress::Running)) => self.step = Step::Running,
            (_, Some(Progress::Done | Progress::Failed)) => self.verify(now, permit, reading),
            (Step::Survey, None) => self.survey(now, reading),
            (Step::Draining, None) => {
                if reading.open_streams == 0 && !reading.is_running() {
                    self.enter(now, Step::Sending);
                }
            }
            (Step::Running, None) if !restarted && self.sends < self.pace.max_sends => {
                self.resend(now);
            }
            (Step::Barred, None) if restarted => self.enter(now, Step::Cancelling),
            (Step::Barred, None) => self.verify_barred(now, permit, reading),
            (_, None) => self.enter(now, Step::Cancelling),
        }
    }

    /// Not begun: an order of our own takes its course, an inherited one is undone. The former
    /// holder knew what the engine had open and whether all had confirmed; its successor plans
    /// anew instead.
    fn survey(&mut self, now: Moment, reading: &Reading) {
        match self.origin {
            Origin::Own if reading.satisfies(&self.what) => {
                self.conclude(now, Verdict::Done, "was so already");
            }
            Origin::Own => self.enter(now, Step::Closing),
            Origin::Inherited => self.enter(now, Step::Cancelling),
        }
    }

    /// The order did not arrive, or not yet. The same order is idempotent at the engine.
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
            self.judge(now, reading);
        }
    }

    fn verify_barred(&mut self, now: Moment, permit: &Permit, reading: &Reading) {
        if !reading.is_running() && self.is_final(now, permit, reading) {
            self.judge(now, reading);
        }
    }

    /// Whether nothing that was sent for this order can still change the engine. An engine that
    /// checks fences refuses all copies once it has seen a token that is newer than the order's;
    /// if it took the order itself last, a copy is idempotent and the token of the next order
    /// refuses it. An engine that ignores fences, or has restarted and forgotten them, could
    /// still be changed by a copy on its way: the outcome would open it for work and the copy
    /// would cut that.
    fn is_final(&self, now: Moment, permit: &Permit, reading: &Reading) -> bool {
        let taken = reading.progress(self.order).is_some();
        if reading.checks_fence && (taken || reading.fence > self.order) {
            return true;
        }
        let delay = self.pace.max_order_delay;
        let arrived = self.last_send.is_none_or(|sent| now >= sent + delay);
        arrived && permit.grant.is_quarantine_over(now, delay)
    }

    fn judge(&mut self, now: Moment, reading: &Reading) {
        if reading.satisfies(&self.what) {
            self.conclude(now, Verdict::Done, "read back");
        } else {
            self.conclude(now, Verdict::Undone, "read back in another state");
        }
    }
}
